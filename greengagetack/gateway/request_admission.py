"""greengagetack.gateway.request_admission: whether a request may go to replicas now."""

import time

from greengagetack.errors import NoEndpoint, Overloaded
from greengagetack.gateway.call import Call
from greengagetack.gateway.congestion import Congestion
from greengagetack.gateway.customer_shares import CustomerShares, RequestOutcome
from greengagetack.gateway.customers import DEFAULT_RANK
from greengagetack.gateway.routes import RequestKind, Route

__all__ = ["RequestAdmission"]

MS_PER_S = 1_000


class RequestAdmission:
    """Decides on one request of a congested service and counts how it ended.

    Parameters
    ----------
    shares : CustomerShares or None
        None if customers are not kept to shares.
    """

    def __init__(
        self,
        congestion: Congestion,
        shares: CustomerShares | None,
        call: Call,
        route: Route,
        deadline_s: float,
    ) -> None:
        self._congestion = congestion
        self._shares = shares if call.customer and not call.resumes else None
        self._call = call
        self._is_streaming = route.kind is RequestKind.STREAM
        self._service = route.service_for(call.routing_id)
        self._arrived_s = time.monotonic()
        self._deadline_s = deadline_s
        self._has_returned = congestion.has_returned(route.name, self._remaining_s())
        self._is_surplus = False

    def _remaining_s(self) -> float:
        return self._deadline_s - time.monotonic()

    def check(self) -> None:
        """Check whether the request may be sent to replicas.

        A stream that is taken up was admitted when it began.

        Raises
        ------
        Overloaded
            If its customer is above its fair share of a congested service.
        NoEndpoint
            If enough others have come back, or it cannot be served in time.
        """
        if self._call.resumes:
            return
        if self._shares is not None:
            self._check_shares(self._shares, self._call.customer or "")
        self._check_in_time()

    def _check_shares(self, shares: CustomerShares, customer: str) -> None:
        if shares.is_surplus(self._service, customer):
            self._is_surplus = True
            raise Overloaded(
                f"customer {customer} asks for more than its fair share of "
                f"{self._service}, whose places are all in use",
                self.retry_after_s(),
            )
        if not self._has_returned and shares.yields(self._service):
            raise NoEndpoint(
                f"the places of {self._service} go to requests that were refused "
                "before",
                self.retry_after_s(),
            )

    def _check_in_time(self) -> None:
        """Refuse a request that would leave a queue after its deadline.

        A stream's time does not depend on the wait alone, and customers with a rank
        before the usual one wait less than others at the replicas.
        """
        urgency = self._call.urgency
        if self._is_streaming or (urgency is not None and urgency < DEFAULT_RANK):
            return
        remaining_s = self._remaining_s()
        if not self._congestion.is_too_late(self._service, remaining_s):
            return
        backlog = self._congestion.backlog(self._service)
        wait_ms = 0 if backlog is None else int(backlog.wait_s * MS_PER_S)
        raise NoEndpoint(
            f"the wait for a place of {self._service} is about {wait_ms} ms, "
            f"with {int(remaining_s * MS_PER_S)} ms left",
            self.retry_after_s(),
        )

    def record_full(self) -> None:
        """Record that the replicas refused the request because they were full."""
        self._congestion.record_full(self._service)

    def retry_after_s(self) -> float:
        """Return when the caller should come back after a refusal."""
        return self._congestion.retry_after_s(
            self._service, self._remaining_s(), self._has_returned
        )

    def record_outcome(self, is_served: bool) -> None:
        """Count the request, which was served, or refused before it ran."""
        duration_s = time.monotonic() - self._arrived_s
        self._congestion.record(self._service, is_served, duration_s)
        if self._shares is None:
            return
        outcome = RequestOutcome(
            self._call.customer or "", is_served, self._has_returned, self._is_surplus
        )
        self._shares.record(self._service, outcome)
