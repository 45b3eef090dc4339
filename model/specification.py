"""model.specification: base class and registry of the specifications."""

from collections.abc import Callable, Iterator
from typing import Any, ClassVar, NamedTuple

__all__ = [
    "SPECIFICATIONS",
    "Guard",
    "Predicate",
    "Specification",
    "Step",
    "specification",
]

PROGRESS = "progress stays possible"

Step = tuple[str, Any]
Predicate = Callable[[Any], bool]


class Guard(NamedTuple):
    """A rule of the protocol; without it the property `breaks` must be violated."""

    name: str
    breaks: str


class Specification:
    """One sub-protocol as a finite state machine.

    A state is a named tuple. `steps` yields each possible next state with a
    label. It calls `has` before it applies a guard, so that the same steps
    describe the protocol and its mutants.

    Parameters
    ----------
    removed : str
        Name of the guard that this mutant lacks, empty for the protocol itself.

    Attributes
    ----------
    name : str
        Name of the specification in reports.
    guards : tuple of Guard
        Rules of the protocol; each has a mutant that lacks it.
    """

    name: ClassVar[str] = ""
    guards: ClassVar[tuple[Guard, ...]] = ()

    def __init__(self, removed: str = "") -> None:
        self.removed = removed

    def has(self, guard: str) -> bool:
        """Whether the guard is in force, that is, not removed."""
        return guard != self.removed

    def initial(self) -> Any:
        """Return the initial state."""
        raise NotImplementedError

    def steps(self, state: Any) -> Iterator[Step]:
        """Yield the label and next state of every step possible in `state`."""
        raise NotImplementedError

    def properties(self) -> dict[str, Predicate]:
        """Return the safety properties by name, as predicates on a state."""
        raise NotImplementedError

    def goal(self, state: Any) -> bool:
        """Whether `state` is a goal, to which each reachable state must have a path."""
        raise NotImplementedError


SPECIFICATIONS: dict[str, type[Specification]] = {}


def specification(spec_type: type[Specification]) -> type[Specification]:
    """Register a specification under its name."""
    if spec_type.name in SPECIFICATIONS:
        raise ValueError(f"duplicate specification {spec_type.name!r}")
    SPECIFICATIONS[spec_type.name] = spec_type
    return spec_type
