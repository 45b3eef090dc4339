"""model.checker: checks a specification and its mutants with minicheck."""

import dataclasses
import itertools
import sys
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Any

from minicheck import (
    Protocol,
    check_liveness,
    check_safety,
)
from minicheck._core import SearchIncomplete

from model.specification import PROGRESS, Guard, Specification

__all__ = [
    "MutantResult",
    "PropertyResult",
    "TraceStep",
    "check_mutant",
    "check_specification",
]

MAX_STATES = 200_000


@dataclass(frozen=True, slots=True)
class TraceStep:
    """A step of a counterexample: its label and the fields that it changed."""

    label: str
    changes: str


@dataclass(frozen=True, slots=True)
class PropertyResult:
    """Verdict on one property; `states` is the number of reachable states."""

    spec: str
    name: str
    holds: bool
    states: int
    trace: tuple[TraceStep, ...] = ()
    reason: str = ""


@dataclass(frozen=True, slots=True)
class MutantResult:
    """Verdict on a mutant: the protocol without one guard."""

    spec: str
    guard: str
    broken: str
    refuted: bool
    states: int
    trace: tuple[TraceStep, ...] = ()


def check_specification(spec: Specification) -> tuple[PropertyResult, ...]:
    """Check all safety properties and progress over all reachable states."""
    protocol = _with_cached_transitions(_protocol(spec))
    report = check_safety(protocol, max_states=MAX_STATES)
    results = [
        PropertyResult(
            spec.name,
            name,
            verdict["holds"] is True and report["exhaustive"],
            report["reachable_states"],
            _trace(verdict["counterexample"]),
            verdict.get("reason", ""),
        )
        for name, verdict in report["properties"].items()
    ]
    progress = check_liveness(protocol)
    results.append(
        PropertyResult(
            spec.name,
            PROGRESS,
            progress["holds"] is True,
            progress.get("reachable_states", 0),
            _trace(progress.get("counterexample")),
            progress.get("note", ""),
        )
    )
    return tuple(results)


def check_mutant(spec_type: type[Specification], guard: Guard) -> MutantResult:
    """Search for the shortest trace on which a missing guard breaks its property."""
    spec = spec_type(removed=guard.name)
    if guard.breaks == PROGRESS:
        report = check_liveness(_protocol(spec))
        return MutantResult(
            spec.name,
            guard.name,
            guard.breaks,
            report["holds"] is False,
            report.get("reachable_states", 0),
            _trace(report.get("counterexample")),
        )
    protocol = _stop_at_violation(_protocol(spec), guard.breaks)
    report = check_safety(protocol, max_states=MAX_STATES)
    verdict = report["properties"][guard.breaks]
    return MutantResult(
        spec.name,
        guard.name,
        guard.breaks,
        verdict["holds"] is False,
        report["reachable_states"],
        _trace(verdict["counterexample"]),
    )


def _protocol(spec: Specification) -> Protocol:
    """Convert a specification into a minicheck protocol."""
    initial = spec.initial()
    state_type = type(initial)

    def on_fields(predicate: Callable[[Any], bool]) -> Callable[[Any], bool]:
        return lambda fields: predicate(state_type(**fields))

    return Protocol(
        name=spec.name,
        candidate=False,
        fields=state_type._fields,
        initial=initial,
        transitions=lambda state: list(spec.steps(state)),
        invariants={
            name: on_fields(predicate) for name, predicate in spec.properties().items()
        },
        goal=on_fields(spec.goal),
    )


def _with_cached_transitions(protocol: Protocol) -> Protocol:
    """Return the protocol with its transitions cached across searches."""
    states: dict[Any, Any] = {}
    steps: dict[Any, list[tuple[str, Any]]] = {}

    def transitions(state: Any) -> list[tuple[str, Any]]:
        found = steps.get(state)
        if found is None:
            found = [
                (sys.intern(label), states.setdefault(successor, successor))
                for label, successor in protocol.transitions(state)
            ]
            steps[state] = found
        return found

    return dataclasses.replace(protocol, transitions=transitions)


def _stop_at_violation(protocol: Protocol, name: str) -> Protocol:
    """Return the protocol with one invariant; its first violation ends the search."""
    predicate = protocol.invariants[name]
    violated = False

    def checked_predicate(fields: Any) -> bool:
        nonlocal violated
        holds = predicate(fields)
        violated = violated or not holds
        return holds

    def transitions(state: Any) -> Any:
        if violated:
            raise SearchIncomplete("the property is refuted")
        return protocol.transitions(state)

    return dataclasses.replace(
        protocol, transitions=transitions, invariants={name: checked_predicate}
    )


def _trace(counterexample: list[dict[str, Any]] | None) -> tuple[TraceStep, ...]:
    """Convert minicheck's trace into labels and changed fields."""
    if not counterexample:
        return ()
    steps = [TraceStep("start", "")]
    for before, entry in itertools.pairwise(counterexample):
        changes = ", ".join(_changes("", before["state"], entry["state"]))
        steps.append(TraceStep(entry["label"], changes))
    return tuple(steps)


def _changes(name: str, before: Any, after: Any) -> Iterator[str]:
    """Yield ``name=value`` for each field that differs, also in nested tuples."""
    if before == after:
        return
    if hasattr(after, "_asdict") and hasattr(before, "_asdict"):
        before, after = before._asdict(), after._asdict()
    if isinstance(after, dict):
        for key, value in after.items():
            prefix = f"{name}.{key}" if name else key
            yield from _changes(prefix, before[key], value)
        return
    nested = isinstance(after, tuple) and after and hasattr(after[0], "_asdict")
    if nested and len(before) == len(after):
        for index, value in enumerate(after):
            yield from _changes(f"{name}[{index}]", before[index], value)
        return
    yield f"{name}={after}"
