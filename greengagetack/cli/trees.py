"""greengagetack.cli.trees: formats the spans of a trace as a tree."""

from collections import defaultdict
from dataclasses import dataclass
from typing import Any

__all__ = ["SpanLine", "span_lines"]

BAR_WIDTH = 24
MS_PER_S = 1_000.0


@dataclass(frozen=True, slots=True)
class SpanLine:
    """One row of the tree: indented name, daemon, times and a bar."""

    name: str
    vm_id: str
    offset_ms: str
    duration_ms: str
    bar: str
    note: str


def span_lines(spans: list[dict[str, Any]]) -> list[SpanLine]:
    """Return the rows of the tree; a span whose parent is unknown is a root."""
    known = {span["span_id"] for span in spans}
    children: dict[str, list[dict[str, Any]]] = defaultdict(list)
    for span in sorted(spans, key=lambda span: float(span["started_s"])):
        parent_id = span["parent_id"] if span["parent_id"] in known else ""
        if parent_id == span["span_id"]:
            parent_id = ""
        children[parent_id].append(span)
    if not spans:
        return []
    first_s = min(span["started_s"] for span in spans)
    last_s = max(span["started_s"] + span["duration_s"] for span in spans)
    scale = _Scale(first_s, max(last_s - first_s, 1e-9))
    lines: list[SpanLine] = []
    for root in children[""]:
        lines.append(_span_line(root, "", scale))
        _append_children(root["span_id"], "", children, scale, lines)
    return lines


@dataclass(frozen=True, slots=True)
class _Scale:
    first_s: float
    length_s: float


def _append_children(
    parent_id: str,
    indent: str,
    children: dict[str, list[dict[str, Any]]],
    scale: _Scale,
    lines: list[SpanLine],
) -> None:
    child_spans = children.get(parent_id, [])
    for index, span in enumerate(child_spans):
        is_last = index == len(child_spans) - 1
        lines.append(_span_line(span, indent + ("└─ " if is_last else "├─ "), scale))
        child_indent = indent + ("   " if is_last else "│  ")
        _append_children(span["span_id"], child_indent, children, scale, lines)


def _span_line(span: dict[str, Any], branches: str, scale: _Scale) -> SpanLine:
    offset_s = span["started_s"] - scale.first_s
    notes = ["FAILED"] if span["failed"] else []
    notes += [f"{name}={value}" for name, value in span["attributes"]]
    return SpanLine(
        branches + span["name"],
        span["vm_id"],
        f"{offset_s * MS_PER_S:.1f}",
        f"{span['duration_s'] * MS_PER_S:.1f}",
        _bar(offset_s, span["duration_s"], scale),
        " ".join(notes),
    )


def _bar(offset_s: float, duration_s: float, scale: _Scale) -> str:
    start = int(BAR_WIDTH * offset_s / scale.length_s)
    start = min(max(start, 0), BAR_WIDTH - 1)
    length = max(1, round(BAR_WIDTH * duration_s / scale.length_s))
    length = min(length, BAR_WIDTH - start)
    return ("·" * start + "█" * length).ljust(BAR_WIDTH, "·")
