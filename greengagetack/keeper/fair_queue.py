"""greengagetack.keeper.fair_queue: weighted fair queueing of tokens by team."""

import heapq
import itertools
from dataclasses import dataclass, field

from greengagetack.keeper.generation import Generation
from greengagetack.keeper.messages import Work

__all__ = ["FairQueue"]

MIN_WEIGHT = 1e-6

# Ordered by priority inside a team, then by arrival.
_Entry = tuple[int, int, Generation]


@dataclass(slots=True)
class _Team:
    """A team's waiting requests and the service that it has received.

    `service` counts tokens divided by the team's weight; `charged` is the part
    of it for requests that have not ended.
    """

    weight: float = 1.0
    service: float = 0.0
    charged: float = 0.0
    running_count: int = 0
    waiting_tokens: int = 0
    heaps: dict[str, list[_Entry]] = field(
        default_factory=lambda: {Work.CALLER: [], Work.ROLLOUT: []}
    )

    def waiting_count(self) -> int:
        return sum(len(heap) for heap in self.heaps.values())


class FairQueue:
    """Gives each backlogged team service in proportion to its weight.

    A team is charged the expected tokens of a request when the request is
    taken from the queue; the charge is corrected to the actual tokens at its end.
    A team that was idle starts at the service of the least served team, so
    that idle time earns no credit.
    """

    def __init__(self) -> None:
        self._teams: dict[str, _Team] = {}
        self._order = itertools.count()

    def __len__(self) -> int:
        return sum(team.waiting_count() for team in self._teams.values())

    @property
    def waiting_tokens(self) -> int:
        """Expected tokens of all waiting requests."""
        return sum(team.waiting_tokens for team in self._teams.values())

    def team_waiting_count(self, team: str) -> int:
        """Return the number of a team's waiting requests."""
        known = self._teams.get(team)
        return known.waiting_count() if known else 0

    def tokens_ahead(self, team: str, work: str, weight: float) -> float:
        """Estimate how many tokens are served before a new request.

        Callers wait only for other callers. A rollout waits for its team's
        backlog and for the share that the other teams receive meanwhile.
        """
        if work == Work.CALLER:
            return float(self._class_tokens(Work.CALLER))
        total = float(self.waiting_tokens)
        own = self._teams.get(team)
        own_tokens = own.waiting_tokens if own else 0
        other_weights = sum(
            max(other.weight, MIN_WEIGHT)
            for name, other in self._teams.items()
            if name != team and other.waiting_count()
        )
        tokens_at_fair_share = (
            own_tokens * (other_weights + weight) / max(weight, MIN_WEIGHT)
        )
        return min(total, tokens_at_fair_share)

    def _class_tokens(self, work: str) -> int:
        return sum(
            _cost(entry[2])
            for team in self._teams.values()
            for entry in team.heaps[work]
        )

    def push(self, generation: Generation, weight: float) -> None:
        """Add a request of a team with the given weight."""
        request = generation.request
        team = self._teams.setdefault(request.team, _Team())
        team.weight = max(weight, MIN_WEIGHT)
        if not team.waiting_count() and not team.running_count:
            self._catch_up(team)
        entry = (-request.priority, next(self._order), generation)
        heapq.heappush(team.heaps[request.work], entry)
        team.waiting_tokens += _cost(generation)

    def _catch_up(self, joining: _Team) -> None:
        """Start a team that was idle at the service of the least served busy team.

        Charges for requests in flight are left out: most of such a charge may be
        refunded, and the joining team would then wait until the others had used
        up the refund.
        """
        services = [
            team.service - team.charged
            for team in self._teams.values()
            if team is not joining and (team.waiting_count() or team.running_count)
        ]
        if services:
            joining.service = max(joining.service, min(services))
            return
        for team in self._teams.values():
            team.service = 0.0

    def pop(self, work_classes: tuple[str, ...]) -> Generation | None:
        """Remove and return the next request of the given classes of work."""
        name = self._least_served(work_classes)
        if name is None:
            return None
        team = self._teams[name]
        for work in work_classes:
            if not team.heaps[work]:
                continue
            generation = heapq.heappop(team.heaps[work])[2]
            team.waiting_tokens -= _cost(generation)
            charge = _cost(generation) / team.weight
            team.service += charge
            team.charged += charge
            team.running_count += 1
            return generation
        return None

    def _least_served(self, work_classes: tuple[str, ...]) -> str | None:
        best: str | None = None
        for name, team in self._teams.items():
            if not any(team.heaps[work] for work in work_classes):
                continue
            if best is None or team.service < self._teams[best].service:
                best = name
        return best

    def has_waiting(self, work: str) -> bool:
        """Return whether any request of a class of work is waiting."""
        return any(team.heaps[work] for team in self._teams.values())

    def settle(self, generation: Generation) -> None:
        """Replace the charge of a request that ended by its actual tokens."""
        team = self._teams.get(generation.request.team)
        if team is None:
            return
        charge = _cost(generation) / team.weight
        team.service += generation.token_count / team.weight - charge
        team.charged -= charge
        team.running_count -= 1

    def remove(self, generation: Generation) -> bool:
        """Remove a request and return whether it was waiting."""
        request = generation.request
        team = self._teams.get(request.team)
        if team is None:
            return False
        heap = team.heaps[request.work]
        kept = [entry for entry in heap if entry[2] is not generation]
        if len(kept) == len(heap):
            return False
        heapq.heapify(kept)
        team.heaps[request.work] = kept
        team.waiting_tokens -= _cost(generation)
        return True

    def drain(self) -> tuple[Generation, ...]:
        """Remove and return all waiting requests."""
        drained: list[Generation] = []
        for team in self._teams.values():
            for heap in team.heaps.values():
                drained.extend(entry[2] for entry in heap)
                heap.clear()
            team.waiting_tokens = 0
        return tuple(drained)

    def find_eviction_victim(self, team: str, weight: float) -> Generation | None:
        """Return the request to evict from a full queue for a request of `team`.

        The victim is the last request of the team whose queue is longest
        relative to its weight; None if that team is `team` itself.
        """
        longest: str | None = None
        longest_share = (self.team_waiting_count(team) + 1) / max(weight, MIN_WEIGHT)
        for name, other in self._teams.items():
            share = other.waiting_count() / other.weight
            if name != team and share > longest_share:
                longest = name
                longest_share = share
        if longest is None:
            return None
        heaps = self._teams[longest].heaps
        heap = heaps[Work.ROLLOUT] or heaps[Work.CALLER]
        return max(heap, key=lambda entry: entry[:2])[2]


def _cost(generation: Generation) -> int:
    """Return the number of tokens that a request is expected to generate."""
    request = generation.request
    expected = request.expected_tokens or request.max_tokens
    return max(1, min(expected, request.max_tokens) - request.offset_tokens)
