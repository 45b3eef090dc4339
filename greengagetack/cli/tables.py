"""greengagetack.cli.tables: aligned tables, numbers and times as text."""

import json
import time
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

import click

__all__ = ["Column", "format_count", "format_time", "print_json", "print_table"]

COLUMN_SEPARATOR = "  "


@dataclass(frozen=True, slots=True)
class Column:
    """Heading of a column; columns of numbers are right-aligned."""

    heading: str
    is_number: bool = False


def print_table(columns: Sequence[Column], rows: Sequence[Sequence[Any]]) -> None:
    """Print rows under headings, with numbers right-aligned."""
    cells = [[_format_cell(cell) for cell in row] for row in rows]
    widths = [
        max([len(column.heading), *(len(row[index]) for row in cells)])
        for index, column in enumerate(columns)
    ]
    headings = [column.heading for column in columns]
    click.echo(click.style(_format_row(headings, columns, widths), bold=True))
    click.echo(COLUMN_SEPARATOR.join("-" * width for width in widths))
    for row in cells:
        click.echo(_format_row(row, columns, widths))


def _format_row(
    cells: Sequence[str], columns: Sequence[Column], widths: list[int]
) -> str:
    parts = []
    for cell, column, width in zip(cells, columns, widths, strict=True):
        parts.append(cell.rjust(width) if column.is_number else cell.ljust(width))
    return COLUMN_SEPARATOR.join(parts).rstrip()


def _format_cell(cell: Any) -> str:
    if cell is None or cell == "":
        return "-"
    if isinstance(cell, bool):
        return "yes" if cell else "no"
    if isinstance(cell, int):
        return format_count(cell)
    if isinstance(cell, float):
        return f"{cell:,.2f}"
    return str(cell)


def format_count(count: int) -> str:
    """Return an integer with thousands separators."""
    return f"{count:,}"


def format_time(seconds: float) -> str:
    """Return seconds since the epoch as a UTC time, ``-`` for 0."""
    if not seconds:
        return "-"
    return time.strftime("%Y-%m-%d %H:%M:%SZ", time.gmtime(seconds))


def print_json(value: Any) -> None:
    """Print a value as indented JSON."""
    click.echo(json.dumps(value, indent=2, ensure_ascii=False))
