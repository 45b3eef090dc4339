"""greengagetack.routing.service_relay: plain calls with retries at other endpoints."""

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

RESPONSE_MARGIN_S = 0.5
MAX_ATTEMPTS = 6

KEEPER_LOST_ERRORS = (NotReady, PeerLost, PeerUnreachable)


class ServiceRelay:
    """Makes plain calls, and repeats a call only where that is safe.

    A call that surely did not run is repeated at another endpoint or keeper. A
    call that may have run is repeated only if it is idempotent, within the
    team's retry budget.
    """

    def __init__(self, router: Router, budgets: RetryBudgets) -> None:
        self._router = router
        self._services = router.services
        self._budgets = budgets

    async def call(self, request: CallService, *, idempotent: bool) -> ServiceAnswer:
        """Return the service's response.

        The value of `request.endpoint_id` is ignored: the endpoint is chosen here.

        Raises
        ------
        CodedError
            With the outcome ``not_run`` only if no attempt may have run.
        """
        deadline_s = self._services.timer.now_s() + request.time_left_s
        excluded: set[str] = set()
        error_to_raise: CodedError | None = None
        for _ in range(MAX_ATTEMPTS):
            try:
                routed = await self._router.choose_service(
                    request.service, frozenset(excluded)
                )
            except CodedError as error:
                raise error_to_raise or error from None
            try:
                answer = await self._call_endpoint(routed, request, deadline_s)
            except CodedError as error:
                error_to_raise = self._keep_unknown_outcome(error_to_raise, error)
                self._require_repeatable(request, error, error_to_raise, idempotent)
                self._exclude(routed, error, excluded)
                logger.warning("relay: call failed: {}", error.reason)
                continue
            self._budgets.record_success(request.team)
            return answer
        assert error_to_raise is not None
        raise error_to_raise

    @staticmethod
    def _keep_unknown_outcome(
        error_to_raise: CodedError | None, error: CodedError
    ) -> CodedError:
        """Keep an earlier error with an unknown outcome over a later error."""
        if error_to_raise is not None and error_to_raise.outcome is Outcome.UNKNOWN:
            return error_to_raise
        return error

    def _require_repeatable(
        self,
        request: CallService,
        error: CodedError,
        error_to_raise: CodedError,
        idempotent: bool,
    ) -> None:
        if isinstance(error, InvalidRequest | DeadlineExceeded):
            raise error_to_raise
        if not may_repeat(error.outcome, idempotent):
            raise error_to_raise
        is_exempt = error.outcome is Outcome.NOT_RUN and not isinstance(
            error, Overloaded
        )
        if not is_exempt and not self._budgets.try_take(request.team):
            raise error_to_raise
        self._services.metrics.add("relay_retries_total", team=request.team)

    def _exclude(
        self, routed: RoutedEndpoint, error: CodedError, excluded: set[str]
    ) -> None:
        if isinstance(error, KEEPER_LOST_ERRORS):
            self._router.mark_keeper_lost(routed.keeper_vm_id)
            next_route = self._router.route_to(routed.endpoint)
            if next_route and next_route.keeper_vm_id != routed.keeper_vm_id:
                return
        excluded.add(routed.endpoint.endpoint_id)

    async def _call_endpoint(
        self, routed: RoutedEndpoint, request: CallService, deadline_s: float
    ) -> ServiceAnswer:
        left_s = deadline_s - self._services.timer.now_s()
        if left_s <= 0:
            error = DeadlineExceeded("the deadline passed before the call was sent")
            error.outcome = Outcome.NOT_RUN
            raise error
        endpoint_id = routed.endpoint.endpoint_id
        body = replace(request, endpoint_id=endpoint_id, time_left_s=left_s)
        self._router.call_started(endpoint_id)
        try:
            answer = await self._services.peers.request(
                routed.keeper_vm_id, body, left_s + RESPONSE_MARGIN_S
            )
        finally:
            self._router.call_ended(endpoint_id)
        if not isinstance(answer, ServiceAnswer):
            raise PeerLost(
                f"keeper {routed.keeper_vm_id} closed the call without a response"
            )
        return answer
