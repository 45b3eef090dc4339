"""features.support.keeper_world: keepers and an entry in front of fake engines."""

from collections.abc import Callable
from contextlib import aclosing
from dataclasses import dataclass, field, replace
from typing import Any

from behave.runner import Context

from features.support.fake_engine import FakeEngine, token_text
from features.support.fakes import (
    SHARD_COUNT,
    FakeCell,
    FakeDirectory,
    FakeSettings,
    FakeShards,
)
from features.support.loops import run_on_loop, start_loop
from features.support.memory_platform import MemoryPlatform
from greengagetack.daemons.role import Services
from greengagetack.errors import CodedError
from greengagetack.keeper.messages import Chunk, Complete, Completed, Work
from greengagetack.keeper.role import KeeperRole
from greengagetack.limits.owner import BudgetRole
from greengagetack.limits.retries import RetryBudgets
from greengagetack.membership.table import ShardPair
from greengagetack.observability.metrics import Metrics
from greengagetack.observability.traces import SpanStore
from greengagetack.peers.node import PeerNode, listening_socket
from greengagetack.routing.relay import Relay, Restarted
from greengagetack.routing.router import Router
from greengagetack.routing.shared import SharedRouting
from greengagetack.settings.schema import (
    AdmissionSettings,
    FleetSettings,
    RoutingSettings,
    TeamSettings,
    VmSettings,
)
from greengagetack.timer import Timer
from greengagetack.world import Address, Endpoint, EndpointKind, Fencing, Vm

WAIT_TIMEOUT_S = 10.0
POLL_S = 0.01
ROUTING = RoutingSettings(ejection_s=0.5)
ADMISSION = AdmissionSettings()
TEAMS = tuple(TeamSettings(team) for team in ("t", "flood", "small"))


@dataclass
class Answer:
    """Everything that one reader received."""

    chunks: list[Chunk] = field(default_factory=list)
    completed: Completed | None = None
    error: CodedError | None = None
    restarts: int = 0

    @property
    def text(self) -> str:
        """The concatenated text of all chunks."""
        return "".join(chunk.text for chunk in self.chunks)

    @property
    def versions(self) -> list[int]:
        """The weight version of each chunk."""
        return [chunk.weight_version for chunk in self.chunks]


