"""greengagetack.scaling.assembly: connects the parts that scale the services."""

import dataclasses
import time
from collections.abc import Callable

from greengagetack.batches.dispatcher import Dispatcher
from greengagetack.batches.engine_properties import EngineProperties
from greengagetack.coordination.client import PeerClient
from greengagetack.coordination.duty_api import DutyApi
from greengagetack.gateway.forward import Forwarder
from greengagetack.gateway.routes import Configuration
from greengagetack.objects.feed import Feed
from greengagetack.observability.metrics import Metrics
from greengagetack.replicas.fleet import Fleet
from greengagetack.scaling.demand import DemandSource
from greengagetack.scaling.endpoints import ScalingEndpoints
from greengagetack.scaling.listing import ReplicaList
from greengagetack.scaling.need import DemandReport
from greengagetack.scaling.scaler import DutyTenure, Scaler

__all__ = ["ScalingParts"]


class ScalingParts:
    """The demand's measurement on each daemon, and the loop of the duty.

    Parameters
    ----------
    servers : Feed
        The list of replicas that the fleet follows.
    member_count : callable
        Returns the number of listed daemons.
    """

    def __init__(
        self,
        node: str,
        dispatcher: Dispatcher,
        forwarder: Forwarder,
        fleet: Fleet,
        properties: EngineProperties,
        configuration: Callable[[], Configuration],
        servers: Feed,
        peers: PeerClient,
        member_count: Callable[[], int],
        metrics: Metrics,
    ) -> None:
        self._dispatcher = dispatcher
        self._fleet = fleet
        self._configuration = configuration
        self._servers = servers
        self._peers = peers
        self._metrics = metrics
        self._source = DemandSource(
            node,
            dispatcher,
            fleet,
            properties,
            lambda: configuration().scaling,
            member_count,
            self._view_age_s,
        )
        self.endpoints = ScalingEndpoints(self._source, dispatcher)
        forwarder.on_arrival = self._source.arrivals.record
        peers.ping_reports.add(
            "arrivals", self._source.take_report, self._source.record_report
        )

    def _view_age_s(self) -> float:
        return time.monotonic() - self._servers.last_answer_s

    def _read_replicas(self) -> ReplicaList | None:
        if not self._servers.is_synced:
            return None
        return ReplicaList(
            tuple(self._fleet.all_replicas()),
            self._servers.revision,
            self._view_age_s(),
        )

    async def _fetch_demand(self, standing: str, wants_standing: bool) -> DemandReport:
        if not self._dispatcher.is_active:
            return await self._peers.fetch_demand(standing, wants_standing)
        self._source.keep_standing(standing)
        report = self._source.report(wants_standing)
        # The list of replicas is this daemon's own, so its age counts once.
        return dataclasses.replace(report, view_age_s=0.0)

    def scaler(self, tenure: DutyTenure, api: DutyApi, calls_per_s: float) -> Scaler:
        """Return the loop that orders replicas while the duty is held."""
        return Scaler(
            tenure,
            api,
            lambda: self._configuration().scaling,
            self._read_replicas,
            self._fetch_demand,
            calls_per_s,
            self._metrics,
        )
