"""greengagetack.cli.tables: aligned tables and numbers for people."""

import json
import time
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

import click

__all__ = ["Column", "print_json", "print_table", "shown_count", "shown_time"]

GAP = "  "


@dataclass(frozen=True, slots=True)
class Column:
    """Heading of a column and whether its cells are numbers."""

    heading: str
    is_number: bool = False


def print_table(columns: Sequence[Column], rows: Sequence[Sequence[Any]]) -> None:
    """Print rows under headings, numbers to the right."""
    cells = [[_shown(cell) for cell in row] for row in rows]
    widths = [
        max([len(column.heading), *(len(row[index]) for row in cells)])
        for index, column in enumerate(columns)
    ]
    headings = [column.heading for column in columns]
    click.echo(click.style(_line(headings, columns, widths), bold=True))
    click.echo(GAP.join("-" * width for width in widths))
    for row in cells:
        click.echo(_line(row, columns, widths))


def _line(cells: Sequence[str], columns: Sequence[Column], widths: list[int]) -> str:
    parts = []
    for cell, column, width in zip(cells, columns, widths, strict=True):
        parts.append(cell.rjust(width) if column.is_number else cell.ljust(width))
    return GAP.join(parts).rstrip()


def _shown(cell: Any) -> str:
    if cell is None or cell == "":
        return "-"
    if isinstance(cell, bool):
        return "yes" if cell else "no"
    if isinstance(cell, int):
        return shown_count(cell)
    if isinstance(cell, float):
        return f"{cell:,.2f}"
    return str(cell)


def shown_count(count: int) -> str:
    """Return a whole number with separators."""
    return f"{count:,}"


def shown_time(seconds: float) -> str:
    """Return seconds since the epoch as UTC, ``-`` for none."""
    if not seconds:
        return "-"
    return time.strftime("%Y-%m-%d %H:%M:%SZ", time.gmtime(seconds))


def print_json(value: Any) -> None:
    """Print a value as JSON for programs."""
    click.echo(json.dumps(value, indent=2, ensure_ascii=False))
