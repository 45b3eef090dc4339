"""greengagetack.observability.explain: a request's timeline from several logs."""

import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Any

__all__ = ["LogLine", "RequestTimeline", "build_timeline", "parse_lines"]

# Fields of every line, which are attributes of `LogLine` and not in `fields`.
COMMON_FIELDS = frozenset({"time", "level", "message", "node", "request_id"})
# Prefixes of lines without a request that record a change of a daemon's state.
STATE_PREFIXES = (
    "claim:",
    "config:",
    "daemon:",
    "dispatch: this daemon",
    "duties:",
    "feed:",
    "logs:",
    "order lease:",
    "replicas:",
    "scaling lease:",
    "store:",
    "usage lease:",
    "weights:",
)
# Changes of state up to this long before a request's first line are included.
STATE_LOOKBACK_S = 3.0
MS_PER_S = 1_000


@dataclass(frozen=True, slots=True)
class LogLine:
    """One structured log line; `fields` are those besides the common ones."""

    time_s: float
    node: str
    level: str
    message: str
    request_id: str
    fields: tuple[tuple[str, Any], ...]

    def field(self, name: str) -> Any:
        """Return a field's value, None if the line has none."""
        return dict(self.fields).get(name)

    def text(self) -> str:
        """Return the message, followed by the fields in parentheses."""
        details = ", ".join(f"{name} {value}" for name, value in self.fields)
        return f"{self.message} ({details})" if details else self.message


@dataclass(frozen=True, slots=True)
class RequestTimeline:
    """Log lines of a request and its job, and state changes around them."""

    own: tuple[LogLine, ...]
    job_id: str
    job: tuple[LogLine, ...]
    state: tuple[LogLine, ...]

    def rows(self) -> list[tuple[float, LogLine]]:
        """Return all lines by time, in milliseconds since the first request line."""
        lines = sorted(
            {*self.own, *self.job, *self.state},
            key=lambda line: (line.time_s, line.node, line.message),
        )
        start_s = min((line.time_s for line in (*self.own, *self.job)), default=0.0)
        return [((line.time_s - start_s) * MS_PER_S, line) for line in lines]


def parse_lines(texts: Iterable[str]) -> Iterator[LogLine]:
    """Yield the structured lines of a log and skip all others.

    A line may have a prefix, such as a log collector's time and host.
    """
    for text in texts:
        start = text.find("{")
        if start < 0:
            continue
        try:
            entry = json.loads(text[start:])
        except ValueError:
            continue
        if not isinstance(entry, dict) or "message" not in entry:
            continue
        yield LogLine(
            time_s=float(entry.get("time", 0.0)),
            node=str(entry.get("node", "?")),
            level=str(entry.get("level", "")),
            message=str(entry["message"]),
            request_id=str(entry.get("request_id", "")),
            fields=tuple(
                (name, value if not isinstance(value, list | dict) else str(value))
                for name, value in entry.items()
                if name not in COMMON_FIELDS
            ),
        )


def build_timeline(lines: Iterable[LogLine], request_id: str) -> RequestTimeline:
    """Select the lines about a request, a job or an item of a job."""
    all_lines = list(lines)
    own = [line for line in all_lines if _is_about(line, request_id)]
    job_ids = [str(line.field("job")) for line in own if line.field("job")]
    # The line of a commit has the job as its request and the items in a field.
    job_ids += [
        line.request_id
        for line in own
        if line.request_id != request_id and line.field("reward") is None
    ]
    job_id = job_ids[0] if job_ids else ""
    job = [
        line
        for line in all_lines
        if job_id and line.request_id == job_id and line not in own
    ]
    request_lines = own + job
    if not request_lines:
        return RequestTimeline((), "", (), ())
    first_s = min(line.time_s for line in request_lines) - STATE_LOOKBACK_S
    last_s = max(line.time_s for line in request_lines)
    nodes = {line.node for line in request_lines}
    replicas = {str(line.field("replica")) for line in own}
    state = [
        line
        for line in all_lines
        if first_s <= line.time_s <= last_s
        and line.node in nodes
        and _is_state(line, replicas)
    ]
    return RequestTimeline(tuple(own), job_id, tuple(job), tuple(state))


def _is_about(line: LogLine, request_id: str) -> bool:
    if request_id in (line.request_id, line.field("reward")):
        return True
    return request_id in str(line.field("items") or "").split(",")


def _is_state(line: LogLine, replicas: set[str]) -> bool:
    if line.request_id or not line.message.startswith(STATE_PREFIXES):
        return False
    if not line.message.startswith(("replicas:", "weights:")):
        return True
    mentioned = {str(line.field("replica")), *line.message.split()}
    return bool(mentioned & replicas)
