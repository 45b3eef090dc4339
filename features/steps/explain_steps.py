"""features.steps.explain_steps: stories of requests, and the log writer's bounds."""

import itertools
import json
import tempfile
from datetime import timedelta
from pathlib import Path
from typing import TYPE_CHECKING

from behave import given, then, when
from behave.runner import Context
from click.testing import CliRunner
from loguru import logger

from greengagetack.cli.main import main
from greengagetack.observability.logs import LineWriter

if TYPE_CHECKING:
    from loguru import Record

WORDS = {
    "accepted": "batch: job accepted",
    "opened": "dispatch: job opened",
    "left the store": "store: not reached directly",
    "run broken": "end broken",
    "run completed": "end completed",
    "committed": "batch: results committed",
    "refused": "entry: refused",
}
START_S = 1_000.0


def _line(offset_s: float, node: str, message: str, **fields: object) -> str:
    entry = {"time": START_S + offset_s, "level": "INFO", "message": message}
    return json.dumps({**entry, "node": node, **fields})


def _write(context: Context, logs: dict[str, list[str]]) -> None:
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.files = []
    for name, lines in logs.items():
        path = Path(folder.name) / name
        path.write_text("\n".join(lines) + "\n")
        context.files.append(str(path))


@given("logs of two daemons on a job with an item that moved")
def step_logs(context: Context) -> None:
    job = {"request_id": "job-1"}
    item = {"request_id": "item-1", "job": "job-1"}
    _write(
        context,
        {
            "b.log": [
                _line(0.1, "b", "dispatch: job opened", **job),
                _line(0.2, "b", "store: not reached directly: status 503"),
                _line(0.5, "b", "dispatch: run ended", end="completed", **item),
                _line(0.4, "b", "dispatch: run ended", end="broken", **item),
                _line(0.6, "b", "batch: results committed", items="x,item-1", **job),
                _line(0.7, "b", "entry: refused", request_id="call-1"),
            ],
            "a.log": [
                "   0.00 a " + _line(0.0, "a", "batch: job accepted", **job),
                _line(0.3, "a", "entry: answered", request_id="other"),
            ],
        },
    )


@given("a log with broken lines")
def step_broken(context: Context) -> None:
    lines = ["", "{", "[1]", '{"a": 1}', "plain words"]
    lines.append(_line(0.7, "b", "entry: refused", request_id="call-1"))
    _write(context, {"a.log": lines})


@when('"{request}" is explained')
def step_explain(context: Context, request: str) -> None:
    context.result = CliRunner().invoke(main, ["explain", request, *context.files])


@then("the story tells {lines}")
def step_story(context: Context, lines: str) -> None:
    expected = [WORDS[name.strip()] for name in lines.split(",")]
    output = context.result.output
    told = [line for line in output.splitlines() if " ms " in line]
    assert len(told) == len(expected), output
    for line, words in zip(told, expected, strict=True):
        assert words in line, (line, words)


@then("the command ends with code {code:d}")
def step_code(context: Context, code: int) -> None:
    assert context.result.exit_code == code, context.result


@when("a daemon logs {count:d} lines within {seconds:g} s")
def step_burst(context: Context, count: int, seconds: float) -> None:
    numbers = itertools.count()

    def set_time(record: "Record") -> None:
        # Time as given, so that a busy machine changes nothing.
        passed_s = min(next(numbers), count - 1) * seconds / count
        record["elapsed"] = timedelta(seconds=START_S + passed_s)

    timed = logger.patch(set_time)
    with tempfile.TemporaryFile() as file:
        writer = LineWriter(file.fileno(), "a")
        handler = logger.add(writer.write, level="INFO", format="{message}")
        try:
            for number in range(count):
                timed.info("entry: answered", request_id=str(number))
            for _ in range(10):
                timed.warning("store: not reached directly")
            # The budget refills with time; drops are said with a later line.
            writer.report_dropped()
        finally:
            logger.remove(handler)
        file.seek(0)
        context.lines = [json.loads(line) for line in file]


@then("between {least:d} and {most:d} of them are written")
def step_bounded(context: Context, least: int, most: int) -> None:
    answered = [line for line in context.lines if "answered" in line["message"]]
    assert least <= len(answered) <= most, len(answered)
    context.answered = len(answered)


@then("a later line says how many were dropped")
def step_drops(context: Context) -> None:
    counts = [line["count"] for line in context.lines if "dropped" in line["message"]]
    assert sum(counts) + context.answered == 5_000, (counts, context.answered)


@then("warnings were all written")
def step_warnings(context: Context) -> None:
    found = [line for line in context.lines if line["level"] == "WARNING"]
    assert len([line for line in found if "store" in line["message"]]) == 10, found