class KeeperWorld:
    """VMs on loopback: the keepers `a` and `b` and the entry `door`."""

    def __init__(self) -> None:
        self.engines: dict[str, FakeEngine] = {}
        self.cell = FakeCell(())
        self.timer = Timer(1)
        self.nodes: dict[str, PeerNode] = {}
        self.services: dict[str, Services] = {}
        self.roles: dict[str, KeeperRole] = {}
        self.settings = FakeSettings(FleetSettings(), ())
        self.platform = MemoryPlatform()
        self._count = 0

    async def start(
        self,
        engine_count: int = 1,
        slots: int = 4,
        teams: tuple[TeamSettings, ...] = TEAMS,
        routing: RoutingSettings = ROUTING,
        admission: AdmissionSettings = ADMISSION,
        fencing: Fencing = Fencing.CHECKED,
    ) -> None:
        """Start the engines, VMs and keepers on loopback."""
        endpoints = []
        for number in range(1, engine_count + 1):
            engine = FakeEngine()
            await engine.start()
            name = f"e{number}"
            self.engines[name] = engine
            endpoints.append(
                Endpoint(
                    name,
                    EndpointKind.ENGINE,
                    "m",
                    "openai",
                    engine.url,
                    "z1",
                    fencing=fencing,
                    slots=slots,
                )
            )
        fleet = FleetSettings(tuple(endpoints), routing=routing, admission=admission)
        self.cell = FakeCell(tuple(endpoints))
        self.settings = FakeSettings(fleet, teams)
        for vm_id in ("a", "b", "door"):
            await self._add_vm(vm_id)
        for number, endpoint in enumerate(endpoints):
            order = ("a", "b") if number % 2 == 0 else ("b", "a")
            self.cell.keepers[endpoint.endpoint_id] = order
        for shard in range(SHARD_COUNT):
            self.cell.pairs[shard] = ShardPair(shard, 1, "door")
        self.budgets = BudgetRole(self.services["door"])
        await self.budgets.start()
        for vm_id in ("a", "b"):
            self.roles[vm_id] = KeeperRole(self.services[vm_id])
            await self.roles[vm_id].start()
        self.router = Router(self.services["door"], seed=1)
        self.relay = Relay(self.router, RetryBudgets(self.settings))

    async def _add_vm(self, vm_id: str) -> None:
        node = PeerNode(vm_id, "1", self.timer)
        listener = listening_socket(Address("127.0.0.1", 0))
        address = Address("127.0.0.1", listener.getsockname()[1])
        await node.start(listener)
        for other_id, other in self.nodes.items():
            other.set_address(vm_id, address)
            known = self.services[other_id].vm.peer
            node.set_address(other_id, known)
        self.nodes[vm_id] = node
        settings = VmSettings(vm_id, "z1", "cell", "http://127.0.0.1:1", peer=address)
        vm = Vm(vm_id, "z1", "1", address, address)
        self.cell.members += (vm,)
        self.services[vm_id] = Services(
            vm=settings,
            timer=self.timer,
            peers=node,
            platform=self.platform,
            settings=self.settings,
            directory=FakeDirectory(vm_id, self.cell),
            shards=FakeShards(vm_id, self.cell),
            metrics=Metrics(),
            spans=SpanStore(vm_id),
            routing=SharedRouting(),
        )

    def request(self, **fields: Any) -> Complete:
        """Return a request with a new identifier."""
        self._count += 1
        base = Complete(
            request_id=f"r{self._count}",
            team="t",
            work=Work.CALLER,
            endpoint_id="e1",
            model="m",
            prompt="hello",
            max_tokens=20,
            seed=7,
            time_left_s=20.0,
        )
        return replace(base, **fields)

    async def ask(
        self,
        vm_id: str,
        request: Complete,
        on_chunk: Callable[[Answer], None] | None = None,
    ) -> Answer:
        """Send a request to one keeper and collect the answer."""
        answer = Answer()
        stream = self.nodes["door"].stream(vm_id, request, 20.0)
        await self._collect(stream, answer, on_chunk)
        return answer

    async def ask_relay(
        self,
        request: Complete,
        may_restart: bool = False,
        on_chunk: Callable[[Answer], None] | None = None,
    ) -> Answer:
        """Send a request through the relay and collect the answer."""
        answer = Answer()
        stream = self.relay.complete(request, may_restart=may_restart)
        await self._collect(stream, answer, on_chunk)
        return answer

    async def _collect(
        self,
        stream: Any,
        answer: Answer,
        on_chunk: Callable[[Answer], None] | None,
    ) -> None:
        try:
            async with aclosing(stream) as items:
                async for item in items:
                    if isinstance(item, Restarted):
                        answer.restarts += 1
                        answer.chunks.clear()
                        continue
                    if isinstance(item, Completed):
                        answer.completed = item
                        continue
                    answer.chunks.append(item)
                    if on_chunk is not None:
                        on_chunk(answer)
        except CodedError as error:
            answer.error = error

    async def until(self, condition: Callable[[], bool]) -> None:
        """Wait up to ``WAIT_TIMEOUT_S`` seconds for a condition."""
        end_s = self.timer.now_s() + WAIT_TIMEOUT_S
        while not condition():
            assert self.timer.now_s() < end_s, "the condition was not met in time"
            await self.timer.sleep(POLL_S)

    async def crash_keeper(self, vm_id: str) -> None:
        """Crash a keeper: close its links and its listening socket."""
        await self.nodes[vm_id].close()
        await self.roles.pop(vm_id).close()

    async def close(self) -> None:
        """Stop the keepers, links and engines."""
        self.router.close()
        for role in self.roles.values():
            await role.close()
        for node in self.nodes.values():
            await node.close()
        for engine in self.engines.values():
            await engine.crash()
        self.timer.close()


def start_world(context: Context, **options: Any) -> None:
    """Start the keepers and engines of a scenario."""
    start_loop(context)
    context.world = KeeperWorld()
    context.add_cleanup(lambda: run_on_loop(context, context.world.close()))
    run_on_loop(context, context.world.start(**options))
    context.engine = context.world.engines["e1"]


def whole_text(count: int, prompt: str = "hello", seed: int = 7) -> str:
    """Return the expected text of a completion."""
    return "".join(token_text(prompt, seed, index) for index in range(count))


def assert_whole(answer: Any, count: int) -> None:
    """Check that an answer has each token exactly once and is complete."""
    assert answer.error is None, answer.error
    assert answer.text == whole_text(count), answer.text
    position = answer.chunks[0].offset_tokens
    for chunk in answer.chunks:
        assert chunk.offset_tokens == position
        position += chunk.token_count
    assert answer.completed.token_count == count
