"""greengagetack.routing.relay: completions with failover of keepers and endpoints."""

from collections.abc import AsyncGenerator, Callable
from contextlib import aclosing, suppress
from dataclasses import dataclass, replace

from loguru import logger

from greengagetack.engines.sequence import TokenSequence
from greengagetack.errors import (
    BudgetExhausted,
    CodedError,
    DeadlineExceeded,
    Forbidden,
    InvalidRequest,
    NotReady,
    Outcome,
    Overloaded,
    OwnerUnavailable,
    PeerLost,
    PeerUnreachable,
    error_from_code,
)
from greengagetack.keeper.errors import StaleVersion, StreamTorn
from greengagetack.keeper.messages import CancelRequest, Chunk, Complete, Completed
from greengagetack.limits.retries import RetryBudgets
from greengagetack.routing.router import RoutedEndpoint, Router

__all__ = ["Relay", "Restarted"]

RESPONSE_MARGIN_S = 1.0
CANCEL_TIMEOUT_S = 1.0
MAX_KEEPER_SWITCHES = 3
MAX_ENDPOINT_SWITCHES = 8

# Errors that another endpoint or keeper would give as well.
FINAL_ERRORS = (
    BudgetExhausted,
    DeadlineExceeded,
    Forbidden,
    InvalidRequest,
    OwnerUnavailable,
)
KEEPER_LOST_ERRORS = (NotReady, PeerLost, PeerUnreachable)


@dataclass(frozen=True, slots=True)
class Restarted:
    """Invalidates all chunks so far; the completion starts again at token 0."""

    reason: str


class _CompletionState:
    """The current route of a completion and the tokens received so far."""

    def __init__(
        self, request: Complete, deadline_s: float, exclude: frozenset[str]
    ) -> None:
        self.request = request
        self.deadline_s = deadline_s
        self.sequence = TokenSequence(request.offset_tokens, check_versions=False)
        self.always_excluded = exclude
        self.excluded: set[str] = set(exclude)
        self.routed: RoutedEndpoint | None = None
        self.keeper_switches = 0
        self.endpoint_switches = 0
        self.is_replaying = False
        self.may_have_run = request.offset_tokens > 0

    def record_failure(self, error: CodedError) -> None:
        """Record whether a failed attempt may have run."""
        if error.outcome is Outcome.UNKNOWN or self.sequence.end_tokens:
            self.may_have_run = True

    def with_true_outcome(self, error: CodedError) -> CodedError:
        """Return the error with outcome ``not_run`` only if no attempt may have run."""
        if not self.may_have_run or error.outcome is Outcome.UNKNOWN:
            return error
        corrected = error_from_code(error.code, error.reason, error.retry_after_s)
        corrected.outcome = Outcome.UNKNOWN
        return corrected


