"""greengagetack.cli.commands.status: ``greengagetack status``."""

from typing import Any

import click

from greengagetack.cli.api import Api, server_command
from greengagetack.cli.registry import command
from greengagetack.cli.tables import Column, print_json, print_table

__all__ = ["status"]

COLUMNS = (
    Column("daemon"),
    Column("availability zone"),
    Column("http"),
    Column("state"),
    Column("answers"),
    Column("version"),
    Column("table", True),
    Column("settings"),
)


@command
@click.command()
@server_command
def status(api: Api, as_json: bool) -> None:
    """Show the cell: its lead, its daemons and their settings versions."""
    answer = api.call("GET", "/v1/status")
    if as_json:
        print_json(answer)
        return
    lead = answer["lead"] or "none"
    click.echo(
        f"cell {answer['cell']}, lead {lead} (epoch {answer['lead_epoch']}), "
        f"table revision {answer['table_revision']}"
    )
    print_table(COLUMNS, [_row(daemon) for daemon in answer["daemons"]])


def _row(daemon: dict[str, Any]) -> list[Any]:
    known = daemon["status"] or {}
    versions = [f"{one['path']}={one['version']}" for one in known.get("settings", [])]
    return [
        daemon["vm_id"],
        daemon["availability_zone"],
        daemon["http"],
        daemon["state"],
        daemon["answers"],
        known.get("version"),
        known.get("table_revision"),
        " ".join(versions),
    ]
