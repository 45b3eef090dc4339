"""greengagetack.cli.trees: the spans of a trace as a tree."""

from collections import defaultdict
from dataclasses import dataclass
from typing import Any

__all__ = ["SpanLine", "span_lines"]

BAR_CELLS = 24
MS_PER_S = 1_000.0


@dataclass(frozen=True, slots=True)
class SpanLine:
    """One row of the tree: name with its branches, place, times and a bar."""

    name: str
    vm_id: str
    offset_ms: str
    duration_ms: str
    bar: str
    note: str


def span_lines(spans: list[dict[str, Any]]) -> list[SpanLine]:
    """Return the rows of a tree; a span whose parent is unknown is a root."""
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
        lines.append(_line(root, "", scale))
        _add_children(root["span_id"], "", children, scale, lines)
    return lines


@dataclass(frozen=True, slots=True)
class _Scale:
    first_s: float
    length_s: float


def _add_children(
    parent_id: str,
    indent: str,
    children: dict[str, list[dict[str, Any]]],
    scale: _Scale,
    lines: list[SpanLine],
) -> None:
    below = children.get(parent_id, [])
    for index, span in enumerate(below):
        is_last = index == len(below) - 1
        lines.append(_line(span, indent + ("└─ " if is_last else "├─ "), scale))
        deeper = indent + ("   " if is_last else "│  ")
        _add_children(span["span_id"], deeper, children, scale, lines)


def _line(span: dict[str, Any], branches: str, scale: _Scale) -> SpanLine:
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
    start = int(BAR_CELLS * offset_s / scale.length_s)
    start = min(max(start, 0), BAR_CELLS - 1)
    length = max(1, round(BAR_CELLS * duration_s / scale.length_s))
    length = min(length, BAR_CELLS - start)
    return ("·" * start + "█" * length).ljust(BAR_CELLS, "·")
