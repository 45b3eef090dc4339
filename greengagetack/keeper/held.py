"""greengagetack.keeper.held: requests and finished answers by identifier."""

from typing import TYPE_CHECKING

from greengagetack.keeper.generation import Generation
from greengagetack.keeper.messages import Complete, HeldRequest

if TYPE_CHECKING:
    from greengagetack.keeper.gate import EngineGate

__all__ = ["HeldAnswers"]

MAX_HELD_BYTES = 32 * 1024 * 1024


class HeldAnswers:
    """All requests of a keeper, in flight or finished and not yet released.

    Finished answers take bounded memory; the oldest are given up first.
    """

    def __init__(self, max_bytes: int = MAX_HELD_BYTES) -> None:
        self._max_bytes = max_bytes
        self._kept: dict[str, tuple[Generation, EngineGate]] = {}

    def find(self, request: Complete) -> Generation | None:
        """Return what is kept for a request and its attempt.

        A newer attempt than the kept one finds nothing and replaces it.
        """
        kept = self._kept.get(request.request_id)
        if kept is None or kept[0].request.attempt < request.attempt:
            return None
        return kept[0]

    def keep(self, generation: Generation, gate: "EngineGate") -> None:
        """Keep a request from its admission on."""
        self._kept[generation.request.request_id] = (generation, gate)

    def locate(self, request_id: str) -> "tuple[Generation, EngineGate] | None":
        """Return a request and the gate where it runs."""
        return self._kept.get(request_id)

    def drop(self, generation: Generation) -> None:
        """Forget a request, unless a newer attempt took its place."""
        request_id = generation.request.request_id
        kept = self._kept.get(request_id)
        if kept is not None and kept[0] is generation:
            del self._kept[request_id]

    def of_gate(self, gate: "EngineGate") -> tuple[Generation, ...]:
        """Return the requests of one gate."""
        return tuple(item for item, owner in self._kept.values() if owner is gate)

    def of_job(self, job_id: str) -> tuple[HeldRequest, ...]:
        """Return what is held for a job."""
        return tuple(
            HeldRequest(
                request_id=item.request.request_id,
                endpoint_id=gate.endpoint.endpoint_id,
                finished=item.finish is not None,
                attempt=item.request.attempt,
            )
            for item, gate in self._kept.values()
            if item.request.job_id == job_id
        )

    def release(self, request_ids: tuple[str, ...]) -> None:
        """Drop finished answers that their owner has kept safely."""
        for request_id in request_ids:
            kept = self._kept.get(request_id)
            if kept is not None and kept[0].ended:
                del self._kept[request_id]

    def trim(self) -> int:
        """Give up the oldest finished answers over the bound; return how many."""
        finished = [item for item, _ in self._kept.values() if item.ended]
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
