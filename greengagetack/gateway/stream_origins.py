"""greengagetack.gateway.stream_origins: remembers which software began a stream.

What two software versions write does not fit together, and replicas do not check it. A
client that takes up a broken stream comes to any daemon, so several daemons remember
each resumable stream.
"""

import asyncio
import bisect
import time
from collections import OrderedDict
from dataclasses import dataclass
from typing import Protocol

import xxhash
from loguru import logger

from greengagetack.errors import CodedError
from greengagetack.world import Address

__all__ = ["RETENTION_S", "OriginPeers", "StreamOrigin", "StreamOrigins"]

# Daemons that remember a stream, besides the one that served it.
KEEPERS = 3
# A client takes up a stream within this time after its begin.
RETENTION_S = 120.0
MAX_ORIGINS = 50_000
# Origins are sent in batches of this time.
SEND_DELAY_S = 0.02


@dataclass(frozen=True, slots=True)
class StreamOrigin:
    """The software version that began the stream of a request."""

    request_id: str
    software: str


class OriginPeers(Protocol):
    """Calls to the daemons that remember streams."""

    def member_addresses(self) -> tuple[Address, ...]:
        """Return the addresses of all daemons, the same object until they change."""

    async def send_origins(
        self, address: Address, origins: tuple[StreamOrigin, ...]
    ) -> None:
        """Let a daemon remember streams."""

    async def fetch_origin(self, address: Address, request_id: str) -> str | None:
        """Return the software that began a stream, None if the daemon has no record."""


class _KeeperRing:
    """Assigns streams to daemons, equally on all daemons with the same members.

    The daemons follow each other on a ring, so that a change of the members moves only
    the streams beside it.
    """

    def __init__(self, addresses: tuple[Address, ...]) -> None:
        self.members = addresses
        points = sorted((_point(str(address)), address) for address in addresses)
        self._points = [point for point, _ in points]
        self._addresses = [address for _, address in points]

    def keepers(self, request_id: str) -> list[Address]:
        """Return the daemons that remember a stream."""
        count = len(self._addresses)
        first = bisect.bisect(self._points, _point(request_id))
        return [
            self._addresses[(first + offset) % count]
            for offset in range(min(KEEPERS, count))
        ]


def _point(text: str) -> int:
    return xxhash.xxh64_intdigest(text.encode())


class StreamOrigins:
    """Remembers streams, and finds those that other daemons remember."""

    def __init__(self, peers: OriginPeers, local_address: Address) -> None:
        self._peers = peers
        self._local_address = local_address
        self._origins: OrderedDict[str, tuple[str, float]] = OrderedDict()
        self._ring = _KeeperRing(())
        self._waiting: dict[Address, list[StreamOrigin]] = {}
        self._send_tasks: set[asyncio.Task[None]] = set()

    def record(self, origin: StreamOrigin) -> None:
        """Remember a stream that began here, here and at its keepers."""
        self.remember((origin,))
        for address in self._keepers(origin.request_id):
            if address not in self._waiting:
                self._waiting[address] = []
                task = asyncio.create_task(self._send(address))
                self._send_tasks.add(task)
                task.add_done_callback(self._send_tasks.discard)
            self._waiting[address].append(origin)

    async def _send(self, address: Address) -> None:
        await asyncio.sleep(SEND_DELAY_S)
        origins = tuple(self._waiting.pop(address))
        try:
            await self._peers.send_origins(address, origins)
        except CodedError as error:
            # The stream's other keepers remember it.
            logger.info(
                "streams: origins not sent to {}",
                address,
                streams=len(origins),
                reason=error.reason,
            )

    def remember(self, origins: tuple[StreamOrigin, ...]) -> None:
        """Remember streams that began here or at other daemons."""
        now_s = time.monotonic()
        for origin in origins:
            self._origins[origin.request_id] = (origin.software, now_s)
            self._origins.move_to_end(origin.request_id)
        while self._origins:
            _, recorded_s = next(iter(self._origins.values()))
            is_expired = now_s - recorded_s > RETENTION_S
            if not is_expired and len(self._origins) <= MAX_ORIGINS:
                return
            self._origins.popitem(last=False)

    def known(self, request_id: str) -> str | None:
        """Return the software that began a stream, None without a record here."""
        record = self._origins.get(request_id)
        return None if record is None else record[0]

    async def find(self, request_id: str) -> str | None:
        """Return the software that began a stream, None if no keeper knows it."""
        software = self.known(request_id)
        if software is not None:
            return software
        answers = [
            asyncio.create_task(self._fetch(address, request_id))
            for address in self._keepers(request_id)
        ]
        try:
            for answer in asyncio.as_completed(answers):
                software = await answer
                if software is not None:
                    self.remember((StreamOrigin(request_id, software),))
                    return software
        finally:
            for task in answers:
                task.cancel()
        return None

    async def _fetch(self, address: Address, request_id: str) -> str | None:
        try:
            return await self._peers.fetch_origin(address, request_id)
        except CodedError as error:
            logger.info(
                "streams: no answer from {} about a stream's origin",
                address,
                request_id=request_id,
                reason=error.reason,
            )
            return None

    def _keepers(self, request_id: str) -> list[Address]:
        """Return the other daemons that remember a stream."""
        members = self._peers.member_addresses()
        if members is not self._ring.members:
            self._ring = _KeeperRing(members)
        keepers = self._ring.keepers(request_id)
        return [address for address in keepers if address != self._local_address]
