"""greengagetack.cli.commands.settings: ``greengagetack settings`` (read and check)."""

import click

from greengagetack.cli.api import Api, server_command
from greengagetack.cli.documents import (
    changes_of_answer,
    print_changes,
    read_document,
)
from greengagetack.cli.exits import ExitCode, handle_errors
from greengagetack.cli.registry import command
from greengagetack.cli.tables import Column, format_time, print_json, print_table
from greengagetack.settings.changes import find_changes
from greengagetack.settings.objects import settings_path

__all__ = ["file_argument", "path_argument", "settings"]

path_argument = click.argument("path")
file_argument = click.argument("file", type=click.Path(dir_okay=False))


@command
@click.group()
def settings() -> None:
    """Show and change settings under /fleet and /teams/TEAM."""


@settings.command("show")
@click.argument("path", required=False)
@server_command
def show(api: Api, path: str | None, as_json: bool) -> None:
    """Show the settings in force under PATH, or list all paths.

    Token hashes are shortened.
    """
    if path is None:
        listed = api.call("GET", "/v1/settings")
        if as_json:
            print_json(listed)
            return
        rows = [[one["path"], one["version"]] for one in listed["settings"]]
        print_table([Column("path"), Column("version", True)], rows)
        return
    found = api.call("GET", f"/v1/settings{settings_path(path)}")
    if as_json:
        print_json(found)
        return
    author = found["author"] or "unknown"
    changed = format_time(found["changed_at_s"])
    click.echo(f"// {found['path']} version {found['version']}, {author}, {changed}")
    print_json(found["value"])


@settings.command("check")
@path_argument
@file_argument
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
@handle_errors
def check(path: str, file: str, as_json: bool) -> None:
    """Validate FILE as the settings of PATH, without any daemon."""
    checked_path = settings_path(path)
    read_document(file, checked_path)
    if as_json:
        print_json({"path": checked_path, "valid": True})
        return
    click.echo(f"{file}: valid settings of {checked_path}")


@settings.command("diff")
@path_argument
@file_argument
@server_command
def diff(api: Api, path: str, file: str, as_json: bool) -> None:
    """Show what FILE would change under PATH; exit code 1 if there are changes."""
    checked_path = settings_path(path)
    value = read_document(file, checked_path)
    answer = api.call("POST", f"/v1/settings-check{checked_path}", value)
    if as_json:
        print_json(answer)
    else:
        print_changes(changes_of_answer(answer))
    if answer["changes"]:
        raise SystemExit(int(ExitCode.DIFFERS))


@settings.command("history")
@path_argument
@server_command
def history(api: Api, path: str, as_json: bool) -> None:
    """Show the stored versions of PATH, newest first."""
    answer = api.call("GET", f"/v1/settings-history{settings_path(path)}")
    if as_json:
        print_json(answer)
        return
    versions = answer["versions"]
    rows = []
    for index, one in enumerate(versions):
        changed = ""
        if index + 1 < len(versions):
            changes = find_changes(versions[index + 1]["value"], one["value"])
            changed = ", ".join(change.path for change in changes)
        author = one["author"] or "unknown"
        rows.append([one["version"], format_time(one["changed_at_s"]), author, changed])
    columns = [
        Column("version", True),
        Column("changed"),
        Column("by"),
        Column("what changed"),
    ]
    print_table(columns, rows)


@settings.command("applied")
@server_command
def applied(api: Api, as_json: bool) -> None:
    """Show the versions that each daemon has in force."""
    answer = api.call("GET", "/v1/settings-applied")
    if as_json:
        print_json(answer)
        return
    rows = []
    for member in answer["members"]:
        versions = [f"{one['path']}={one['version']}" for one in member["versions"]]
        rows.append([member["vm_id"], member["reason"] or " ".join(versions)])
    print_table([Column("daemon"), Column("in force")], rows)
