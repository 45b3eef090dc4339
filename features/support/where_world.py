"""features.support.where_world: the parts of a daemon that explain a request."""

import random
import time
from types import SimpleNamespace
from typing import Any

from greengagetack.batches.engine_properties import EngineProperties
from greengagetack.batches.item_placement import ItemPlacement, PlacementRound
from greengagetack.coordination.messages import Member
from greengagetack.daemons.where import WhereAnswers
from greengagetack.errors import CodedError
from greengagetack.facts import FactTable
from greengagetack.gateway.customers import Customer
from greengagetack.gateway.routes import Configuration, RequestKind, Route, RouteTable
from greengagetack.gateway.zone_routing import ZoneRouting
from greengagetack.observability.metrics import Metrics
from greengagetack.replicas.ejections import LIFETIME_S, Ejections, ReplicaEjected
from greengagetack.replicas.fleet import Fleet
from greengagetack.replicas.paths import ReplicaPaths
from greengagetack.replicas.permits import Permits
from greengagetack.replicas.replica import Replica, ReplicaState
from greengagetack.replicas.zone_cost import ZoneCost
from greengagetack.world import Address

__all__ = ["DISPATCHER_HOST", "KEY", "WhereWorld"]

KEY = "key-of-acme"
DISPATCHER_HOST = "127.0.0.2"
SERVICE = "svc"
MODEL = "m"
SLOTS = 4


def _route(name: str, kind: RequestKind, services: tuple[str, ...]) -> Route:
    weighted = tuple((service, 1.0) for service in services)
    return Route(name, "h", f"/{name}/", kind, weighted, 1000.0, 500.0, 5, 2)


