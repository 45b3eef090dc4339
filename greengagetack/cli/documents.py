"""greengagetack.cli.documents: reads settings files and prints changes."""

import json
from pathlib import Path
from typing import Any

import click

from greengagetack.cli.exits import CommandFailed, Fault, fault_from_error
from greengagetack.documents import InvalidDocument, parse_json_with_comments
from greengagetack.settings.changes import ABSENT, Change
from greengagetack.settings.writer import check_document

__all__ = ["changes_of_answer", "print_changes", "read_document"]


def read_document(file: str, path: str) -> Any:
    """Return the plain value of a settings file after validating it."""
    try:
        value = parse_json_with_comments(Path(file).read_bytes())
        check_document(path, value)
    except OSError as error:
        raise click.UsageError(f"{file}: {error.strerror}") from None
    except InvalidDocument as error:
        fault = fault_from_error(error)
        raise CommandFailed(
            Fault(
                fault.code,
                f"{file}: {fault.reason}",
                fault.remedy,
                fault.exit_code,
                fault.lines,
            )
        ) from None
    return value


def print_changes(changes: list[Change]) -> None:
    """Print changes as removed and added values, in the manner of a diff."""
    if not changes:
        click.echo("no differences")
        return
    for change in changes:
        if change.before != ABSENT:
            text = f"- {change.path}  {_compact(change.before)}"
            click.echo(click.style(text, fg="red"))
        if change.after != ABSENT:
            text = f"+ {change.path}  {_compact(change.after)}"
            click.echo(click.style(text, fg="green"))


def _compact(value: Any) -> str:
    return json.dumps(value, ensure_ascii=False)


def changes_of_answer(answer: dict[str, Any]) -> list[Change]:
    """Return the changes listed in the response to a settings check."""
    return [
        Change(one["path"], one["before"], one["after"]) for one in answer["changes"]
    ]
