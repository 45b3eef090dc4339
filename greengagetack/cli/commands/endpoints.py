"""greengagetack.cli.commands.endpoints: ``greengagetack endpoints``."""

import click

from greengagetack.cli.api import Api, server_command
from greengagetack.cli.registry import command
from greengagetack.cli.tables import Column, print_json, print_table

__all__ = ["endpoints"]


@command
@click.command()
@server_command
def endpoints(api: Api, as_json: bool) -> None:
    """Show all endpoints: who keeps them, their load and their version."""
    answer = api.call("GET", "/v1/endpoints")
    if as_json:
        print_json(answer)
        return
    rows = answer["endpoints"]
    if not rows:
        click.echo("no endpoints")
        return
    names = list(rows[0])
    columns = [
        Column(name.replace("_", " "), isinstance(rows[0][name], int | float))
        for name in names
    ]
    print_table(columns, [[row.get(name) for name in names] for row in rows])
