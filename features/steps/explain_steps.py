"""features.steps.explain_steps: request timelines, and the log writer's rate limit."""

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

TEXT_BY_NAME = {
    "accepted": "batch: job accepted",
    "opened": "dispatch: job opened",
    "left the store": "store: not reached directly",
    "run broken": "end broken",
    "run completed": "end completed",
    "scored": "end scored",
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


@given("logs of two daemons about a job with an item that was moved")
def step_logs(context: Context) -> None:
    job = {"request_id": "job-1"}
    item = {"request_id": "item-1", "job": "job-1"}
    reward = {"reward": "reward-1", "end": "scored"}
    _write(
        context,
        {
            "b.log": [
                _line(0.1, "b", "dispatch: job opened", **job),
                _line(0.2, "b", "store: not reached directly: status 503"),
                _line(0.5, "b", "dispatch: run ended", end="completed", **item),
                _line(0.4, "b", "dispatch: run ended", end="broken", **item),
                _line(0.55, "b", "reward: call ended", **reward, **item),
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


@then("the timeline contains {lines}")
def step_timeline(context: Context, lines: str) -> None:
    expected = [TEXT_BY_NAME[name.strip()] for name in lines.split(",")]
    output = context.result.output
    timeline = [line for line in output.splitlines() if " ms " in line]
    assert len(timeline) == len(expected), output
    for line, text in zip(timeline, expected, strict=True):
        assert text in line, (line, text)


@then("the command ends with code {code:d}")
def step_code(context: Context, code: int) -> None:
    assert context.result.exit_code == code, context.result


@when("a daemon logs {count:d} lines within {seconds:g} s")
def step_burst(context: Context, count: int, seconds: float) -> None:
    numbers = itertools.count()

    def set_time(record: "Record") -> None:
        # Uses simulated time, so that the load of the machine has no influence.
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
            # The rate limit leaves room for lines again only with time, and drops
            # are reported with a later line, so force the last report.
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


@then("a later line reports the number of dropped lines")
def step_dropped(context: Context) -> None:
    counts = [line["count"] for line in context.lines if "dropped" in line["message"]]
    assert sum(counts) + context.answered == 5_000, (counts, context.answered)


@then("all warnings are written")
def step_warnings(context: Context) -> None:
    found = [line for line in context.lines if line["level"] == "WARNING"]
    assert len([line for line in found if "store" in line["message"]]) == 10, found
