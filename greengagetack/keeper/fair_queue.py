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
    """A team's waiting work and the service it has had, in tokens by weight.

    `charged` is the part of `service` for requests that have not ended.
    """

    weight: float = 1.0
    service: float = 0.0
    charged: float = 0.0
    active: int = 0
    waiting_tokens: int = 0
    heaps: dict[str, list[_Entry]] = field(
        default_factory=lambda: {Work.CALLER: [], Work.ROLLOUT: []}
    )

    def waiting(self) -> int:
        return sum(len(heap) for heap in self.heaps.values())


class FairQueue:
    """Gives each backlogged team service in proportion to its weight.

    A team is charged the expected tokens of a request when it is taken, and
    the difference to the actual ones when it ends. A team that was idle starts
    at the service of the least served one, so that idle time earns no credit.
    """

    def __init__(self) -> None:
        self._teams: dict[str, _Team] = {}
        self._order = itertools.count()

    def __len__(self) -> int:
        return sum(team.waiting() for team in self._teams.values())

    @property
    def waiting_tokens(self) -> int:
        """Expected tokens of all waiting requests."""
        return sum(team.waiting_tokens for team in self._teams.values())

    def team_waiting(self, team: str) -> int:
        """Return how many requests of a team wait."""
        known = self._teams.get(team)
        return known.waiting() if known else 0

    def tokens_ahead(self, team: str, work: str, weight: float) -> float:
        """Return about how many tokens are served before a new request.

        Callers wait only for callers; a team waits for its own backlog and for
        what the others get in the meantime by their weights.
        """
        if work == Work.CALLER:
            return float(self._class_tokens(Work.CALLER))
        total = float(self.waiting_tokens)
        own = self._teams.get(team)
        own_tokens = own.waiting_tokens if own else 0
        weights = sum(
            max(other.weight, MIN_WEIGHT)
            for name, other in self._teams.items()
            if name != team and other.waiting()
        )
        by_share = own_tokens * (weights + weight) / max(weight, MIN_WEIGHT)
        return min(total, by_share)

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
        if not team.waiting() and not team.active:
            self._catch_up(team)
        entry = (-request.priority, next(self._order), generation)
        heapq.heappush(team.heaps[request.work], entry)
        team.waiting_tokens += _cost(generation)

    def _catch_up(self, joining: _Team) -> None:
        """Let a team that was idle start at the least served busy one.

        Charges for requests in flight don't count: most of such a charge may be
        given back, and the team would wait until the others had used that up.
        """
        services = [
            team.service - team.charged
            for team in self._teams.values()
            if team is not joining and (team.waiting() or team.active)
        ]
        if services:
            joining.service = max(joining.service, min(services))
            return
        for team in self._teams.values():
            team.service = 0.0

    def pop(self, works: tuple[str, ...]) -> Generation | None:
        """Take the next request among the given classes of work."""
        name = self._least_served(works)
        if name is None:
            return None
        team = self._teams[name]
        for work in works:
            if not team.heaps[work]:
                continue
            generation = heapq.heappop(team.heaps[work])[2]
            team.waiting_tokens -= _cost(generation)
            charge = _cost(generation) / team.weight
            team.service += charge
            team.charged += charge
            team.active += 1
            return generation
        return None

    def _least_served(self, works: tuple[str, ...]) -> str | None:
        best: str | None = None
        for name, team in self._teams.items():
            if not any(team.heaps[work] for work in works):
                continue
            if best is None or team.service < self._teams[best].service:
                best = name
        return best

    def waits(self, work: str) -> bool:
        """Return whether any request of a class waits."""
        return any(team.heaps[work] for team in self._teams.values())

    def settle(self, generation: Generation) -> None:
        """Correct the charge of a request that was taken and has ended."""
        team = self._teams.get(generation.request.team)
        if team is None:
            return
        charge = _cost(generation) / team.weight
        team.service += generation.token_count / team.weight - charge
        team.charged -= charge
        team.active -= 1

    def remove(self, generation: Generation) -> bool:
        """Take a waiting request out, and return whether it was waiting."""
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
        """Take out all waiting requests."""
        taken: list[Generation] = []
        for team in self._teams.values():
            for heap in team.heaps.values():
                taken.extend(entry[2] for entry in heap)
                heap.clear()
            team.waiting_tokens = 0
        return tuple(taken)

    def crowded_out(self, team: str, weight: float) -> Generation | None:
        """Return the request that a full queue gives up for one of `team`.

        It is the last of the team with the longest queue by weight, None if
        that is `team` itself.
        """
        longest: str | None = None
        longest_share = (self.team_waiting(team) + 1) / max(weight, MIN_WEIGHT)
        for name, other in self._teams.items():
            share = other.waiting() / other.weight
            if name != team and share > longest_share:
                longest = name
                longest_share = share
        if longest is None:
            return None
        heaps = self._teams[longest].heaps
        heap = heaps[Work.ROLLOUT] or heaps[Work.CALLER]
        return max(heap, key=lambda entry: entry[:2])[2]


def _cost(generation: Generation) -> int:
    """Return the tokens that a request is expected to take."""
    request = generation.request
    expected = request.expected_tokens or request.max_tokens
    return max(1, min(expected, request.max_tokens) - request.offset_tokens)
