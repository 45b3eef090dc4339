"""model.__main__: command line of the model checker."""

import importlib
import os
import pkgutil
import sys
from concurrent.futures import ProcessPoolExecutor

import model
from model.checker import (
    MutantResult,
    PropertyResult,
    check_mutant,
    check_specification,
)
from model.specification import SPECIFICATIONS

__all__ = ["main"]

MAX_WORKERS = 4


def load_specifications() -> None:
    """Import all modules of the package, which registers their specifications."""
    for module in pkgutil.iter_modules(model.__path__):
        if module.name != "__main__":
            importlib.import_module(f"model.{module.name}")


def print_property(result: PropertyResult) -> None:
    """Print the verdict on a property, with a counterexample if it fails."""
    verdict = "holds" if result.holds else "FAILS"
    print(f"{verdict}  {result.spec}: {result.name} ({result.states:,} states)")
    if result.holds:
        return
    if result.reason:
        print(f"    {result.reason}")
    for number, step in enumerate(result.trace):
        print(f"    {number:2} {step.label}  {step.changes}")


def print_mutant(result: MutantResult) -> None:
    """Print the verdict on a mutant with its shortest counterexample."""
    verdict = "refuted" if result.refuted else "SURVIVES"
    print(
        f"{verdict}  {result.spec} without {result.guard!r}: {result.broken} "
        f"({result.states:,} states)"
    )
    for number, step in enumerate(result.trace):
        print(f"    {number:2} {step.label}  {step.changes}")


def check_properties(name: str) -> tuple[PropertyResult, ...]:
    """Check all properties of the named specification."""
    load_specifications()
    return check_specification(SPECIFICATIONS[name]())


def check_without_guard(name: str, index: int) -> MutantResult:
    """Check the named specification without one of its guards."""
    load_specifications()
    spec_type = SPECIFICATIONS[name]
    return check_mutant(spec_type, spec_type.guards[index])


def main(arguments: list[str]) -> int:
    """Check the named specifications, or all, and their mutants."""
    load_specifications()
    names = arguments or sorted(SPECIFICATIONS)
    held = 0
    refuted = 0
    succeeded = bool(names)
    with ProcessPoolExecutor(min(MAX_WORKERS, os.cpu_count() or 1)) as pool:
        checks = {name: pool.submit(check_properties, name) for name in names}
        mutants = {
            (name, index): pool.submit(check_without_guard, name, index)
            for name in names
            for index in range(len(SPECIFICATIONS[name].guards))
        }
        for name in names:
            for result in checks[name].result():
                print_property(result)
                held += result.holds
                succeeded = succeeded and result.holds
            for index in range(len(SPECIFICATIONS[name].guards)):
                mutant = mutants[name, index].result()
                print_mutant(mutant)
                refuted += mutant.refuted
                succeeded = succeeded and mutant.refuted
    print(f"{held} properties hold, {refuted} of {len(mutants)} mutants refuted")
    return 0 if succeeded else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
