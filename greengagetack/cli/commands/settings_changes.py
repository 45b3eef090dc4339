"""greengagetack.cli.commands.settings_changes: ``settings apply`` and ``init``."""

import asyncio
from pathlib import Path
from typing import Any

import click

from greengagetack.cli.api import Api, server_command
from greengagetack.cli.commands.settings import (
    file_argument,
    path_argument,
    settings,
)
from greengagetack.cli.documents import (
    changes_of_answer,
    print_changes,
    read_document,
)
from greengagetack.cli.exits import (
    CommandFailed,
    ExitCode,
    fault_from_error,
    handle_errors,
)
from greengagetack.cli.tables import print_json
from greengagetack.errors import CodedError
from greengagetack.objects.client import PlatformClient
from greengagetack.settings.objects import object_path, settings_path, stored_value

__all__ = ["apply", "init"]

DEFAULT_WAIT_S = 5.0


@settings.command("apply")
@path_argument
@file_argument
@click.option(
    "--wait",
    "wait_s",
    is_flag=False,
    flag_value=DEFAULT_WAIT_S,
    default=0.0,
    type=click.FloatRange(0, 30),
    help=f"Wait for all daemons, {DEFAULT_WAIT_S:g} s if no time is given.",
)
@click.option(
    "--version",
    "base_version",
    type=click.IntRange(0),
    help="Version that FILE is based on; 0 for a new path. Without it, the changes "
    "to the current version are shown for confirmation.",
)
@click.option("--yes", is_flag=True, help="Do not ask for confirmation.")
@server_command
def apply(
    api: Api,
    path: str,
    file: str,
    wait_s: float,
    base_version: int | None,
    yes: bool,
    as_json: bool,
) -> None:
    """Put FILE in force under PATH.

    If PATH was changed in the meantime, nothing is written and both versions are
    shown.
    """
    checked_path = settings_path(path)
    value = read_document(file, checked_path)
    version = base_version
    if version is None:
        version = _confirmed_version(api, checked_path, value, yes, as_json)
    headers = {"If-Match": f'"{version}"'} if version else {"If-None-Match": "*"}
    target = f"/v1/settings{checked_path}?wait_s={wait_s:g}"
    answer = api.call("PUT", target, value, headers)
    if as_json:
        print_json(answer)
    else:
        _print_applied(answer, wait_s)
    if wait_s and answer["missing_vm_ids"]:
        raise SystemExit(int(ExitCode.UNCONFIRMED))


def _confirmed_version(
    api: Api, path: str, value: Any, yes: bool, as_json: bool
) -> int:
    """Show the changes, ask for confirmation and return the current version."""
    answer = api.call("POST", f"/v1/settings-check{path}", value)
    version: int = answer["version"]
    if not as_json:
        print_changes(changes_of_answer(answer))
    if not yes:
        question = f"Change {path} version {version}?"
        click.confirm(question, abort=True, err=True)
    return version


def _print_applied(answer: dict[str, Any], wait_s: float) -> None:
    click.echo(f"{answer['path']} is at version {answer['version']}")
    confirmed = answer["confirmed_vm_ids"]
    missing = answer["missing_vm_ids"]
    if not wait_s:
        return
    click.echo(f"in force on {len(confirmed)} of {len(confirmed) + len(missing)}")
    if missing:
        click.echo(f"not confirmed: {', '.join(missing)}")


@settings.command("init")
@path_argument
@file_argument
@click.option("--platform-url", required=True, help="Base URL of the platform.")
@click.option(
    "--platform-token-file",
    type=click.Path(exists=True, dir_okay=False),
    help="File that contains the platform's bearer token.",
)
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
@handle_errors
def init(
    path: str,
    file: str,
    platform_url: str,
    platform_token_file: str | None,
    as_json: bool,
) -> None:
    """Write the first version of PATH directly to the platform.

    Only for the first start, before any operator token is in the settings. An
    existing path is not changed.
    """
    checked_path = settings_path(path)
    value = read_document(file, checked_path)
    token = None
    if platform_token_file:
        token = Path(platform_token_file).read_text().strip()
    version = asyncio.run(_write_first(platform_url, token, checked_path, value))
    if as_json:
        print_json({"path": checked_path, "version": version})
        return
    click.echo(f"{checked_path} is at version {version}")


async def _write_first(
    platform_url: str, token: str | None, path: str, value: Any
) -> int:
    platform = PlatformClient(platform_url, token)
    stored = stored_value(value, "init", 0.0, None)
    try:
        return await platform.write(object_path(path), stored, 0)
    except CodedError as error:
        raise CommandFailed(fault_from_error(error)) from None
