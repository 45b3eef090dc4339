"""review.rig.slowing: replicas that slow down when they are nearly full, and clients.

PROTOCOL.md: "Replicas of one service differ in speed, and some slow down when they are
nearly full." These work on their requests in turn. They are no engines, and they never
break a stream.
"""

import asyncio
import http.client
import itertools
import threading
import time
from collections.abc import AsyncIterator
from dataclasses import dataclass

from starlette.requests import Request
from starlette.responses import Response, StreamingResponse

import standins.platform_cluster
from review.rig.deployment import HOST_NAME, CannotRun, Deployment, Record
from standins.platform_cluster import PLAIN_SERVICE
from standins.replica import Replica, seal_of

__all__ = ["SlowingReplica", "Stream", "Streams", "Work", "check_replicas"]

SLOTS = 8
TIMEOUT_MS = 12_000
# Clients leave after a gap of this long, also before the first event.
MAX_GAP_S = 2.0


@dataclass(frozen=True, slots=True)
class Work:
    """What a replica does for one stream, in seconds of its own time."""

    events: int
    first_s: float
    event_s: float
    # Between two events, without work.
    pause_s: float


class SlowingReplica(Replica):
    """Serves lookups at once, and streams in turn; a full one refuses.

    The head of an answer is sent when the request is taken.
    """

    work: Work

    def __init__(self, replica_id: str) -> None:
        super().__init__(replica_id, slots=SLOTS)
        self._turn = asyncio.Lock()
        self.taken_ids: set[str] = set()
        # Requests that it has begun to work on.
        self.ran_ids: set[str] = set()

    async def _handle_request(self, request: Request) -> Response:
        request_id = request.headers["x-request-id"]
        head = {"x-request-id": request_id, "x-response-seal": seal_of(request_id)}
        if request.headers.get("x-expect-instance", self.replica_id) != self.replica_id:
            return Response(status_code=421)
        if request.url.path.startswith("/lookup/"):
            return Response(b"found", headers=head)
        if self.running >= SLOTS:
            return Response(status_code=503, headers={**head, "x-not-executed": "1"})
        self.running += 1
        self.taken_ids.add(request_id)
        after = int(request.headers.get("last-event-id", "0"))
        return StreamingResponse(
            self._events(request_id, after + 1),
            headers=head,
            media_type="text/event-stream",
        )

    async def _do(self, request_id: str, work_s: float) -> None:
        """Work for one stream, in small steps that take turns with others."""
        step_s = min(work_s, 0.025)
        for _ in range(round(work_s / step_s)):
            async with self._turn:
                await asyncio.sleep(step_s)
            self.ran_ids.add(request_id)

    async def _events(self, request_id: str, first: int) -> AsyncIterator[bytes]:
        try:
            if self.work.first_s:
                await self._do(request_id, self.work.first_s)
            for number in range(first, self.work.events + 1):
                if self.work.event_s:
                    await self._do(request_id, self.work.event_s)
                yield b"id: %d\ndata: %b:%d\n\n" % (number, request_id.encode(), number)
                await asyncio.sleep(self.work.pause_s)
        finally:
            self.running -= 1


@dataclass(frozen=True, slots=True)
class Stream:
    """How a stream ended; times are monotonic."""

    request_id: str
    sent_s: float
    ended_s: float
    events: int
    end: str

    @property
    def is_complete(self) -> bool:
        """Whether the client got the whole stream."""
        return self.end == "complete"

    @property
    def is_cut(self) -> bool:
        """Whether the connection ended before the stream did."""
        return self.end.startswith("cut")


class Streams:
    """Clients that open one stream after another, each on a kept connection."""

    def __init__(self, name: str, address: str, clients: int, load_s: float) -> None:
        self._name = name
        self._address = address
        self._numbers = itertools.count()
        self._until_s = time.monotonic() + load_s
        self.all: list[Stream] = []
        self._threads = [threading.Thread(target=self._run) for _ in range(clients)]
        for thread in self._threads:
            thread.start()

    def wait(self) -> None:
        """Wait until the last stream has ended."""
        for thread in self._threads:
            thread.join()

    def _run(self) -> None:
        while time.monotonic() < self._until_s:
            connection = http.client.HTTPConnection(self._address, timeout=MAX_GAP_S)
            try:
                self._use(connection)
            finally:
                connection.close()
            time.sleep(0.1)

    def _use(self, connection: http.client.HTTPConnection) -> None:
        """Send a lookup, then streams, until one of them fails."""
        number = next(self._numbers)
        headers = {"Host": HOST_NAME, "X-Request-Id": f"{self._name}-lookup-{number}"}
        connection.request("POST", f"/lookup/{number}", b"", headers)
        connection.getresponse().read()
        while time.monotonic() < self._until_s:
            stream = self._stream(connection, f"{self._name}-{next(self._numbers)}")
            self.all.append(stream)
            if not stream.is_complete:
                return

    def _stream(
        self, connection: http.client.HTTPConnection, request_id: str
    ) -> Stream:
        headers = {
            "Host": HOST_NAME,
            "X-Request-Id": request_id,
            "X-Deadline-Ms": str(TIMEOUT_MS),
        }
        sent_s, text, status = time.monotonic(), b"", 0
        try:
            connection.request("POST", f"/chat/{request_id}", b"question", headers)
            response = connection.getresponse()
            status = response.status
            while part := response.read1():
                text += part
            end = f"status {status}"
            if status == 200:
                is_whole = text.count(b"\n\n") == SlowingReplica.work.events
                end = "complete" if is_whole else "cut, status 200, as if complete"
        except TimeoutError:
            end = "left after a gap"
        except (OSError, http.client.HTTPException) as error:
            end = f"cut, status {status}: {type(error).__name__}"
        events = text.count(b"\n\n") if status == 200 else 0
        return Stream(request_id, sent_s, time.monotonic(), events, end)


def start(deployment: Deployment, replicas: int, work: Work, daemons: int) -> None:
    """Start slowing replicas, which serve the resumable streams, and daemons."""
    SlowingReplica.work = work
    # The cluster's replicas are those of this module.
    standins.platform_cluster.Replica = SlowingReplica  # type: ignore[misc]
    deployment.timeout_ms = TIMEOUT_MS
    deployment.stream_service = PLAIN_SERVICE
    deployment.configure(2)
    for number in range(replicas):
        deployment.add_replica(f"replica-{number}", PLAIN_SERVICE)
    deployment.start_daemons(daemons)


def slowing_replicas(deployment: Deployment) -> dict[str, SlowingReplica]:
    """Return the replicas by name."""
    found: dict[str, SlowingReplica] = {}
    for name, replica in deployment.replicas.items():
        assert isinstance(replica, SlowingReplica)
        found[name] = replica
    return found


def check_replicas(
    deployment: Deployment, record: Record, clients: int, load_s: float
) -> None:
    """Let the clients use the replicas themselves, which serves all their streams.

    Raises
    ------
    CannotRun
        If a stream is not served.
    """
    names = list(deployment.replicas)
    loads = [
        Streams(
            f"direct-{name}",
            deployment.replica_address(name),
            clients // len(names),
            load_s,
        )
        for name in names
    ]
    for load in loads:
        load.wait()
    streams = [stream for load in loads for stream in load.all]
    complete = sum(stream.is_complete for stream in streams)
    record.add(
        f"{clients} clients at the replicas themselves: {complete} of {len(streams)} "
        "streams complete"
    )
    if complete < len(streams) or not complete:
        raise CannotRun("the replicas do not serve the load")
