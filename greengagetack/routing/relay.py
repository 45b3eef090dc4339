"""greengagetack.routing.relay: a completion from wherever it can be had."""

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

LATE_S = 1.0
CANCEL_TIMEOUT_S = 1.0
MAX_KEEPER_SWITCHES = 3
MAX_MOVES = 8

# Neither another endpoint nor another keeper would answer differently.
FINAL = (
    BudgetExhausted,
    DeadlineExceeded,
    Forbidden,
    InvalidRequest,
    OwnerUnavailable,
)
KEEPER_GONE = (NotReady, PeerLost, PeerUnreachable)


@dataclass(frozen=True, slots=True)
class Restarted:
    """All chunks so far are void; the completion starts again at token 0."""

    reason: str


class _Attempt:
    """Where a completion is now and what has been received of it."""

    def __init__(
        self, request: Complete, end_s: float, exclude: frozenset[str]
    ) -> None:
        self.request = request
        self.end_s = end_s
        self.sequence = TokenSequence(request.offset_tokens, check_versions=False)
        self.never = exclude
        self.excluded: set[str] = set(exclude)
        self.routed: RoutedEndpoint | None = None
        self.keeper_switches = 0
        self.moves = 0
        self.replay = False
        self.may_have_run = request.offset_tokens > 0

    def note(self, error: CodedError) -> None:
        """Take what a failed try says about its effect."""
        if error.outcome is Outcome.UNKNOWN or self.sequence.end_tokens:
            self.may_have_run = True

    def without_false_promise(self, error: CodedError) -> CodedError:
        """Return an error that says ``not_run`` only if no try may have run."""
        if not self.may_have_run or error.outcome is Outcome.UNKNOWN:
            return error
        told = error_from_code(error.code, error.reason, error.retry_after_s)
        told.outcome = Outcome.UNKNOWN
        return told


