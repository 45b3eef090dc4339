"""greengagetack.routing.service_relay: a plain call to whichever endpoint serves."""

from dataclasses import replace

from loguru import logger

from greengagetack.errors import (
    CodedError,
    DeadlineExceeded,
    InvalidRequest,
    NotReady,
    Outcome,
    Overloaded,
    PeerLost,
    PeerUnreachable,
)
from greengagetack.keeper.messages import CallService, ServiceAnswer
from greengagetack.leases.decisions import may_repeat
from greengagetack.limits.retries import RetryBudgets
from greengagetack.routing.router import RoutedEndpoint, Router

__all__ = ["ServiceRelay"]

LATE_S = 0.5
MAX_TRIES = 6

KEEPER_GONE = (NotReady, PeerLost, PeerUnreachable)


class ServiceRelay:
    """Makes plain calls, and repeats only what is safe to repeat.

    A call that surely did not run goes to another endpoint or keeper. One that
    may have run is repeated only if it is idempotent, within the team's retry
    budget.
    """

    def __init__(self, router: Router, budgets: RetryBudgets) -> None:
        self._router = router
        self._services = router.services
        self._budgets = budgets

    async def call(self, request: CallService, *, idempotent: bool) -> ServiceAnswer:
        """Return the service's answer.

        `request.endpoint_id` is chosen here.

        Raises
        ------
        CodedError
            With the outcome ``not_run`` only if no try may have run.
        """
        end_s = self._services.timer.now_s() + request.time_left_s
        excluded: set[str] = set()
        first: CodedError | None = None
        for _ in range(MAX_TRIES):
            try:
                routed = await self._router.choose_service(
                    request.service, frozenset(excluded)
                )
            except CodedError as error:
                raise first or error from None
            try:
                answer = await self._call_at(routed, request, end_s)
            except CodedError as error:
                first = self._worse(first, error)
                self._check_repeat(request, error, first, idempotent)
                self._exclude(routed, error, excluded)
                logger.warning("relay: {}", error.reason)
                continue
            self._budgets.succeeded(request.team)
            return answer
        assert first is not None
        raise first

    @staticmethod
    def _worse(first: CodedError | None, error: CodedError) -> CodedError:
        """Keep an unknown outcome over a later refusal."""
        if first is not None and first.outcome is Outcome.UNKNOWN:
            return first
        return error

    def _check_repeat(
        self,
        request: CallService,
        error: CodedError,
        worst: CodedError,
        idempotent: bool,
    ) -> None:
        if isinstance(error, InvalidRequest | DeadlineExceeded):
            raise worst
        if not may_repeat(error.outcome, idempotent):
            raise worst
        free = error.outcome is Outcome.NOT_RUN and not isinstance(error, Overloaded)
        if not free and not self._budgets.take(request.team):
            raise worst
        self._services.metrics.add("relay_retries_total", team=request.team)

    def _exclude(
        self, routed: RoutedEndpoint, error: CodedError, excluded: set[str]
    ) -> None:
        if isinstance(error, KEEPER_GONE):
            self._router.keeper_lost(routed.keeper_vm_id)
            following = self._router.via(routed.endpoint)
            if following and following.keeper_vm_id != routed.keeper_vm_id:
                return
        excluded.add(routed.endpoint.endpoint_id)

    async def _call_at(
        self, routed: RoutedEndpoint, request: CallService, end_s: float
    ) -> ServiceAnswer:
        left_s = end_s - self._services.timer.now_s()
        if left_s <= 0:
            error = DeadlineExceeded("the time ran out before the call was sent")
            error.outcome = Outcome.NOT_RUN
            raise error
        endpoint_id = routed.endpoint.endpoint_id
        body = replace(request, endpoint_id=endpoint_id, time_left_s=left_s)
        self._router.call_started(endpoint_id)
        try:
            answer = await self._services.peers.request(
                routed.keeper_vm_id, body, left_s + LATE_S
            )
        finally:
            self._router.call_ended(endpoint_id)
        if not isinstance(answer, ServiceAnswer):
            raise PeerLost(f"{routed.keeper_vm_id} ended a call early")
        return answer
