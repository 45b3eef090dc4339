"""features.run: runs all features and holds them against the known failures."""

import json
import sys
import tempfile
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from behave.__main__ import main as run_behave

__all__ = ["main"]

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
RED_PREFIX = "scenario: "


@dataclass(frozen=True)
class Verdict:
    """Names of the scenarios that passed and of those that failed."""

    passed: tuple[str, ...]
    failed: tuple[str, ...]


def read_known_red(path: Path) -> frozenset[str]:
    """Return the scenario names that the file lists, empty without a file."""
    if not path.exists():
        return frozenset()
    lines = path.read_text().splitlines()
    names = [
        line.removeprefix(RED_PREFIX).strip()
        for line in lines
        if line.startswith(RED_PREFIX)
    ]
    return frozenset(names)


def collect_verdict(report: list[Any]) -> Verdict:
    """Sort the scenarios of behave's JSON report by their state."""
    passed: list[str] = []
    failed: list[str] = []
    for feature in report:
        for element in feature.get("elements", []):
            if element.get("type") != "scenario":
                continue
            name = element["name"].strip()
            state = element.get("status")
            if state == "passed":
                passed.append(name)
                continue
            if state != "skipped":
                failed.append(name)
    return Verdict(tuple(passed), tuple(failed))


def main(arguments: list[str]) -> int:
    """Run behave and return 0 if only known scenarios failed."""
    with tempfile.TemporaryDirectory() as folder:
        report_path = Path(folder) / "report.json"
        # The formatter without a file of its own writes to standard output.
        run_behave(
            [
                "--no-color",
                "--format",
                "json",
                "--outfile",
                str(report_path),
                "--format",
                "progress",
                *(arguments or [str(ROOT / "features")]),
            ]
        )
        if not report_path.exists():
            print("behave wrote no report")
            return 1
        verdict = collect_verdict(json.loads(report_path.read_text()))
    known = read_known_red(KNOWN_RED)
    new = [name for name in verdict.failed if name not in known]
    for name in verdict.failed:
        print("known red:" if name in known else "FAILED:", name)
    for name in sorted(known.intersection(verdict.passed)):
        print("stale entry in KNOWN-RED.txt:", name)
    print(f"{len(verdict.passed)} passed, {len(new)} failed")
    return 1 if new or not verdict.passed else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