class Relay:
    """Completes requests despite failures of keepers and endpoints.

    After the loss of a keeper, the stream resumes by offset through another
    keeper of the same engine. After a failure of an engine, the completion is
    generated again by another engine with the same seed. A consumer that can
    discard its chunks receives `Restarted` and then the text of one engine
    alone. For any other consumer, the tokens that it already has are compared
    with the new text and skipped; if they differ, it receives a `StreamTorn`
    error. Tokens of two different texts are never joined.

    Parameters
    ----------
    router : Router
        Chooses endpoints.
    budgets : RetryBudgets
        Limits the retries of each team.
    """

    def __init__(self, router: Router, budgets: RetryBudgets) -> None:
        self._router = router
        self._services = router.services
        self._budgets = budgets

    async def complete(
        self,
        request: Complete,
        *,
        may_restart: bool = False,
        exclude: frozenset[str] = frozenset(),
        on_routed: Callable[[RoutedEndpoint], None] | None = None,
    ) -> AsyncGenerator[Chunk | Completed | Restarted, None]:
        """Yield the chunks of a completion, then `Completed`.

        Parameters
        ----------
        request : Complete
            The request; `endpoint_id` names the endpoint that already holds
            it, or is empty.
        may_restart : bool
            Whether the consumer can discard the chunks that it has received.
        exclude : frozenset of str
            Endpoints that must not be used.
        on_routed : callable or None
            Called with the endpoint and keeper before each attempt.

        Raises
        ------
        CodedError
            With the known outcome, and when to retry.
        """
        deadline_s = self._services.timer.now_s() + request.time_left_s
        state = _CompletionState(request, deadline_s, exclude)
        if request.endpoint_id:
            state.routed = self._route_to(request.endpoint_id)
        while True:
            try:
                if state.routed is None:
                    state.routed = await self._choose_endpoint(state)
            except CodedError as error:
                raise state.with_true_outcome(error) from error
            if on_routed is not None:
                on_routed(state.routed)
            try:
                async with aclosing(self._stream(state)) as items:
                    async for item in items:
                        yield item
                self._budgets.record_success(request.team)
                return
            except CodedError as error:
                failure = error
            state.record_failure(failure)
            try:
                restarted = await self._recover(state, failure, may_restart)
            except CodedError as error:
                raise state.with_true_outcome(error) from error
            if restarted:
                yield Restarted(failure.reason)

    def _route_to(self, endpoint_id: str) -> RoutedEndpoint | None:
        endpoint = self._services.directory.endpoint(endpoint_id)
        return self._router.route_to(endpoint) if endpoint is not None else None

    async def _choose_endpoint(self, state: _CompletionState) -> RoutedEndpoint:
        request = state.request
        return await self._router.choose(
            request.model,
            request.prompt,
            request.oldest_version,
            request.expected_tokens,
            request.work,
            frozenset(state.excluded),
        )

    async def _stream(
        self, state: _CompletionState
    ) -> AsyncGenerator[Chunk | Completed, None]:
        routed = state.routed
        assert routed is not None
        left_s = state.deadline_s - self._services.timer.now_s()
        if left_s <= 0:
            raise DeadlineExceeded("the completion did not finish before its deadline")
        offset = 0 if state.is_replaying else state.sequence.resume_offset()
        body = replace(
            state.request,
            endpoint_id=routed.endpoint.endpoint_id,
            time_left_s=left_s,
            offset_tokens=offset,
        )
        stream = self._services.peers.stream(
            routed.keeper_vm_id, body, left_s + RESPONSE_MARGIN_S
        )
        async with aclosing(stream) as items:
            async for item in items:
                if isinstance(item, Completed):
                    self._router.update_load(item)
                    yield item
                    return
                if item.offset_tokens < state.request.offset_tokens:
                    # The consumer's earlier tokens are not here to compare.
                    raise StreamTorn("the engine started again from an earlier token")
                new_chunk = state.sequence.accept(item)
                if new_chunk is not None:
                    yield new_chunk
        raise PeerLost(f"keeper {routed.keeper_vm_id} closed the stream before its end")

    async def _recover(
        self, state: _CompletionState, error: CodedError, may_restart: bool
    ) -> bool:
        """Prepare the next attempt, and return whether it starts at token 0.

        Raises
        ------
        CodedError
            If the request must not be attempted again.
        """
        if isinstance(error, FINAL_ERRORS):
            raise error
        if isinstance(error, KEEPER_LOST_ERRORS):
            self._switch_keeper(state, error)
            return False
        return await self._switch_endpoint(state, error, may_restart)

    def _switch_keeper(self, state: _CompletionState, error: CodedError) -> None:
        routed = state.routed
        assert routed is not None
        self._router.mark_keeper_lost(routed.keeper_vm_id)
        state.keeper_switches += 1
        if state.keeper_switches > MAX_KEEPER_SWITCHES:
            raise error
        next_route = self._router.route_to(routed.endpoint)
        if next_route is None or next_route.keeper_vm_id == routed.keeper_vm_id:
            state.excluded.add(routed.endpoint.endpoint_id)
            next_route = None
            state.is_replaying = True
        self._services.metrics.add("relay_keeper_switches_total")
        logger.warning("relay: keeper unavailable: {}", error.reason)
        state.routed = next_route

    async def _switch_endpoint(
        self, state: _CompletionState, error: CodedError, may_restart: bool
    ) -> bool:
        routed = state.routed
        assert routed is not None
        state.excluded.add(routed.endpoint.endpoint_id)
        state.routed = None
        state.is_replaying = True
        request = state.request
        state.endpoint_switches += 1
        if (
            state.endpoint_switches > MAX_ENDPOINT_SWITCHES
            or not self._may_switch_endpoint(request.team, error)
        ):
            raise error
        self._services.metrics.add("relay_retries_total", team=request.team)
        logger.warning("relay: endpoint failed: {}", error.reason)
        await self._cancel_failed_attempt(routed, request.request_id, error)
        has_tokens = state.sequence.end_tokens > state.sequence.start_tokens
        is_torn = isinstance(error, StreamTorn) or request.offset_tokens > 0
        must_restart = is_torn or (isinstance(error, StaleVersion) and has_tokens)
        if not must_restart:
            await self._choose_other_endpoint(state, error)
            if not (may_restart and has_tokens):
                return False
            # The other engine generates all tokens again, also those already received,
            # so that the text comes from one engine alone.
            state.sequence = TokenSequence(0, check_versions=False)
            return True
        if not may_restart:
            raise error
        state.sequence = TokenSequence(0, check_versions=False)
        state.request = replace(request, attempt=request.attempt + 1, offset_tokens=0)
        state.excluded = set(state.always_excluded)
        return True

    def _may_switch_endpoint(self, team: str, error: CodedError) -> bool:
        """Whether another endpoint may be tried; free if the request did not run."""
        if error.outcome is Outcome.NOT_RUN and not isinstance(error, Overloaded):
            return True
        return self._budgets.try_take(team)

    async def _choose_other_endpoint(
        self, state: _CompletionState, error: CodedError
    ) -> None:
        """Choose another endpoint; if there is none, raise the first one's error."""
        try:
            state.routed = await self._choose_endpoint(state)
        except CodedError:
            raise error from None

    async def _cancel_failed_attempt(
        self, routed: RoutedEndpoint, request_id: str, error: CodedError
    ) -> None:
        """Cancel the request where it may still run after a switch."""
        if error.outcome is Outcome.NOT_RUN:
            return
        body = CancelRequest(request_id)
        with suppress(CodedError):
            await self._services.peers.request(
                routed.keeper_vm_id, body, CANCEL_TIMEOUT_S
            )
