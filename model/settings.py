"""model.settings: propagation of settings versions.

Operators write versions of one object; `model.writes` models concurrent writes.
Three daemons read versions from the platform or receive them from each other, late
and in any order. They restart with no state, also during an outage, which is modelled
as time without a step of the platform. Versions are stored as ranks below the newest
(0), so the number of versions is unbounded.
"""

from collections.abc import Callable, Iterator
from typing import NamedTuple

from greengagetack.leases.decisions import accept_version
from model.specification import Guard, Predicate, Specification, Step, specification

__all__ = ["SettingsSpecification"]

DAEMONS = range(3)
NEWEST = 0
NOT_READY = -99

NO_REVERT = "no daemon puts an older version in force, restarts included"


class Daemon(NamedTuple):
    """Versions of a daemon: held, in force, and the highest ever in force."""

    held: int = NOT_READY
    in_force: int = NOT_READY
    highest: int = NOT_READY


class State(NamedTuple):
    """The daemons and a version in transit between them."""

    daemons: tuple[Daemon, Daemon, Daemon]
    in_transit: int = NOT_READY
    reverted: bool = False


@specification
class SettingsSpecification(Specification):
    """Only higher versions are applied; a start needs the platform or all others."""

    name = "settings"
    guards = (
        Guard("older settings refused", NO_REVERT),
        Guard("start needs the platform or all others", NO_REVERT),
        Guard("in force only once another holds it", NO_REVERT),
    )

    def initial(self) -> State:
        """Return three daemons that have the newest version in force."""
        daemon = Daemon(NEWEST, NEWEST, NEWEST)
        return State((daemon, daemon, daemon))

    def properties(self) -> dict[str, Predicate]:
        """Return the safety properties."""
        return {NO_REVERT: lambda s: not s.reverted}

    def goal(self, state: State) -> bool:
        """Return whether all daemons have the newest version in force."""
        return all(daemon.in_force == NEWEST for daemon in state.daemons)

    def steps(self, state: State) -> Iterator[Step]:
        """Yield the steps, with daemons sorted, as they are interchangeable."""
        for label, after in self._steps(state):
            daemons = sorted(after.daemons)
            yield label, after._replace(daemons=(daemons[0], daemons[1], daemons[2]))

    def _steps(self, state: State) -> Iterator[Step]:
        """Yield the steps of the operators, the platform and the daemons."""
        if any(daemon.held == NEWEST for daemon in state.daemons):
            yield "an operator writes a version", _with_newer_version(state)
        for index, daemon in enumerate(state.daemons):
            fresh = Daemon(highest=daemon.highest)
            yield f"d{index} restarts", _renumbered(_replace(state, index, fresh))
            if accept_version(daemon.held, NEWEST):
                read = _replace(state, index, daemon._replace(held=NEWEST))
                yield (
                    f"d{index} reads the platform",
                    self._apply_if_allowed(read, index),
                )
            if daemon.held != NOT_READY:
                sent = _renumbered(state._replace(in_transit=daemon.held))
                yield f"d{index} pushes its version", sent
            yield from self._from_peers(state, index)

    def _from_peers(self, state: State, index: int) -> Iterator[Step]:
        daemon = state.daemons[index]
        if daemon.held == NOT_READY:
            others = [state.daemons[i].held for i in DAEMONS if i != index]
            can_start = NOT_READY not in others
            if not self.has("start needs the platform or all others"):
                can_start = max(others) != NOT_READY
            if can_start:
                known = daemon._replace(held=max(others))
                started = _replace(state, index, known)
                label = f"d{index} starts from the other daemons"
                yield label, self._apply_if_allowed(started, index)
            return
        version = state.in_transit
        is_newer = accept_version(daemon.held, version)
        takes_older = not self.has("older settings refused")
        if is_newer or (takes_older and version not in (NOT_READY, daemon.held)):
            received = _replace(state, index, daemon._replace(held=version))
            label = f"d{index} receives a version"
            yield label, self._apply_if_allowed(received, index)
        if daemon.held != daemon.in_force and _held_elsewhere(state, index):
            yield (
                f"d{index} puts its version in force",
                self._put_in_force(state, index),
            )

    def _apply_if_allowed(self, state: State, index: int) -> State:
        """Return the state after a version arrived, in force if that is allowed."""
        alone = not _held_elsewhere(state, index)
        if alone and self.has("in force only once another holds it"):
            return state
        return self._put_in_force(state, index)

    def _put_in_force(self, state: State, index: int) -> State:
        daemon = state.daemons[index]
        is_revert = accept_version(daemon.held, daemon.highest)
        changed = daemon._replace(
            in_force=daemon.held, highest=max(daemon.highest, daemon.held)
        )
        applied = _renumbered(_replace(state, index, changed))
        return applied._replace(reverted=state.reverted or is_revert)


def _held_elsewhere(state: State, index: int) -> bool:
    version = state.daemons[index].held
    return any(state.daemons[i].held >= version for i in DAEMONS if i != index)


def _with_newer_version(state: State) -> State:
    """Return the state after a newer version was written: all ranks drop by one."""

    def older(version: int) -> int:
        return version if version == NOT_READY else version - 1

    return _renumbered(_map_versions(state, older))


def _renumbered(state: State) -> State:
    """Renumber the versions still in use without gaps."""
    known = {value for daemon in state.daemons for value in daemon}
    known = {*known, state.in_transit} - {NEWEST, NOT_READY}
    numbers = {NEWEST: NEWEST, NOT_READY: NOT_READY}
    for rank, version in enumerate(sorted(known, reverse=True), start=1):
        numbers[version] = -rank
    return _map_versions(state, numbers.__getitem__)


def _map_versions(state: State, number: Callable[[int], int]) -> State:
    daemons = [Daemon(*(number(value) for value in d)) for d in state.daemons]
    return state._replace(
        daemons=(daemons[0], daemons[1], daemons[2]),
        in_transit=number(state.in_transit),
    )


def _replace(state: State, index: int, daemon: Daemon) -> State:
    daemons = list(state.daemons)
    daemons[index] = daemon
    return state._replace(daemons=(daemons[0], daemons[1], daemons[2]))
