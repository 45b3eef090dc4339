"""greengagetack.rollouts.state: in-memory progress of one step, without I/O."""

import heapq
from dataclasses import dataclass, field, replace
from typing import NamedTuple

from greengagetack.leases.decisions import is_within_staleness_bound
from greengagetack.rollouts.messages import FinishedGroup
from greengagetack.rollouts.orders import DispatchOrder, GroupProgress, longest_first
from greengagetack.rollouts.spec import FinishedSample, GroupSpec, SampleId, StepSpec
from greengagetack.rollouts.versions import oldest_version

__all__ = ["StepState"]

# Relative change of the mean sample length after which all groups are re-ranked.
MEAN_CHANGE_RATIO = 0.1


@dataclass
class _Group:
    spec: GroupSpec
    pending: dict[int, int]
    in_flight: dict[int, int] = field(default_factory=dict)
    finished: dict[int, FinishedSample] = field(default_factory=dict)
    scored: bool = False

    def unfinished_count(self) -> int:
        """Return the number of samples that are pending or in flight."""
        return len(self.pending) + len(self.in_flight)


class _QueueEntry(NamedTuple):
    """Queue entry of a group; the smallest rank is dispatched first.

    An entry is outdated if its `stamp` is not the group's current one.
    """

    rank: tuple[float, ...]
    group_id: int
    stamp: int


