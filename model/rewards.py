"""model.rewards: the score of one item, asked for by two concurrent daemons.

A daemon generates the item's text, asks a service to score it once it is complete, and
commits text and score together by a conditional creation. A text may be discarded and
generated again at any time; answers to calls may come late or never. A daemon restarts
with what the last checkpoint holds.
"""

from collections.abc import Iterator
from typing import NamedTuple

from model.specification import Guard, Predicate, Specification, Step, specification

__all__ = ["RewardSpecification"]

MAX_TEXTS = 3

OWN = "a result has the score of its own text"
SCORED = "a result has a score"
COMPLETE = "a text is scored only after its last event"
ONCE = "a result that was committed does not change"


class Score(NamedTuple):
    """A score: number of the text, and whether it was complete when it was scored."""

    text: int
    is_complete: bool


class Daemon(NamedTuple):
    """A daemon: number of its text (0 for none), its score and a call in flight."""

    text: int = 0
    is_complete: bool = False
    score: Score | None = None
    call: Score | None = None


class State(NamedTuple):
    """Both daemons, the checkpoint and the results committed in turn."""

    daemons: tuple[Daemon, Daemon] = (Daemon(), Daemon())
    checkpoint: Daemon = Daemon()
    results: tuple[tuple[int, Score | None], ...] = ()


@specification
class RewardSpecification(Specification):
    """Scores of texts that may be generated again, committed with their texts."""

    name = "rewards"
    guards = (
        Guard("score dropped with its text", OWN),
        Guard("answer for an earlier text dropped", OWN),
        Guard("call only for a complete text", COMPLETE),
        Guard("commit only with a score", SCORED),
        Guard("conditional creation", ONCE),
        Guard("checkpoint replaces text and score together", OWN),
    )

    def initial(self) -> State:
        """Return two daemons without a text."""
        return State()

    def properties(self) -> dict[str, Predicate]:
        """Return the safety properties."""
        return {
            OWN: lambda s: all(
                score is None or score.text == text for text, score in s.results
            ),
            SCORED: lambda s: all(score is not None for _, score in s.results),
            COMPLETE: lambda s: all(
                score is None or score.is_complete for _, score in s.results
            ),
            ONCE: lambda s: len(s.results) <= 1,
        }

    def goal(self, state: State) -> bool:
        """Whether the item has a result."""
        return bool(state.results)

    def steps(self, state: State) -> Iterator[Step]:
        """Yield the steps of both daemons and of the scoring service."""
        for index, daemon in enumerate(state.daemons):
            name = f"d{index}"
            yield from self._text_steps(state, index, name)
            yield from self._call_steps(state, index, name)
            yield from self._commit_steps(state, index, name)
            written = daemon._replace(call=None)
            if not self.has("checkpoint replaces text and score together"):
                # Only the text is written; a score of an earlier text remains.
                written = written._replace(score=daemon.score or state.checkpoint.score)
            if daemon.text:
                yield f"{name} checkpoints", state._replace(checkpoint=written)
            yield (
                f"{name} restarts",
                _replaced(state, index, state.checkpoint),
            )

    def _text_steps(self, state: State, index: int, name: str) -> Iterator[Step]:
        daemon = state.daemons[index]
        if daemon.text and not daemon.is_complete:
            complete = daemon._replace(is_complete=True)
            yield f"{name} completes its text", _replaced(state, index, complete)
        number = _unused_number(state)
        if number > MAX_TEXTS:
            return
        score = daemon.score
        if self.has("score dropped with its text"):
            score = None
        begun = daemon._replace(text=number, is_complete=False, score=score)
        yield f"{name} begins a new text", _replaced(state, index, begun)

    def _call_steps(self, state: State, index: int, name: str) -> Iterator[Step]:
        daemon = state.daemons[index]
        may_call = daemon.is_complete or not self.has("call only for a complete text")
        if daemon.text and daemon.call is None and daemon.score is None and may_call:
            call = Score(daemon.text, daemon.is_complete)
            sent = _replaced(state, index, daemon._replace(call=call))
            yield f"{name} asks for a score", sent
        if daemon.call is None:
            return
        idle = daemon._replace(call=None)
        yield f"{name}'s call is lost", _replaced(state, index, idle)
        is_current = daemon.call.text == daemon.text
        if is_current or not self.has("answer for an earlier text dropped"):
            idle = idle._replace(score=daemon.call)
        yield f"{name} is answered", _replaced(state, index, idle)

    def _commit_steps(self, state: State, index: int, name: str) -> Iterator[Step]:
        daemon = state.daemons[index]
        is_scored = daemon.score is not None or not self.has("commit only with a score")
        if not (daemon.is_complete and is_scored):
            return
        if state.results and self.has("conditional creation"):
            return
        if len(state.results) > 1:
            return
        results = (*state.results, (daemon.text, daemon.score))
        yield f"{name} commits", state._replace(results=results)


def _unused_number(state: State) -> int:
    """Return the smallest number of a text to which nothing refers any more."""
    used = set()
    for daemon in (*state.daemons, state.checkpoint):
        used.add(daemon.text)
        used.update(part.text for part in (daemon.score, daemon.call) if part)
    return next(number for number in range(1, MAX_TEXTS + 2) if number not in used)


def _replaced(state: State, index: int, daemon: Daemon) -> State:
    daemons = list(state.daemons)
    daemons[index] = daemon
    return state._replace(daemons=(daemons[0], daemons[1]))
