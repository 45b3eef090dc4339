"""greengagetack.observability.explain: one request's way through several logs."""

import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Any

__all__ = ["LogLine", "Story", "parse_lines", "tell"]

# Fields that every line has, or that the line's place tells already.
COMMON_FIELDS = frozenset({"time", "level", "message", "node", "request_id"})
# Lines without a request that change what a daemon believes start so.
STATE_PREFIXES = (
    "claim:",
    "config:",
    "daemon:",
    "dispatch: this daemon",
    "feed:",
    "logs:",
    "order lease:",
    "replicas:",
    "store:",
    "weights:",
)
# State that changed this long before a request's first line still explains it.
BEFORE_S = 3.0
MS_PER_S = 1_000


@dataclass(frozen=True, slots=True)
class LogLine:
    """One structured line; `fields` are what it says besides its message."""

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
        """Return the line in words."""
        details = ", ".join(f"{name} {value}" for name, value in self.fields)
        return f"{self.message} ({details})" if details else self.message


@dataclass(frozen=True, slots=True)
class Story:
    """The lines on a request and on its job, and the state changes around them."""

    own: tuple[LogLine, ...]
    job_id: str
    job: tuple[LogLine, ...]
    state: tuple[LogLine, ...]

    def rows(self) -> list[tuple[float, LogLine]]:
        """Return all lines in order, with milliseconds since the first own one."""
        lines = sorted(
            {*self.own, *self.job, *self.state},
            key=lambda line: (line.time_s, line.node, line.message),
        )
        start_s = min((line.time_s for line in (*self.own, *self.job)), default=0.0)
        return [((line.time_s - start_s) * MS_PER_S, line) for line in lines]


def parse_lines(texts: Iterable[str]) -> Iterator[LogLine]:
    """Yield the structured lines of a log; others are passed over.

    A line may have a prefix, such as a collector's own time and host.
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


def tell(lines: Iterable[LogLine], request_id: str) -> Story:
    """Gather what the lines say of a request, a job or an item of a job."""
    known = list(lines)
    own = [line for line in known if _is_about(line, request_id)]
    job_ids = [str(line.field("job")) for line in own if line.field("job")]
    # A commit names its job as the request and the items in a field.
    job_ids += [line.request_id for line in own if line.request_id != request_id]
    job_id = job_ids[0] if job_ids else ""
    job = [
        line
        for line in known
        if job_id and line.request_id == job_id and line not in own
    ]
    told = own + job
    if not told:
        return Story((), "", (), ())
    first_s = min(line.time_s for line in told) - BEFORE_S
    last_s = max(line.time_s for line in told)
    nodes = {line.node for line in told}
    replicas = {str(line.field("replica")) for line in own}
    state = [
        line
        for line in known
        if first_s <= line.time_s <= last_s
        and line.node in nodes
        and _is_state(line, replicas)
    ]
    return Story(tuple(own), job_id, tuple(job), tuple(state))


def _is_about(line: LogLine, request_id: str) -> bool:
    if line.request_id == request_id:
        return True
    return request_id in str(line.field("items") or "").split(",")


def _is_state(line: LogLine, replicas: set[str]) -> bool:
    if line.request_id or not line.message.startswith(STATE_PREFIXES):
        return False
    if not line.message.startswith(("replicas:", "weights:")):
        return True
    named = {str(line.field("replica")), *line.message.split()}
    return bool(named & replicas)