class StepState:
    """Tracks which samples of a step are pending, in flight and finished.

    Parameters
    ----------
    spec : StepSpec
        The step.
    order : DispatchOrder
        Sort key that determines the dispatch order of groups.
    """

    def __init__(self, spec: StepSpec, order: DispatchOrder = longest_first) -> None:
        self.spec = spec
        self.trainer_version = spec.trainer_version
        self.held: frozenset[int] = frozenset()
        self.tokens = 0
        self.wasted_tokens = 0
        self.remade_samples = 0
        self._order = order
        self._finished_tokens = 0
        self._finished_samples = 0
        self._groups = {
            group.group_id: _Group(
                group, dict.fromkeys(range(spec.samples_per_group), 0)
            )
            for group in spec.groups
        }
        # Maintained incrementally, to avoid a scan of all groups for each sample.
        self._in_flight = 0
        self._groups_with_pending = dict(self._groups)
        self._unscored = set(self._groups)
        self._complete_unscored: set[int] = set()
        self._last_stale_check: tuple[int, frozenset[int]] | None = None
        self._mean_tokens = float(spec.max_tokens)
        self._queue: list[_QueueEntry] = []
        self._stamps: dict[int, int] = {}
        self._enqueue_all()

    @property
    def oldest_allowed_version(self) -> int:
        """Oldest weight version that the trainer currently accepts."""
        return max(0, self.trainer_version - self.spec.max_staleness_versions)

    def advance_trainer(self, trainer_version: int) -> None:
        """Set the trainer's version; an older version is ignored."""
        self.trainer_version = max(self.trainer_version, trainer_version)

    def expected_tokens(self, group_id: int) -> float:
        """Return the predicted length of a sample of the group.

        The longest finished sample of the group takes precedence over the
        trainer's estimate, which takes precedence over the mean of the step.
        """
        group = self._groups[group_id]
        if group.finished:
            return max(sample.token_count for sample in group.finished.values())
        if group.spec.expected_tokens:
            return group.spec.expected_tokens
        return self._mean_tokens

    def next_sample(self) -> SampleId | None:
        """Return the pending sample to dispatch next, None if there is none."""
        self._update_mean_tokens()
        while self._queue:
            entry = self._queue[0]
            group = self._groups[entry.group_id]
            if entry.stamp == self._stamps.get(entry.group_id) and group.pending:
                return SampleId(entry.group_id, next(iter(group.pending)))
            heapq.heappop(self._queue)
        return None

    def _update_mean_tokens(self) -> None:
        """Update the mean sample length; a large change re-ranks all groups."""
        if not self._finished_samples:
            return
        mean = self._finished_tokens / self._finished_samples
        if abs(mean - self._mean_tokens) > MEAN_CHANGE_RATIO * self._mean_tokens:
            self._mean_tokens = mean
            self._enqueue_all()

    def _enqueue_all(self) -> None:
        self._queue.clear()
        for group in self._groups_with_pending.values():
            self._enqueue(group)

    def _enqueue(self, group: _Group) -> None:
        """Queue a group by its current rank; its earlier entry becomes outdated."""
        group_id = group.spec.group_id
        stamp = self._stamps.get(group_id, 0) + 1
        self._stamps[group_id] = stamp
        if group_id in self.held or not group.pending:
            return
        rank = self._order(self._progress(group))
        heapq.heappush(self._queue, _QueueEntry(rank, group_id, stamp))

    def _progress(self, group: _Group) -> GroupProgress:
        group_id = group.spec.group_id
        return GroupProgress(
            group_id,
            len(group.pending),
            group.unfinished_count(),
            self.expected_tokens(group_id),
        )

    def prompt_of(self, sample_id: SampleId) -> str:
        """Return the prompt of a sample."""
        return self._groups[sample_id.group_id].spec.prompt

    def unfinished_in_group(self, group_id: int) -> int:
        """Return how many samples of the group are not finished."""
        return self._groups[group_id].unfinished_count()

    def mark_in_flight(self, sample_id: SampleId) -> int:
        """Mark a pending sample as in flight and return its attempt number."""
        group = self._groups[sample_id.group_id]
        attempt = group.pending.pop(sample_id.index)
        group.in_flight[sample_id.index] = attempt
        self._in_flight += 1
        self._update_pending(group)
        return attempt

    def _update_pending(self, group: _Group) -> None:
        group_id = group.spec.group_id
        if group.pending:
            self._groups_with_pending[group_id] = group
        else:
            self._groups_with_pending.pop(group_id, None)
        self._enqueue(group)

    def requeue(
        self, sample_id: SampleId, *, remake: bool, lost_tokens: int = 0
    ) -> None:
        """Make a sample in flight pending again; no effect in any other state.

        With `remake` it is generated from the start as the next attempt.
        """
        group = self._groups[sample_id.group_id]
        attempt = group.in_flight.pop(sample_id.index, None)
        if attempt is None:
            return
        group.pending[sample_id.index] = attempt + 1 if remake else attempt
        self._in_flight -= 1
        self._update_pending(group)
        self.wasted_tokens += lost_tokens
        self.remade_samples += int(remake)

    def add_waste(self, tokens: int) -> None:
        """Count tokens that were generated but not used."""
        self.wasted_tokens += tokens

    def add_finished(self, sample: FinishedSample) -> bool:
        """Add a finished sample; return whether it was accepted.

        A second result for the same sample is counted as waste. A stale sample
        becomes pending again.
        """
        group = self._groups.get(sample.group_id)
        if group is None or sample.index >= self.spec.samples_per_group:
            return False
        self.tokens += sample.token_count
        if sample.index in group.finished:
            self.wasted_tokens += sample.token_count
            return False
        if group.in_flight.pop(sample.index, None) is not None:
            self._in_flight -= 1
        group.pending.pop(sample.index, None)
        self._update_pending(group)
        if self._is_stale(sample):
            self._make_pending_again(group, sample)
            return False
        group.finished[sample.index] = sample
        self._finished_tokens += sample.token_count
        self._finished_samples += 1
        self._enqueue(group)
        if self.needs_score(sample.group_id):
            self._complete_unscored.add(sample.group_id)
        return True

    def _is_stale(self, sample: FinishedSample) -> bool:
        oldest = oldest_version(sample.versions)
        bound = self.spec.max_staleness_versions
        return oldest is None or not is_within_staleness_bound(
            oldest, self.trainer_version, bound
        )

    def _make_pending_again(self, group: _Group, sample: FinishedSample) -> None:
        group.pending[sample.index] = sample.attempt + 1
        group.scored = False
        self._unscored.add(sample.group_id)
        self._complete_unscored.discard(sample.group_id)
        self._update_pending(group)
        self.wasted_tokens += sample.token_count
        self.remade_samples += 1

    def is_group_complete(self, group_id: int) -> bool:
        """Whether all samples of the group are finished."""
        group = self._groups[group_id]
        return len(group.finished) == self.spec.samples_per_group

    def samples_of(self, group_id: int) -> tuple[FinishedSample, ...]:
        """Return the finished samples of a group by index."""
        finished = self._groups[group_id].finished
        return tuple(finished[index] for index in sorted(finished))

    def set_scores(self, group_id: int, scores: dict[int, float]) -> None:
        """Store the scores of a complete group by sample index."""
        group = self._groups[group_id]
        for index, sample in group.finished.items():
            group.finished[index] = replace(sample, score=scores.get(index))
        group.scored = True
        self._unscored.discard(group_id)
        self._complete_unscored.discard(group_id)

    def needs_score(self, group_id: int) -> bool:
        """Whether a group is complete but has no scores yet."""
        group = self._groups[group_id]
        return self.is_group_complete(group_id) and not group.scored

    def complete_unscored_groups(self) -> tuple[int, ...]:
        """Return the complete groups that have no scores yet."""
        return tuple(self._complete_unscored)

    def drop_stale(self) -> tuple[SampleId, ...]:
        """Make finished samples beyond the staleness bound pending again.

        Samples that the trainer already holds are left alone.
        """
        state = (self.oldest_allowed_version, self.held)
        if state == self._last_stale_check:
            return ()
        self._last_stale_check = state
        dropped: list[SampleId] = []
        for group_id, group in self._groups.items():
            if group_id in self.held:
                continue
            for sample in list(group.finished.values()):
                if not self._is_stale(sample):
                    continue
                del group.finished[sample.index]
                self._make_pending_again(group, sample)
                self._finished_tokens -= sample.token_count
                self._finished_samples -= 1
                dropped.append(SampleId(sample.group_id, sample.index))
        return tuple(dropped)

    def deliverable_groups(
        self, held: frozenset[int], max_groups: int
    ) -> tuple[FinishedGroup, ...]:
        """Return up to `max_groups` complete, scored groups not in `held`."""
        groups: list[FinishedGroup] = []
        for group_id, group in self._groups.items():
            if len(groups) >= max_groups:
                break
            if group_id in held or not group.scored:
                continue
            if not self.is_group_complete(group_id):
                continue
            groups.append(FinishedGroup(group_id, self.samples_of(group_id)))
        return tuple(groups)

    def set_held(self, held: frozenset[int]) -> tuple[SampleId, ...]:
        """Set the groups the trainer holds; return their samples in flight.

        A trainer that lost groups lists fewer than before, and the missing
        ones are delivered again.
        """
        if held != self.held:
            self.held = held
            self._enqueue_all()
        unneeded: list[SampleId] = []
        for group_id in held:
            group = self._groups.get(group_id)
            if group is None:
                continue
            unneeded.extend(SampleId(group_id, index) for index in group.in_flight)
        return tuple(unneeded)

    def missing_group_count(self, held: frozenset[int]) -> int:
        """Return how many groups the trainer does not hold."""
        return len(self._groups.keys() - held)

    @property
    def in_flight(self) -> int:
        """Number of samples in flight."""
        return self._in_flight

    @property
    def pending(self) -> int:
        """Number of samples waiting for dispatch."""
        return sum(
            len(group.pending)
            for group_id, group in self._groups_with_pending.items()
            if group_id not in self.held
        )

    @property
    def finished_samples(self) -> int:
        """Number of finished samples."""
        return self._finished_samples

    @property
    def finished_groups(self) -> int:
        """Number of groups that can be delivered."""
        return len(self._groups) - len(self._unscored)

    @property
    def complete(self) -> bool:
        """Whether no sample is left to generate or score."""
        return all(group_id in self.held for group_id in self._unscored)