class Relay:
    """Completes requests over faults of keepers and endpoints.

    A lost keeper is replaced by a substitute for the same engine, where the
    stream resumes by offset. After a failed engine the work starts anew
    elsewhere with the same seed: what was already passed on is compared with
    the new text and dropped. If it differs, a consumer that can drop what it
    has gets `Restarted`, any other a `StreamTorn` error; tokens of two
    different texts are never joined.

    Parameters
    ----------
    router : Router
        Chooses endpoints.
    budgets : RetryBudgets
        Bounds the retries of each team.
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
        """Yield the chunks of a completion, then its end.

        Parameters
        ----------
        request : Complete
            The request; `endpoint_id` may name the endpoint where it is
            already known to be held, or be empty.
        may_restart : bool
            Whether the consumer can drop what it has received.
        exclude : frozenset of str
            Endpoints that must not be used.
        on_routed : callable or None
            Is told where the completion is, before each try.

        Raises
        ------
        CodedError
            With what is known about the effect, and when to come back.
        """
        end_s = self._services.timer.now_s() + request.time_left_s
        attempt = _Attempt(request, end_s, exclude)
        if request.endpoint_id:
            attempt.routed = self._at(request.endpoint_id)
        while True:
            try:
                if attempt.routed is None:
                    attempt.routed = await self._choose(attempt)
            except CodedError as error:
                raise attempt.without_false_promise(error) from error
            if on_routed is not None:
                on_routed(attempt.routed)
            try:
                async with aclosing(self._stream(attempt)) as items:
                    async for item in items:
                        yield item
                self._budgets.succeeded(request.team)
                return
            except CodedError as error:
                failure = error
            attempt.note(failure)
            try:
                restarted = await self._recover(attempt, failure, may_restart)
            except CodedError as error:
                raise attempt.without_false_promise(error) from error
            if restarted:
                yield Restarted(failure.reason)

    def _at(self, endpoint_id: str) -> RoutedEndpoint | None:
        endpoint = self._services.directory.endpoint(endpoint_id)
        return self._router.via(endpoint) if endpoint is not None else None

    async def _choose(self, attempt: _Attempt) -> RoutedEndpoint:
        request = attempt.request
        return await self._router.choose(
            request.model,
            request.prompt,
            request.oldest_version,
            request.expected_tokens,
            request.work,
            frozenset(attempt.excluded),
        )

    async def _stream(
        self, attempt: _Attempt
    ) -> AsyncGenerator[Chunk | Completed, None]:
        routed = attempt.routed
        assert routed is not None
        left_s = attempt.end_s - self._services.timer.now_s()
        if left_s <= 0:
            raise DeadlineExceeded("the completion did not end in time")
        offset = 0 if attempt.replay else attempt.sequence.resume_offset()
        body = replace(
            attempt.request,
            endpoint_id=routed.endpoint.endpoint_id,
            time_left_s=left_s,
            offset_tokens=offset,
        )
        stream = self._services.peers.stream(routed.keeper_vm_id, body, left_s + LATE_S)
        async with aclosing(stream) as items:
            async for item in items:
                if isinstance(item, Completed):
                    self._router.learn(item)
                    yield item
                    return
                if item.offset_tokens < attempt.request.offset_tokens:
                    # What the consumer has cannot be compared with these.
                    raise StreamTorn("the engine started anew")
                fresh = attempt.sequence.accept(item)
                if fresh is not None:
                    yield fresh
        raise PeerLost(f"{routed.keeper_vm_id} ended a stream early")

    async def _recover(
        self, attempt: _Attempt, error: CodedError, may_restart: bool
    ) -> bool:
        """Prepare the next try, and return whether it starts at token 0.

        Raises
        ------
        CodedError
            If there must not be another one.
        """
        if isinstance(error, FINAL):
            raise error
        if isinstance(error, KEEPER_GONE):
            self._switch_keeper(attempt, error)
            return False
        return await self._switch_endpoint(attempt, error, may_restart)

    def _switch_keeper(self, attempt: _Attempt, error: CodedError) -> None:
        routed = attempt.routed
        assert routed is not None
        self._router.keeper_lost(routed.keeper_vm_id)
        attempt.keeper_switches += 1
        if attempt.keeper_switches > MAX_KEEPER_SWITCHES:
            raise error
        following = self._router.via(routed.endpoint)
        if following is None or following.keeper_vm_id == routed.keeper_vm_id:
            attempt.excluded.add(routed.endpoint.endpoint_id)
            following = None
            attempt.replay = True
        self._services.metrics.add("relay_keeper_switches_total")
        logger.warning("relay: {}", error.reason)
        attempt.routed = following

    async def _switch_endpoint(
        self, attempt: _Attempt, error: CodedError, may_restart: bool
    ) -> bool:
        routed = attempt.routed
        assert routed is not None
        attempt.excluded.add(routed.endpoint.endpoint_id)
        attempt.routed = None
        attempt.replay = True
        request = attempt.request
        attempt.moves += 1
        if attempt.moves > MAX_MOVES or not self._may_move(request.team, error):
            raise error
        self._services.metrics.add("relay_retries_total", team=request.team)
        logger.warning("relay: {}", error.reason)
        await self._cancel_at(routed, request.request_id, error)
        has_tokens = attempt.sequence.end_tokens > attempt.sequence.start_tokens
        torn = isinstance(error, StreamTorn) or request.offset_tokens > 0
        must_restart = torn or (isinstance(error, StaleVersion) and has_tokens)
        if not must_restart:
            await self._find_other(attempt, error)
            return False
        if not may_restart:
            raise error
        attempt.sequence = TokenSequence(0, check_versions=False)
        attempt.request = replace(request, attempt=request.attempt + 1, offset_tokens=0)
        attempt.excluded = set(attempt.never)
        return True

    def _may_move(self, team: str, error: CodedError) -> bool:
        """Whether the work may go elsewhere; what has not run moves for free."""
        if error.outcome is Outcome.NOT_RUN and not isinstance(error, Overloaded):
            return True
        return self._budgets.take(team)

    async def _find_other(self, attempt: _Attempt, error: CodedError) -> None:
        """Choose another endpoint, or give up with the first one's refusal."""
        try:
            attempt.routed = await self._choose(attempt)
        except CodedError:
            raise error from None

    async def _cancel_at(
        self, routed: RoutedEndpoint, request_id: str, error: CodedError
    ) -> None:
        """Stop what may still run where the work no longer is."""
        if error.outcome is Outcome.NOT_RUN:
            return
        body = CancelRequest(request_id)
        with suppress(CodedError):
            await self._services.peers.request(
                routed.keeper_vm_id, body, CANCEL_TIMEOUT_S
            )
