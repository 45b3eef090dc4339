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
    """Import all modules of the package, so that they register themselves."""
    for module in pkgutil.iter_modules(model.__path__):
        if module.name != "__main__":
            importlib.import_module(f"model.{module.name}")


def show_property(result: PropertyResult) -> None:
    """Print the verdict on a property, with its trace if refuted."""
    verdict = "holds" if result.holds else "FAILS"
    print(f"{verdict}  {result.spec}: {result.name} ({result.states:,} states)")
    if result.holds:
        return
    if result.reason:
        print(f"    {result.reason}")
    for number, step in enumerate(result.trace):
        print(f"    {number:2} {step.label}  {step.changes}")


def show_mutant(result: MutantResult) -> None:
    """Print the verdict on a mutant with its shortest trace."""
    verdict = "refuted" if result.refuted else "SURVIVES"
    print(
        f"{verdict}  {result.spec} without {result.guard!r}: {result.broken} "
        f"({result.states:,} states)"
    )
    for number, step in enumerate(result.trace):
        print(f"    {number:2} {step.label}  {step.changes}")


def check_properties(name: str) -> tuple[PropertyResult, ...]:
    """Check the specification of a name."""
    load_specifications()
    return check_specification(SPECIFICATIONS[name]())


def check_guard(name: str, index: int) -> MutantResult:
    """Check the specification of a name without one of its guards."""
    load_specifications()
    spec_type = SPECIFICATIONS[name]
    return check_mutant(spec_type, spec_type.guards[index])


def main(arguments: list[str]) -> int:
    """Check the specifications named, all without a name, and their mutants."""
    load_specifications()
    names = arguments or sorted(SPECIFICATIONS)
    holding = 0
    refuted = 0
    complete = bool(names)
    with ProcessPoolExecutor(min(MAX_WORKERS, os.cpu_count() or 1)) as pool:
        checks = {name: pool.submit(check_properties, name) for name in names}
        mutants = {
            (name, index): pool.submit(check_guard, name, index)
            for name in names
            for index in range(len(SPECIFICATIONS[name].guards))
        }
        for name in names:
            for result in checks[name].result():
                show_property(result)
                holding += result.holds
                complete = complete and result.holds
            for index in range(len(SPECIFICATIONS[name].guards)):
                mutant = mutants[name, index].result()
                show_mutant(mutant)
                refuted += mutant.refuted
                complete = complete and mutant.refuted
    print(f"{holding} properties hold, {refuted} of {len(mutants)} mutants refuted")
    return 0 if complete else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
