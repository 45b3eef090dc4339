"""greengagetack.routing.router: the front door's choice of endpoint and keeper."""

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
KEEPER_PAUSE_S = 2.0
RETRY_S = 0.5
RETRY_SPREAD = 0.5
CHARACTERS_PER_TOKEN = 4


@dataclass(frozen=True, slots=True)
class RoutedEndpoint:
    """An endpoint and the VM through which it is reached."""

    endpoint: Endpoint
    keeper_vm_id: str


class Router:
    """Chooses endpoints for the requests of one front door.

    The cost in messages does not depend on the size of the fleet: only the
    candidates of requests are probed, in the background, and each answer
    brings the load of its endpoint along.

    Parameters
    ----------
    services : Services
        What the daemon offers.
    seed : int or None
        Seed of random choices.
    """

    def __init__(self, services: Services, seed: int | None = None) -> None:
        self.services = services
        self.loads = LoadTable(services.timer)
        self._chance = random.Random(seed)
        self._policy: RoutingPolicy | None = None
        self._lost_keepers: dict[str, float] = {}
        self._calls: dict[str, int] = {}
        self._probing: set[str] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    def _current_policy(self) -> RoutingPolicy:
        routing = self.services.settings.fleet().routing
        policy = self._policy
        if policy is None or policy.name != routing.policy:
            policy = make_policy(
                routing.policy, self.loads, routing.probes, self._chance
            )
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
            With a time to come back, if none may serve the request now.
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
        endpoints = self._servable(policy, query, exclude)
        if not endpoints:
            raise self._none_left(model, oldest_version)
        candidates = policy.candidates(query, endpoints)
        await self._learn_first(query, candidates)
        usable = tuple(
            item
            for item in candidates
            if policy.usable(self.loads.get(item.endpoint_id), query)
        )
        chosen = policy.choose(query, usable or candidates)
        self._probe_in_background(query, candidates)
        routed = self.via(chosen)
        if routed is None:
            raise self._none_left(model, oldest_version)
        self.loads.placed(chosen.endpoint_id, expected_tokens)
        return routed

    def _servable(
        self, policy: RoutingPolicy, query: Query, exclude: frozenset[str]
    ) -> tuple[Endpoint, ...]:
        directory = self.services.directory
        open_ones = tuple(
            endpoint
            for endpoint in directory.endpoints_serving(query.model)
            if endpoint.endpoint_id not in exclude
            and not directory.is_leaving(endpoint.endpoint_id)
        )
        usable = tuple(
            endpoint
            for endpoint in open_ones
            if policy.usable(self.loads.get(endpoint.endpoint_id), query)
        )
        # What was learnt may be out of date: with nothing left, ask them all.
        return usable or open_ones

    def _none_left(self, model: str, oldest_version: int) -> NoEndpoint:
        spread = self._chance.uniform(1 - RETRY_SPREAD, 1 + RETRY_SPREAD)
        return NoEndpoint(
            f"no endpoint serves {model!r} from version {oldest_version} on",
            RETRY_S * spread,
        )

    def via(self, endpoint: Endpoint) -> RoutedEndpoint | None:
        """Return an endpoint with the first keeper that is not known as lost."""
        keepers = self.services.directory.keepers_for(endpoint.endpoint_id)
        if not keepers:
            return None
        now_s = self.services.timer.now_s()
        for vm_id in keepers:
            if self._lost_keepers.get(vm_id, 0.0) <= now_s:
                return RoutedEndpoint(endpoint, vm_id)
        return RoutedEndpoint(endpoint, keepers[0])

    def keeper_lost(self, vm_id: str) -> None:
        """Pass a keeper over for a while."""
        self._lost_keepers[vm_id] = self.services.timer.now_s() + KEEPER_PAUSE_S

    def learn(self, completed: Completed) -> None:
        """Take the load that came with an answer."""
        self.loads.learn(completed.load)

    def learn_load(self, load: EndpointLoad) -> None:
        """Take a load from elsewhere."""
        self.loads.learn(load)

    async def _learn_first(
        self, query: Query, candidates: tuple[Endpoint, ...]
    ) -> None:
        """Wait for a probe only if nothing at all is known."""
        if any(self.loads.get(item.endpoint_id) is not None for item in candidates):
            return
        await asyncio.gather(*self._probes(query, candidates))

    def _probe_in_background(
        self, query: Query, candidates: tuple[Endpoint, ...]
    ) -> None:
        stale = tuple(
            item for item in candidates if not self.loads.is_fresh(item.endpoint_id)
        )
        for probe in self._probes(query, stale):
            task = asyncio.create_task(probe)
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def _probes(
        self, query: Query, endpoints: tuple[Endpoint, ...]
    ) -> "list[asyncio._CoroutineLike[None]]":
        by_keeper: dict[str, list[str]] = {}
        for endpoint in endpoints:
            routed = self.via(endpoint)
            if routed is None or endpoint.endpoint_id in self._probing:
                continue
            by_keeper.setdefault(routed.keeper_vm_id, []).append(endpoint.endpoint_id)
        return [
            self._probe(vm_id, tuple(endpoint_ids), query.prefix_hash)
            for vm_id, endpoint_ids in by_keeper.items()
        ]

    async def _probe(
        self, vm_id: str, endpoint_ids: tuple[str, ...], prefix: int
    ) -> None:
        self._probing.update(endpoint_ids)
        try:
            reply = await self.services.peers.request(
                vm_id, ProbeEndpoints(endpoint_ids, prefix), PROBE_TIMEOUT_S
            )
        except CodedError:
            self.keeper_lost(vm_id)
            return
        finally:
            self._probing.difference_update(endpoint_ids)
        if not isinstance(reply, ProbeReply):
            return
        for load, ratio in zip(reply.loads, reply.cached_ratios, strict=False):
            self.loads.learn(load)
            self.loads.learn_cached(load.endpoint_id, prefix, ratio)

    async def choose_service(
        self, name: str, exclude: frozenset[str] = frozenset()
    ) -> RoutedEndpoint:
        """Return the endpoint for a plain call: the less used of two.

        Raises
        ------
        NoEndpoint
            With a time to come back, if none may serve the call now.
        """
        directory = self.services.directory
        endpoints = [
            endpoint
            for endpoint in directory.endpoints_serving(name)
            if endpoint.endpoint_id not in exclude
            and not directory.is_leaving(endpoint.endpoint_id)
        ]
        if not endpoints:
            raise NoEndpoint(f"no endpoint serves {name!r} now", RETRY_S)
        two = self._chance.sample(endpoints, min(2, len(endpoints)))
        chosen = min(two, key=lambda item: self._calls.get(item.endpoint_id, 0))
        routed = self.via(chosen)
        if routed is None:
            raise NoEndpoint(f"no keeper reaches {chosen.endpoint_id}", RETRY_S)
        return routed

    def call_started(self, endpoint_id: str) -> None:
        """Count a plain call in flight."""
        self._calls[endpoint_id] = self._calls.get(endpoint_id, 0) + 1

    def call_ended(self, endpoint_id: str) -> None:
        """Count a plain call that has ended."""
        self._calls[endpoint_id] = max(0, self._calls.get(endpoint_id, 0) - 1)

    def close(self) -> None:
        """Stop probing."""
        for task in list(self._tasks):
            task.cancel()
