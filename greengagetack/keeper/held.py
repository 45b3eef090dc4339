"""greengagetack.keeper.held: requests and finished answers by identifier."""

from typing import TYPE_CHECKING

from greengagetack.keeper.generation import Generation
from greengagetack.keeper.messages import Complete, HeldRequest

if TYPE_CHECKING:
    from greengagetack.keeper.gate import EngineGate

__all__ = ["HeldAnswers"]

MAX_HELD_BYTES = 32 * 1024 * 1024


class HeldAnswers:
    """Index of a keeper's requests, in flight or finished and not yet released.

    The memory of finished answers is bounded; the oldest are dropped first.
    """

    def __init__(self, max_bytes: int = MAX_HELD_BYTES) -> None:
        self._max_bytes = max_bytes
        self._entries: dict[str, tuple[Generation, EngineGate]] = {}

    def find(self, request: Complete) -> Generation | None:
        """Return the held run of a request, None if there is none.

        A run of an older attempt is not returned: the newer attempt replaces it.
        """
        entry = self._entries.get(request.request_id)
        if entry is None or entry[0].request.attempt < request.attempt:
            return None
        return entry[0]

    def add(self, generation: Generation, gate: "EngineGate") -> None:
        """Add an admitted request."""
        self._entries[generation.request.request_id] = (generation, gate)

    def locate(self, request_id: str) -> "tuple[Generation, EngineGate] | None":
        """Return a request and the gate where it runs."""
        return self._entries.get(request_id)

    def drop(self, generation: Generation) -> None:
        """Remove a request, unless a newer attempt has replaced it."""
        request_id = generation.request.request_id
        entry = self._entries.get(request_id)
        if entry is not None and entry[0] is generation:
            del self._entries[request_id]

    def requests_of_gate(self, gate: "EngineGate") -> tuple[Generation, ...]:
        """Return the requests of one gate."""
        return tuple(item for item, owner in self._entries.values() if owner is gate)

    def requests_of_job(self, job_id: str) -> tuple[HeldRequest, ...]:
        """Return the held requests of a job."""
        return tuple(
            HeldRequest(
                request_id=item.request.request_id,
                endpoint_id=gate.endpoint.endpoint_id,
                finished=item.finish is not None,
                attempt=item.request.attempt,
            )
            for item, gate in self._entries.values()
            if item.request.job_id == job_id
        )

    def release(self, request_ids: tuple[str, ...]) -> None:
        """Drop finished answers that their owner has stored."""
        for request_id in request_ids:
            entry = self._entries.get(request_id)
            if entry is not None and entry[0].ended:
                del self._entries[request_id]

    def drop_oldest_above_bound(self) -> int:
        """Drop the oldest finished answers until the rest fit; return how many."""
        finished = [item for item, _ in self._entries.values() if item.ended]
        finished.sort(key=lambda item: item.ended_s)
        size_bytes = sum(item.size_bytes for item in finished)
        dropped = 0
        for item in finished:
            if size_bytes <= self._max_bytes:
                break
            size_bytes -= item.size_bytes
            self.drop(item)
            dropped += 1
        return dropped
