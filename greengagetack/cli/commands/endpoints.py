"""greengagetack.cli.commands.endpoints: ``greengagetack endpoints``."""

from typing import Any

import click

from greengagetack.cli.api import Api, server_command
from greengagetack.cli.registry import command
from greengagetack.cli.tables import Column, print_json, print_table

__all__ = ["endpoints"]

COLUMNS = (
    Column("endpoint"),
    Column("kind"),
    Column("serves"),
    Column("zone"),
    Column("keeper"),
    Column("state"),
    Column("weights", True),
    Column("running", True),
    Column("waiting", True),
    Column("slots", True),
    Column("tokens/s", True),
    Column("wait s", True),
)
FIELDS = (
    "endpoint_id",
    "kind",
    "name",
    "availability_zone",
    "keeper_vm_id",
    "state",
    "weight_version",
    "running",
    "waiting",
    "slots",
    "tokens_per_s",
    "expected_wait_s",
)


@command
@click.command()
@server_command
def endpoints(api: Api, as_json: bool) -> None:
    """Show all endpoints with their keeper, load and weight version."""
    answer = api.call("GET", "/v1/endpoints")
    if as_json:
        print_json(answer)
        return
    if not answer["endpoints"]:
        click.echo("no endpoints")
        return
    print_table(COLUMNS, [_row(endpoint) for endpoint in answer["endpoints"]])


def _row(endpoint: dict[str, Any]) -> list[Any]:
    return [endpoint.get(name) for name in FIELDS]
