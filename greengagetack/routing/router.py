"""greengagetack.routing.router: choice of the endpoint and keeper for a request."""

import asyncio
import random
from dataclasses import dataclass

from greengagetack.daemons.role import Services
from greengagetack.errors import CodedError, NoEndpoint
from greengagetack.keeper.messages import (
    Completed,
    EndpointLoad,
    ProbeEndpoints,
    ProbeReply,
)
from greengagetack.keeper.prefixes import prefix_hash
from greengagetack.routing.base import Query, RoutingPolicy, make_policy
from greengagetack.routing.loads import LoadTable
from greengagetack.world import Endpoint

__all__ = ["RoutedEndpoint", "Router"]

PROBE_TIMEOUT_S = 1.0
LOST_KEEPER_PAUSE_S = 2.0
RETRY_AFTER_S = 0.5
RETRY_JITTER_RATIO = 0.5
CHARACTERS_PER_TOKEN = 4


@dataclass(frozen=True, slots=True)
class RoutedEndpoint:
    """An endpoint and the VM whose keeper serves it."""

    endpoint: Endpoint
    keeper_vm_id: str


class Router:
    """Chooses endpoints for the requests of one daemon.

    The number of messages does not depend on the size of the fleet: only the
    candidates of requests are probed, in the background, and each response
    includes the load of its endpoint.

    Parameters
    ----------
    services : Services
        Shared services of the daemon.
    seed : int or None
        Seed of random choices.
    """

    def __init__(self, services: Services, seed: int | None = None) -> None:
        self.services = services
        self.loads = LoadTable(services.timer)
        self._rng = random.Random(seed)
        self._policy: RoutingPolicy | None = None
        self._avoided_until_s: dict[str, float] = {}
        self._calls_in_flight: dict[str, int] = {}
        self._probing_ids: set[str] = set()
        self._probe_tasks: set[asyncio.Task[None]] = set()

    def _current_policy(self) -> RoutingPolicy:
        routing = self.services.settings.fleet().routing
        policy = self._policy
        if policy is None or policy.name != routing.policy:
            policy = make_policy(routing.policy, self.loads, routing.probes, self._rng)
            self._policy = policy
        policy.probes = routing.probes
        return policy

    async def choose(
        self,
        model: str,
        prompt: str,
        oldest_version: int,
        expected_tokens: int,
        work: str,
        exclude: frozenset[str] = frozenset(),
    ) -> RoutedEndpoint:
        """Return the endpoint for a completion and its keeper.

        Parameters
        ----------
        exclude : frozenset of str
            Endpoints that have refused or failed the request.

        Raises
        ------
        NoEndpoint
            With a retry time, if no endpoint may serve the request now.
        """
        policy = self._current_policy()
        query = Query(
            model,
            prefix_hash(prompt),
            expected_tokens,
            work,
            oldest_version,
            len(prompt) // CHARACTERS_PER_TOKEN,
        )
        endpoints = self._eligible_endpoints(policy, query, exclude)
        if not endpoints:
            raise self._no_endpoint_error(model, oldest_version)
        candidates = policy.candidates(query, endpoints)
        await self._probe_if_unknown(query, candidates)
        usable = tuple(
            item
            for item in candidates
            if policy.is_usable(self.loads.get(item.endpoint_id), query)
        )
        chosen = policy.choose(query, usable or candidates)
        self._probe_in_background(query, candidates)
        routed = self.route_to(chosen)
        if routed is None:
            raise self._no_endpoint_error(model, oldest_version)
        self.loads.add_routed_tokens(chosen.endpoint_id, expected_tokens)
        return routed

    def _eligible_endpoints(
        self, policy: RoutingPolicy, query: Query, exclude: frozenset[str]
    ) -> tuple[Endpoint, ...]:
        directory = self.services.directory
        available = tuple(
            endpoint
            for endpoint in directory.endpoints_serving(query.model)
            if endpoint.endpoint_id not in exclude
            and not directory.is_leaving(endpoint.endpoint_id)
        )
        usable = tuple(
            endpoint
            for endpoint in available
            if policy.is_usable(self.loads.get(endpoint.endpoint_id), query)
        )
        # Known loads may be out of date: if they rule out all, consider all.
        return usable or available

    def _no_endpoint_error(self, model: str, oldest_version: int) -> NoEndpoint:
        jitter = self._rng.uniform(1 - RETRY_JITTER_RATIO, 1 + RETRY_JITTER_RATIO)
        return NoEndpoint(
            f"no endpoint serves {model!r} in version {oldest_version} or later",
            RETRY_AFTER_S * jitter,
        )

    def route_to(self, endpoint: Endpoint) -> RoutedEndpoint | None:
        """Return an endpoint with its first keeper that was not lost recently."""
        keepers = self.services.directory.keepers_for(endpoint.endpoint_id)
        if not keepers:
            return None
        now_s = self.services.timer.now_s()
        for vm_id in keepers:
            if self._avoided_until_s.get(vm_id, 0.0) <= now_s:
                return RoutedEndpoint(endpoint, vm_id)
        return RoutedEndpoint(endpoint, keepers[0])

    def mark_keeper_lost(self, vm_id: str) -> None:
        """Avoid a keeper for ``LOST_KEEPER_PAUSE_S``."""
        self._avoided_until_s[vm_id] = self.services.timer.now_s() + LOST_KEEPER_PAUSE_S

    def update_load(self, completed: Completed) -> None:
        """Store the load that a response included."""
        self.loads.update(completed.load)

    def learn_load(self, load: EndpointLoad) -> None:
        """Store a load from another source."""
        self.loads.update(load)

    async def _probe_if_unknown(
        self, query: Query, candidates: tuple[Endpoint, ...]
    ) -> None:
        """Wait for a probe only if no candidate's load is known."""
        if any(self.loads.get(item.endpoint_id) is not None for item in candidates):
            return
        await asyncio.gather(*self._make_probes(query, candidates))

    def _probe_in_background(
        self, query: Query, candidates: tuple[Endpoint, ...]
    ) -> None:
        stale = tuple(
            item for item in candidates if not self.loads.is_fresh(item.endpoint_id)
        )
        for probe in self._make_probes(query, stale):
            task = asyncio.create_task(probe)
            self._probe_tasks.add(task)
            task.add_done_callback(self._probe_tasks.discard)

    def _make_probes(
        self, query: Query, endpoints: tuple[Endpoint, ...]
    ) -> "list[asyncio._CoroutineLike[None]]":
        endpoint_ids_by_keeper: dict[str, list[str]] = {}
        for endpoint in endpoints:
            routed = self.route_to(endpoint)
            if routed is None or endpoint.endpoint_id in self._probing_ids:
                continue
            endpoint_ids_by_keeper.setdefault(routed.keeper_vm_id, []).append(
                endpoint.endpoint_id
            )
        return [
            self._probe(vm_id, tuple(endpoint_ids), query.prefix_hash)
            for vm_id, endpoint_ids in endpoint_ids_by_keeper.items()
        ]

    async def _probe(
        self, vm_id: str, endpoint_ids: tuple[str, ...], prefix: int
    ) -> None:
        self._probing_ids.update(endpoint_ids)
        try:
            reply = await self.services.peers.request(
                vm_id, ProbeEndpoints(endpoint_ids, prefix), PROBE_TIMEOUT_S
            )
        except CodedError:
            self.mark_keeper_lost(vm_id)
            return
        finally:
            self._probing_ids.difference_update(endpoint_ids)
        if not isinstance(reply, ProbeReply):
            return
        for load, ratio in zip(reply.loads, reply.cached_ratios, strict=False):
            self.loads.update(load)
            self.loads.update_cached_ratio(load.endpoint_id, prefix, ratio)

    async def choose_service(
        self, name: str, exclude: frozenset[str] = frozenset()
    ) -> RoutedEndpoint:
        """Return the endpoint for a plain call: the less used of two at random.

        Raises
        ------
        NoEndpoint
            With a retry time, if no endpoint may serve the call now.
        """
        directory = self.services.directory
        endpoints = [
            endpoint
            for endpoint in directory.endpoints_serving(name)
            if endpoint.endpoint_id not in exclude
            and not directory.is_leaving(endpoint.endpoint_id)
        ]
        if not endpoints:
            raise NoEndpoint(f"no endpoint serves {name!r} now", RETRY_AFTER_S)
        sampled = self._rng.sample(endpoints, min(2, len(endpoints)))
        chosen = min(
            sampled, key=lambda item: self._calls_in_flight.get(item.endpoint_id, 0)
        )
        routed = self.route_to(chosen)
        if routed is None:
            raise NoEndpoint(
                f"endpoint {chosen.endpoint_id} has no keeper", RETRY_AFTER_S
            )
        return routed

    def call_started(self, endpoint_id: str) -> None:
        """Count a plain call as in flight."""
        self._calls_in_flight[endpoint_id] = (
            self._calls_in_flight.get(endpoint_id, 0) + 1
        )

    def call_ended(self, endpoint_id: str) -> None:
        """Count a plain call as ended."""
        self._calls_in_flight[endpoint_id] = max(
            0, self._calls_in_flight.get(endpoint_id, 0) - 1
        )

    def close(self) -> None:
        """Cancel running probes."""
        for task in list(self._probe_tasks):
            task.cancel()
