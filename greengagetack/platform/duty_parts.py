"""greengagetack.platform.duty_parts: the parts of a daemon in a deployment with duties.

A deployment whose settings have no `cloud` section has none of them.
"""

import asyncio
from collections.abc import Awaitable, Callable

from loguru import logger

from greengagetack.accounting.clock import FleetClock
from greengagetack.accounting.collection import UsageTable
from greengagetack.accounting.report import ReportTimings
from greengagetack.accounting.reporter import Reporter
from greengagetack.accounting.sender import UsageSender
from greengagetack.accounting.windows import UsageCounter
from greengagetack.coordination.claim import DispatcherClaim
from greengagetack.coordination.client import PeerClient
from greengagetack.coordination.duty_board import DutyBoard, DutyHolder
from greengagetack.coordination.duty_endpoints import DutyEndpoints
from greengagetack.coordination.duty_lease import DutyLease
from greengagetack.coordination.duty_seat import DutySeat
from greengagetack.coordination.messages import Member
from greengagetack.coordination.roster import Roster
from greengagetack.facts import FactTable
from greengagetack.observability.metrics import Metrics
from greengagetack.platform.duties import PlatformDutyApi
from greengagetack.platform.settings import CloudFacts, VmFacts
from greengagetack.platform.store import PlatformStore
from greengagetack.scaling.assembly import ScalingParts
from greengagetack.scaling.scaler import Scaler

__all__ = ["SCALING", "USAGE", "DutyParts", "make_duty_parts"]

USAGE = "usage"
SCALING = "scaling"
# Long enough that a slow store does not end the lease, and short enough that a report
# is on time when its holder fails just before it.
DUTY_LEASE_S = 3.0
DUTY_RENEWAL_S = 1.2
# The platform kills a daemon that exceeds its grace period.
FLUSH_LIMIT_S = 0.5

StartPart = Callable[[Callable[[], Awaitable[None]], str], None]


class DutyParts:
    """Creates the parts of the duties, and starts and stops them."""

    def __init__(
        self,
        facts: VmFacts,
        cloud: CloudFacts,
        local_member: Member,
        store: PlatformStore,
        roster: Roster,
        claim: DispatcherClaim,
        table: FactTable,
        peers: PeerClient,
        metrics: Metrics,
    ) -> None:
        self._facts = facts
        self._local_member = local_member
        self._store = store
        self._roster = roster
        self._claim = claim
        self._peers = peers
        self._metrics = metrics
        self.clock = FleetClock()
        self.api = PlatformDutyApi(cloud.api)
        self.board = DutyBoard(table)
        self._counter = UsageCounter(
            local_member.node,
            local_member.incarnation,
            self.clock.now_s,
            facts.window_s,
            metrics,
        )
        self._usage_table = UsageTable()
        self._sender = UsageSender(
            local_member.node,
            self._counter,
            self._usage_table,
            lambda: self.board.holder(USAGE),
            roster.members,
            lambda: self._usage_seat.successors(),
            peers,
            metrics,
        )
        table.subscribe(DutyHolder, self._on_holder)
        self.endpoints = DutyEndpoints(self.board, self.api, self.clock, self._sender)
        self._reporter: Reporter | None = None
        self._scaler: Scaler | None = None
        self.orders_replicas = cloud.orders_replicas
        self._calls_per_s = cloud.calls_per_s
        claim.clock = self.clock
        if cloud.reports_usage:
            self._usage_seat = self.make_seat(USAGE)
            self._usage_seat.on_release = self._sender.hand_over
            self._reporter = self._make_reporter(cloud)

    def make_seat(self, duty: str) -> DutySeat:
        """Create what acquires a duty; it runs once the parts are started."""
        lease = DutyLease(
            self._facts.node,
            self._store,
            f"duties/{duty}",
            self._facts.order_spacing_s,
            duty,
            DUTY_LEASE_S,
            DUTY_RENEWAL_S,
        )
        seat = DutySeat(
            duty,
            self._local_member,
            lease,
            self.board,
            self._roster,
            self._claim,
            self._peers,
            self.api,
            self._metrics,
        )
        self.endpoints.seats.append(seat)
        return seat

    def add_scaling(self, parts: ScalingParts) -> None:
        """Add the loop that orders replicas; called before the parts are started."""
        self.endpoints.scaling = parts.endpoints
        seat = self.make_seat(SCALING)
        self._scaler = parts.scaler(seat, self.api, self._calls_per_s)

    def _make_reporter(self, cloud: CloudFacts) -> Reporter:
        return Reporter(
            self._usage_seat,
            self.api,
            self._store,
            self._counter,
            self._usage_table,
            lambda: list(self._roster.members()),
            self._sender.update,
            ReportTimings.for_due(self._facts.window_s, self._facts.usage_late_s),
            cloud.calls_per_s,
            self._metrics,
        )

    @property
    def counter(self) -> UsageCounter | None:
        """Counts callers' requests, None if the deployment does not report them."""
        return None if self._reporter is None else self._counter

    def _on_holder(self, duty: str, holder: DutyHolder | None) -> None:
        if duty == USAGE:
            self._sender.on_holder_change()

    def start(self, start_part: StartPart) -> None:
        """Start all parts."""
        for seat in self.endpoints.seats:
            start_part(seat.run, f"{seat.duty} duty")
            start_part(seat.run_heartbeats, f"{seat.duty} heartbeats")
            start_part(seat.run_contact, f"{seat.duty} contact")
        start_part(self.board.run, "duties")
        if self._reporter is not None:
            start_part(self._sender.run, "usage")
            start_part(self._reporter.run, "usage reports")
        if self._scaler is not None:
            start_part(self._scaler.run, "scaling")

    async def leave(self) -> None:
        """Release the duties, as this daemon is about to stop."""
        if self._reporter is not None:
            self._sender.leave()
        for seat in self.endpoints.seats:
            await seat.stop()

    async def flush(self) -> None:
        """Send what was counted until all requests have ended."""
        if self._reporter is None:
            return
        try:
            async with asyncio.timeout(FLUSH_LIMIT_S):
                await self._sender.flush()
        except TimeoutError:
            logger.warning("usage: the last totals were not sent in time")


def make_duty_parts(
    facts: VmFacts,
    local_member: Member,
    store: PlatformStore,
    roster: Roster,
    claim: DispatcherClaim,
    table: FactTable,
    peers: PeerClient,
    metrics: Metrics,
) -> DutyParts | None:
    """Return the parts, None in a deployment without duties."""
    if facts.cloud is None:
        return None
    return DutyParts(
        facts, facts.cloud, local_member, store, roster, claim, table, peers, metrics
    )
