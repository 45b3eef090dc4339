"""model.__main__: command line of the model checker."""

import importlib
import pkgutil
import sys
import time

import model
from model.checker import (
    MutantResult,
    PropertyResult,
    check_mutant,
    check_specification,
)
from model.specification import SPECIFICATIONS

__all__ = ["main"]


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
    print(f"{verdict}  {result.spec} without {result.guard!r}: {result.broken}")
    for number, step in enumerate(result.trace):
        print(f"    {number:2} {step.label}  {step.changes}")


def main(arguments: list[str]) -> int:
    """Check the specifications named, all without a name, and their mutants."""
    load_specifications()
    names = arguments or sorted(SPECIFICATIONS)
    properties: list[PropertyResult] = []
    mutants: list[MutantResult] = []
    for name in names:
        spec_type = SPECIFICATIONS[name]
        started_s = time.monotonic()
        for result in check_specification(spec_type()):
            show_property(result)
            properties.append(result)
        for guard in spec_type.guards:
            mutant = check_mutant(spec_type, guard)
            show_mutant(mutant)
            mutants.append(mutant)
        print(f"       {name}: {time.monotonic() - started_s:.1f} s", flush=True)
    holding = sum(result.holds for result in properties)
    refuted = sum(result.refuted for result in mutants)
    print(
        f"{holding} properties hold, {refuted} of {len(mutants)} mutants refuted",
        flush=True,
    )
    complete = holding == len(properties) and refuted == len(mutants)
    return 0 if complete and properties else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
