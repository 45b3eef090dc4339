"""model.settings: settings versions through peers and the platform.

Operators write versions of one object; `model.writes` shows how they race. Three
daemons read the platform or hear of versions from each other, late and in any
order. They restart with nothing remembered, also during an outage, which is time
without a step of the platform. Versions are kept as ranks below the newest (0),
so that their number has no bound.
"""

from collections.abc import Callable, Iterator
from typing import NamedTuple

from greengagetack.leases.decisions import accept_version
from model.specification import Guard, Predicate, Specification, Step, specification

__all__ = ["SettingsSpecification"]

DAEMONS = range(3)
NEWEST = 0
NOT_READY = -99

NEVER_BACK = "no daemon puts an older version in force, restarts included"


class Daemon(NamedTuple):
    """What a daemon holds, has in force, and once had in force."""

    held: int = NOT_READY
    in_force: int = NOT_READY
    highest: int = NOT_READY


class State(NamedTuple):
    """Daemons, and a version on its way between them."""

    daemons: tuple[Daemon, Daemon, Daemon]
    on_the_way: int = NOT_READY
    reverted: bool = False


@specification
class SettingsSpecification(Specification):
    """Only higher versions; a start needs the platform or all other daemons."""

    name = "settings"
    guards = (
        Guard("older settings refused", NEVER_BACK),
        Guard("start needs the platform or all others", NEVER_BACK),
        Guard("in force only once another holds it", NEVER_BACK),
    )

    def initial(self) -> State:
        """Return three daemons with the newest version in force."""
        daemon = Daemon(NEWEST, NEWEST, NEWEST)
        return State((daemon, daemon, daemon))

    def properties(self) -> dict[str, Predicate]:
        """Return the safety properties."""
        return {NEVER_BACK: lambda s: not s.reverted}

    def goal(self, state: State) -> bool:
        """Whether all daemons have the newest version in force."""
        return all(daemon.in_force == NEWEST for daemon in state.daemons)

    def steps(self, state: State) -> Iterator[Step]:
        """Yield the steps, with daemons sorted: their numbers have no meaning."""
        for label, after in self._steps(state):
            daemons = sorted(after.daemons)
            yield label, after._replace(daemons=(daemons[0], daemons[1], daemons[2]))

    def _steps(self, state: State) -> Iterator[Step]:
        """Yield the steps of operators, platform and daemons."""
        if any(daemon.held == NEWEST for daemon in state.daemons):
            yield "an operator writes a version", _aged(state)
        for index, daemon in enumerate(state.daemons):
            fresh = Daemon(highest=daemon.highest)
            yield f"d{index} restarts", _dense(_replace(state, index, fresh))
            if accept_version(daemon.held, NEWEST):
                read = _replace(state, index, daemon._replace(held=NEWEST))
                yield f"d{index} reads the platform", self._applied(read, index)
            if daemon.held != NOT_READY:
                sent = _dense(state._replace(on_the_way=daemon.held))
                yield f"d{index} pushes what it holds", sent
            yield from self._from_peers(state, index)

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
                yield label, self._applied(started, index)
            return
        version = state.on_the_way
        newer = accept_version(daemon.held, version)
        older_taken = not self.has("older settings refused")
        if newer or (older_taken and version not in (NOT_READY, daemon.held)):
            heard = _replace(state, index, daemon._replace(held=version))
            label = f"d{index} hears of a version"
            yield label, self._applied(heard, index)
        if daemon.held != daemon.in_force and _held_elsewhere(state, index):
            yield f"d{index} puts it in force", self._in_force(state, index)

    def _applied(self, state: State, index: int) -> State:
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
        applied = _dense(_replace(state, index, changed))
        return applied._replace(reverted=state.reverted or back)


def _held_elsewhere(state: State, index: int) -> bool:
    version = state.daemons[index].held
    return any(state.daemons[i].held >= version for i in DAEMONS if i != index)


def _aged(state: State) -> State:
    """Return the state after a newer version: all known ones are older."""

    def older(version: int) -> int:
        return version if version == NOT_READY else version - 1

    return _dense(_mapped(state, older))


def _dense(state: State) -> State:
    """Renumber the versions that anyone still knows without gaps."""
    known = {value for daemon in state.daemons for value in daemon}
    known = {*known, state.on_the_way} - {NEWEST, NOT_READY}
    numbers = {NEWEST: NEWEST, NOT_READY: NOT_READY}
    for rank, version in enumerate(sorted(known, reverse=True), start=1):
        numbers[version] = -rank
    return _mapped(state, numbers.__getitem__)


def _mapped(state: State, number: Callable[[int], int]) -> State:
    daemons = [Daemon(*(number(value) for value in d)) for d in state.daemons]
    return state._replace(
        daemons=(daemons[0], daemons[1], daemons[2]),
        on_the_way=number(state.on_the_way),
    )


def _replace(state: State, index: int, daemon: Daemon) -> State:
    daemons = list(state.daemons)
    daemons[index] = daemon
    return state._replace(daemons=(daemons[0], daemons[1], daemons[2]))
