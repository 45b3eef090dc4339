"""features.run: runs features and compares failures with KNOWN-RED.txt."""

import json
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from behave.__main__ import main as run_behave

__all__ = ["main"]

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED_PATH = ROOT / "KNOWN-RED.txt"
KNOWN_RED_PREFIX = "scenario: "
# Makes a child process run one feature and write its verdict to the given path.
VERDICT_OPTION = "--verdict"
# Each feature starts up to ten processes.
MAX_PARALLEL_FEATURES = 4
# Features that spend most of their time waiting for real processes.
LONG_FEATURES = frozenset(
    {
        "cell_processes.feature",
        "customers.feature",
        "demo.feature",
        "platform_calls.feature",
        "platform_jobs.feature",
        "promises.feature",
        "settings_daemons.feature",
        "shards.feature",
        "standins.feature",
    }
)


@dataclass(frozen=True)
class Verdict:
    """Names of the passed and of the failed scenarios."""

    passed: tuple[str, ...]
    failed: tuple[str, ...]


def read_known_red(path: Path) -> frozenset[str]:
    """Return the scenario names in the file, empty if it does not exist."""
    if not path.exists():
        return frozenset()
    lines = path.read_text().splitlines()
    names = [
        line.removeprefix(KNOWN_RED_PREFIX).strip()
        for line in lines
        if line.startswith(KNOWN_RED_PREFIX)
    ]
    return frozenset(names)


def collect_verdict(report: list[Any]) -> Verdict:
    """Group the scenarios of behave's JSON report by result, without skipped ones."""
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


def run_features(paths: list[str]) -> Verdict:
    """Run features in the current process."""
    with tempfile.TemporaryDirectory() as folder:
        report_path = Path(folder) / "report.json"
        # The last formatter has no output file and writes to standard output.
        run_behave(
            [
                "--no-color",
                "--format",
                "json",
                "--outfile",
                str(report_path),
                "--format",
                "progress",
                *paths,
            ]
        )
        if not report_path.exists():
            return Verdict((), ("behave wrote no report",))
        return collect_verdict(json.loads(report_path.read_text()))


def run_in_subprocess(path: Path) -> Verdict:
    """Run one feature in a child process; print its output after it has ended."""
    with tempfile.TemporaryDirectory() as folder:
        verdict_path = Path(folder) / "verdict.json"
        child = subprocess.run(
            [sys.executable, "-m", "features.run", VERDICT_OPTION, verdict_path, path],
            cwd=ROOT,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
            check=False,
        )
        print(child.stdout, end="", flush=True)
        if not verdict_path.exists():
            return Verdict((), (f"{path.name}: ended with {child.returncode}",))
        passed, failed = json.loads(verdict_path.read_text())
        return Verdict(tuple(passed), tuple(failed))


def run_in_parallel() -> Verdict:
    """Run all features in parallel, starting with `LONG_FEATURES`."""
    paths = sorted(
        (ROOT / "features").glob("*.feature"),
        key=lambda path: (path.name not in LONG_FEATURES, path.name),
    )
    with ThreadPoolExecutor(MAX_PARALLEL_FEATURES) as pool:
        verdicts = list(pool.map(run_in_subprocess, paths))
    return Verdict(
        tuple(name for verdict in verdicts for name in verdict.passed),
        tuple(name for verdict in verdicts for name in verdict.failed),
    )


def main(arguments: list[str]) -> int:
    """Run features; return 0 if no scenario failed that is not known to fail."""
    if arguments[:1] == [VERDICT_OPTION]:
        verdict = run_features(arguments[2:])
        Path(arguments[1]).write_text(json.dumps([verdict.passed, verdict.failed]))
        return 0
    verdict = run_features(arguments) if arguments else run_in_parallel()
    known = read_known_red(KNOWN_RED_PATH)
    new = [name for name in verdict.failed if name not in known]
    for name in verdict.failed:
        print("known red:" if name in known else "FAILED:", name)
    for name in sorted(known.intersection(verdict.passed)):
        print("stale entry in KNOWN-RED.txt:", name)
    print(f"{len(verdict.passed)} passed, {len(new)} failed")
    return 1 if new or not verdict.passed else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