class WhereWorld:
    """Explains requests to a service; `is_dispatcher` says who runs the jobs."""

    def __init__(self, is_dispatcher: bool = True, node: str = "v1") -> None:
        self.is_dispatcher = is_dispatcher
        self.node = node
        self.fleet = Fleet(lambda: float("-inf"))
        self.facts = FactTable("epoch", lambda: self.is_dispatcher)
        self.metrics = Metrics()
        peers: Any = SimpleNamespace()
        self.permits = Permits(self.fleet, peers, self.facts, self.metrics)
        self.ejections = Ejections(
            "v1", self.fleet, peers, self.facts, self.metrics, lambda: 1
        )
        self.paths = ReplicaPaths(self.fleet, peers)
        self.used: dict[str, float] = {}
        self.zones = ZoneRouting(
            "a", ZoneCost(), lambda service, zone: self.used.get(zone, 0.0)
        )
        self.placement = ItemPlacement(
            self.fleet, self.permits, self.paths, EngineProperties(), "a", ZoneCost()
        )
        self.table: RouteTable | None = RouteTable(
            Configuration(
                7,
                (
                    _route("plain", RequestKind.IDEMPOTENT, (SERVICE,)),
                    _route("jobs", RequestKind.ROLLOUT, (SERVICE,)),
                    _route("empty", RequestKind.IDEMPOTENT, ("none",)),
                ),
                customers=(Customer("acme", (KEY,), 2),),
            )
        )
        self.answers = WhereAnswers(
            node,
            lambda: self.table,
            self.fleet,
            _namespace(paths=self.paths, zone_reading=self.zones.reading),
            self.ejections,
            self.permits,
            self._dispatcher(),
            _namespace(holder=self._holder()),
            (),
        )

    def _holder(self) -> Member:
        node = self.node if self.is_dispatcher else "v2"
        return Member(node, "i", f"{DISPATCHER_HOST}:1", "a")

    def _dispatcher(self) -> Any:
        def start_reading(service: str) -> PlacementRound:
            return self.placement.start_reading([])

        return _namespace(
            is_active=self.is_dispatcher,
            start_reading=start_reading,
            tokens_per_event_of=lambda service: 1,
            loading_ids=self.placement.loading_ids,
        )

    def add(self, name: str, zone: str = "a", version: int = 1) -> ReplicaState:
        """List a replica."""
        replica = Replica(
            name,
            SERVICE,
            Address("10.0.0.1", 80),
            zone,
            SLOTS,
            False,
            ((MODEL, version),),
        )
        self.fleet.update([replica], [])
        state = self.fleet.get(name)
        assert state is not None
        return state

    def add_random(self, count: int, seed: int) -> None:
        """List replicas in three zones, some of them with a fault."""
        rng = random.Random(seed)
        for number in range(count):
            state = self.add(f"r{number}", rng.choice("abc"))
            if rng.random() < 0.7:
                state.record_success(rng.uniform(0.01, 0.2))
            state.in_flight = rng.randrange(SLOTS + 2)
            if rng.random() < 0.3:
                self.apply_fault(rng.choice(FAULTS), state)
        self.used["c"] = rng.choice((0.0, 0.9))
        known = self.zones._service(SERVICE)
        known.size_bytes = rng.uniform(0.0, 50_000.0)
        known.sampled_s = known.shares.decided_s = time.monotonic()
        known.shares.shares = {"b": rng.choice((0.0, 0.2, 0.7))}

    def apply_fault(self, fault: str, state: ReplicaState) -> None:
        """Let a replica get no requests."""
        now_s = time.monotonic()
        replica = state.replica
        match fault:
            case "is draining":
                draining = Replica(
                    replica.replica_id,
                    SERVICE,
                    replica.address,
                    replica.availability_zone,
                    SLOTS,
                    True,
                )
                self.fleet.update([draining], [])
            case "announced that it leaves":
                state.record_leaving()
            case "failed twice":
                state.record_failure()
                state.record_failure()
            case "refused a request":
                state.record_refusal(1.0)
            case "has no permit for 2 s":
                state.record_rate_limit(3.0)
                state.rate_limited_until_s = now_s + 2.0
            case "has no permit at the owner":
                # Within the first seconds an owner has no permit to grant.
                state.record_rate_limit(0.1)
            case "is ejected by a fact":
                fact = ReplicaEjected(0.5)
                key = f"{replica.replica_id}/{replica.started_ms}"
                self.facts.publish(key, fact, LIFETIME_S)
            case "is ejected by own evidence":
                state.begin_probation(4.0)
            case "loads weights":
                self.placement.loading_ids.add(replica.replica_id)
            case "is full":
                state.in_flight = SLOTS
            case "has old weights":
                assert replica.version_of(MODEL) == 1
            case "is cut off with all others":
                self.paths._lost.add(SERVICE)
            case _:
                raise AssertionError(fault)

    def state(self) -> str:
        """Return all state that a decision reads or changes, as text."""
        zones = {
            name: (
                known.shares.shares,
                known.shares._samples,
                known.shares.decided_s,
                known.sampled_s,
                known.size_bytes,
            )
            for name, known in self.zones._services.items()
        }
        placement = self.placement
        states = [
            (name, str(state).partition("on_observed_limit")[0], state.ends_at_s)
            for name, state in self.fleet._states.items()
        ]
        parts = [
            states,
            zones,
            self.permits._buckets,
            self.permits._owner_since_s,
            self.ejections._outcomes,
            self.ejections._probations,
            self.facts._entries,
            self.paths._lost,
            self.paths._rng.getstate(),
            random.getstate(),
            sorted(placement.loading_ids),
            vars(placement.prompts),
            placement._paces._paces,
            self.metrics.render(),
        ]
        return repr(parts)

    def ask(self, **parameters: str) -> Any:
        """Return the answer, or the code of the error."""
        try:
            return self.answers.answer(list(parameters.items()))
        except CodedError as error:
            return error.code


def _namespace(**parts: Any) -> Any:
    return SimpleNamespace(**parts)


FAULTS = (
    "is draining",
    "announced that it leaves",
    "failed twice",
    "refused a request",
    "has no permit for 2 s",
    "is ejected by a fact",
    "is ejected by own evidence",
)
