"""model.settings: settings versions through peers and the platform.

Operators write versions of one object by conditional update. Three daemons watch
the platform or hear of versions from each other, in any order and late. They
restart with nothing remembered, also during an outage (time without a step of
the platform). The newest version counts as 3 and older ones as 2, 1 and 0, so
that the number of versions has no bound.
"""

from collections.abc import Iterator
from typing import NamedTuple

from greengagetack.leases.decisions import accept_version
from model.specification import Guard, Predicate, Specification, Step, specification

__all__ = ["SettingsSpecification"]

DAEMONS = range(3)
NEWEST = 3
NOT_READY = -1

NEVER_BACK = "no daemon puts an older version in force, restarts included"
NOT_LOST = "no accepted change is overwritten unseen"


class Daemon(NamedTuple):
    """What a daemon holds, has in force, and once had in force."""

    held: int = NOT_READY
    in_force: int = NOT_READY
    highest: int = NOT_READY


class State(NamedTuple):
    """Daemons, versions on their way, and two operators' reading."""

    daemons: tuple[Daemon, Daemon, Daemon]
    on_the_way: tuple[int, ...] = ()
    operators: tuple[int, int] = (NOT_READY, NOT_READY)
    reverted: bool = False
    overwritten: bool = False


@specification
class SettingsSpecification(Specification):
    """Only higher versions; a start needs the platform or all other daemons."""

    name = "settings"
    guards = (
        Guard("older settings refused", NEVER_BACK),
        Guard("start needs the platform or all others", NEVER_BACK),
        Guard("in force only once another holds it", NEVER_BACK),
        Guard("conditional update", NOT_LOST),
    )

    def initial(self) -> State:
        """Return three daemons with the newest version in force."""
        daemon = Daemon(NEWEST, NEWEST, NEWEST)
        return State((daemon, daemon, daemon))

    def properties(self) -> dict[str, Predicate]:
        """Return the safety properties."""
        return {
            NEVER_BACK: lambda s: not s.reverted,
            NOT_LOST: lambda s: not s.overwritten,
        }

    def goal(self, state: State) -> bool:
        """Whether all daemons have the newest version in force."""
        return all(daemon.in_force == NEWEST for daemon in state.daemons)

    def steps(self, state: State) -> Iterator[Step]:
        """Yield the steps of operators, platform and daemons."""
        yield from self._operators(state)
        for index, daemon in enumerate(state.daemons):
            fresh = Daemon(highest=daemon.highest)
            yield f"d{index} restarts", _replace(state, index, fresh)
            if accept_version(daemon.held, NEWEST):
                held = daemon._replace(held=NEWEST)
                read = _replace(state, index, held)
                yield f"d{index} reads the platform", self._applied(read, index, True)
            if daemon.held != NOT_READY:
                sent = tuple(sorted({*state.on_the_way, daemon.held}))
                yield f"d{index} pushes", state._replace(on_the_way=sent)
            yield from self._from_peers(state, index)

    def _operators(self, state: State) -> Iterator[Step]:
        for index, read in enumerate(state.operators):
            if read != NEWEST:
                operators = _pair(state.operators, index, NEWEST)
                yield f"operator {index} reads", state._replace(operators=operators)
            if read == NOT_READY:
                continue
            if read != NEWEST and self.has("conditional update"):
                continue
            lost = state.overwritten or read != NEWEST
            newer = _aged(state)._replace(overwritten=lost)
            operators = _pair(newer.operators, index, NOT_READY)
            yield f"operator {index} writes", newer._replace(operators=operators)

    def _from_peers(self, state: State, index: int) -> Iterator[Step]:
        daemon = state.daemons[index]
        if daemon.held == NOT_READY:
            others = [state.daemons[i].held for i in DAEMONS if i != index]
            enough = NOT_READY not in others
            if not self.has("start needs the platform or all others"):
                enough = max(others) != NOT_READY
            if enough:
                known = daemon._replace(held=max(others))
                started = _replace(state, index, known)
                label = f"d{index} starts from the other daemons"
                yield label, self._applied(started, index, True)
            return
        for version in state.on_the_way:
            newer = accept_version(daemon.held, version)
            if newer or not self.has("older settings refused"):
                heard = _replace(state, index, daemon._replace(held=version))
                yield (
                    f"d{index} hears of version {version}",
                    self._applied(heard, index, False),
                )
        if daemon.held != daemon.in_force and _held_elsewhere(state, index):
            yield f"d{index} puts it in force", self._in_force(state, index)

    def _applied(self, state: State, index: int, starting: bool) -> State:
        """Return the state after a version came, in force if it may be."""
        alone = not _held_elsewhere(state, index)
        if alone and self.has("in force only once another holds it"):
            return state
        return self._in_force(state, index)

    def _in_force(self, state: State, index: int) -> State:
        daemon = state.daemons[index]
        back = accept_version(daemon.held, daemon.highest)
        changed = daemon._replace(
            in_force=daemon.held, highest=max(daemon.highest, daemon.held)
        )
        applied = _replace(state, index, changed)
        return applied._replace(reverted=state.reverted or back)


def _held_elsewhere(state: State, index: int) -> bool:
    version = state.daemons[index].held
    return any(state.daemons[i].held >= version for i in DAEMONS if i != index)


def _aged(state: State) -> State:
    """Return the state after a newer version: all known ones are older."""
    daemons = [Daemon(*(_older(value) for value in d)) for d in state.daemons]
    operators = [_older(read) for read in state.operators]
    return state._replace(
        daemons=(daemons[0], daemons[1], daemons[2]),
        on_the_way=tuple(sorted({_older(version) for version in state.on_the_way})),
        operators=(operators[0], operators[1]),
    )


def _older(version: int) -> int:
    return version if version == NOT_READY else max(version - 1, 0)


def _pair(values: tuple[int, int], index: int, value: int) -> tuple[int, int]:
    return (value, values[1]) if index == 0 else (values[0], value)


def _replace(state: State, index: int, daemon: Daemon) -> State:
    daemons = list(state.daemons)
    daemons[index] = daemon
    return state._replace(daemons=(daemons[0], daemons[1], daemons[2]))
