"""Case 9: streams that replicas preempt are sent to more replicas than allowed."""

import asyncio
import http.client
import itertools
import threading
import time
from collections.abc import AsyncIterator

from starlette.requests import Request
from starlette.responses import Response, StreamingResponse

import standins.platform_cluster
from review.rig.deployment import (
    HOST_NAME,
    CannotRun,
    Deployment,
    Record,
    run_case,
)
from standins.platform_cluster import ENGINE_SERVICE
from standins.replica import MODEL, Replica, seal_of

REPLICAS = 6
SLOTS = 8
CAPACITY_TOKENS = 2_400
PROMPT_TOKENS = 200
EVENT_TOKENS = 10
EVENTS = 60
EVENT_S = 0.05
# Streams that clients keep open at the same time, at each replica on average.
USUAL_STREAMS = 2
PRESSING_STREAMS = 6
LOAD_S = 25.0
TIMEOUT_MS = 12_000
# Clients leave after a gap of this long.
MAX_GAP_S = 2.0
MAX_ATTEMPTS = 2
# More requests than these break the rule.
MAX_REQUESTS = 3


class PreemptingReplica(Replica):
    """An engine whose running requests share its memory.

    When memory runs out, the newest request pauses in the middle of its stream until
    the others leave enough for it.
    """

    def __init__(self, replica_id: str) -> None:
        super().__init__(replica_id, slots=SLOTS, events=EVENTS, event_s=EVENT_S)
        self._tokens: dict[str, int] = {}
        self._paused: set[str] = set()
        self.preemptions = 0
        # Requests of which it has made an event.
        self.ran_ids: set[str] = set()

    async def _handle_request(self, request: Request) -> Response:
        request_id = request.headers["x-request-id"]
        head = {"x-request-id": request_id, "x-response-seal": seal_of(request_id)}
        if request.headers.get("x-expect-instance", self.replica_id) != self.replica_id:
            return Response(status_code=421)
        after = int(request.headers.get("last-event-id", "0"))
        needed = PROMPT_TOKENS + after * EVENT_TOKENS
        if len(self._tokens) >= SLOTS or self._used() + needed > CAPACITY_TOKENS:
            return Response(status_code=503, headers={**head, "x-not-executed": "1"})
        self._tokens[request_id] = needed
        return StreamingResponse(
            self._events(request_id, after + 1),
            headers={**head, "x-weight-versions": str(self.version)},
            media_type="text/event-stream",
        )

    def _used(self) -> int:
        running = (self._tokens[one] for one in self._tokens if one not in self._paused)
        return sum(running)

    def _preempt_newest(self) -> None:
        while self._used() > CAPACITY_TOKENS:
            running = [one for one in self._tokens if one not in self._paused]
            self._paused.add(running[-1])
            self.preemptions += 1

    async def _events(self, request_id: str, first: int) -> AsyncIterator[bytes]:
        try:
            for number in range(first, EVENTS + 1):
                await asyncio.sleep(EVENT_S)
                self._tokens[request_id] += EVENT_TOKENS
                self._preempt_newest()
                while request_id in self._paused:
                    await asyncio.sleep(EVENT_S)
                    if self._used() + self._tokens[request_id] <= CAPACITY_TOKENS:
                        self._paused.discard(request_id)
                self.ran_ids.add(request_id)
                yield b"id: %d\ndata: %b:%d\n\n" % (number, request_id.encode(), number)
        finally:
            del self._tokens[request_id]
            self._paused.discard(request_id)


class Streams:
    """Clients that open one stream after another."""

    def __init__(self, address: str, count: int) -> None:
        self._address = address
        self._numbers = itertools.count()
        self._until_s = time.monotonic() + LOAD_S
        self.ends: dict[str, str] = {}
        self._threads = [threading.Thread(target=self._run) for _ in range(count)]
        for thread in self._threads:
            thread.start()

    def wait(self) -> None:
        """Wait until the last stream has ended."""
        for thread in self._threads:
            thread.join()

    def _run(self) -> None:
        while time.monotonic() < self._until_s:
            request_id = f"chat-{next(self._numbers)}"
            self.ends[request_id] = self._open(request_id)
            if self.ends[request_id] != "complete":
                time.sleep(0.2)

    def _open(self, request_id: str) -> str:
        connection = http.client.HTTPConnection(self._address, timeout=MAX_GAP_S)
        headers = {
            "Host": HOST_NAME,
            "X-Request-Id": request_id,
            "X-Deadline-Ms": str(TIMEOUT_MS),
            "X-Model": MODEL,
            "X-Token-Usage": f"{PROMPT_TOKENS},{EVENTS * EVENT_TOKENS}",
            "X-Prompt-Prefix": f"{abs(hash(request_id)) % 2**32:x}:{PROMPT_TOKENS}",
        }
        try:
            connection.request("POST", f"/chat/{request_id}", b"prompt", headers)
            response = connection.getresponse()
            text = response.read()
        except (OSError, http.client.HTTPException) as error:
            return type(error).__name__
        finally:
            connection.close()
        if response.status != 200:
            return str(response.status)
        return "complete" if text.count(b"\n\n") == EVENTS else "short"


def case(record: Record, is_disrupted: bool) -> str:
    """Open streams; return how BUDGET was broken."""
    # The cluster's replicas are those of this case.
    standins.platform_cluster.Replica = PreemptingReplica  # type: ignore[misc]
    with Deployment() as deployment:
        deployment.timeout_ms = TIMEOUT_MS
        deployment.memory_tokens = CAPACITY_TOKENS
        deployment.configure(2)
        for number in range(REPLICAS):
            deployment.add_replica(f"engine-{number}", ENGINE_SERVICE)
        deployment.start_daemons(2)
        per_replica = PRESSING_STREAMS if is_disrupted else USUAL_STREAMS
        record.add(f"{per_replica * REPLICAS} clients open streams")
        streams = Streams(
            deployment.address_of("edge-1", "front"), per_replica * REPLICAS
        )
        streams.wait()
        ran_at: dict[str, set[str]] = {}
        preemptions = 0
        for name, replica in deployment.replicas.items():
            assert isinstance(replica, PreemptingReplica)
            preemptions += replica.preemptions
            for request_id in replica.ran_ids:
                ran_at.setdefault(request_id, set()).add(name)
    ends = list(streams.ends.values())
    counts = {end: ends.count(end) for end in sorted(set(ends))}
    record.add(f"{len(ends)} streams ended: {counts}; {preemptions} preemptions")
    over = {one: names for one, names in ran_at.items() if len(names) > MAX_ATTEMPTS}
    for request_id, end in streams.ends.items():
        names = sorted(ran_at.get(request_id, ()))
        note = " (over its limit)" if request_id in over else ""
        record.add(f"{request_id}: {end}; ran on {', '.join(names) or 'none'}{note}")
    if not ran_at:
        raise CannotRun("no stream has run")
    if len(over) <= MAX_REQUESTS:
        return ""
    most = max(len(names) for names in over.values())
    return (
        f"BUDGET: {len(over)} requests ran on more than {MAX_ATTEMPTS} replicas in one "
        f"client attempt, {most} at most"
    )


if __name__ == "__main__":
    run_case(__file__, case)
