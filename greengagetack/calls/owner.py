"""greengagetack.calls.owner: the role that runs the keyed calls of its shards."""

import asyncio

from greengagetack.calls.keyed import KeyedCalls
from greengagetack.calls.messages import KeyedCall
from greengagetack.daemons.role import Role, Services, role
from greengagetack.errors import OwnerUnavailable
from greengagetack.keeper.messages import CallService, ServiceAnswer
from greengagetack.observability.traces import span

__all__ = ["CallOwnerRole"]

SWEEP_INTERVAL_S = 30.0
DRAINING_RETRY_S = 0.5


@role
class CallOwnerRole(Role):
    """Runs keyed calls, each at most once."""

    name = "calls"
    started_by = "owner"

    def __init__(self, services: Services) -> None:
        super().__init__(services)

        async def send_once(call: CallService) -> ServiceAnswer:
            relay = services.routing.service_relay
            return await relay.call(call, idempotent=False)

        self._calls = KeyedCalls(
            services.shards,
            send_once,
            lambda: services.settings.fleet().key_retention_s,
            services.timer,
        )
        self._in_flight = 0
        self._draining = False
        self._idle = asyncio.Event()
        self._idle.set()

    async def start(self) -> None:
        """Register the handler of keyed calls and the deletion of old records."""
        self.services.peers.handle(KeyedCall, self._handle_call)
        self.services.timer.subscribe(
            SWEEP_INTERVAL_S, self._delete_expired, "calls sweep"
        )

    async def prepare_handover(self) -> None:
        """Refuse new calls and wait for those in flight."""
        self._draining = True
        await self._idle.wait()

    async def _handle_call(self, sender_vm_id: str, call: KeyedCall) -> ServiceAnswer:
        if self._draining:
            raise OwnerUnavailable("the owner of the key is stopping", DRAINING_RETRY_S)
        self._in_flight += 1
        self._idle.clear()
        with span("owner.call", team=call.call.team):
            task = asyncio.ensure_future(self._calls.run(call))
            task.add_done_callback(self._on_call_ended)
            # The call continues when the connection to its sender breaks.
            return await asyncio.shield(task)

    def _on_call_ended(self, task: "asyncio.Future[ServiceAnswer]") -> None:
        self._in_flight -= 1
        if self._in_flight == 0:
            self._idle.set()
        if not task.cancelled():
            task.exception()

    async def _delete_expired(self) -> None:
        await self._calls.delete_expired(self.services.settings.fleet().shard_count)
