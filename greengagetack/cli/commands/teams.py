"""greengagetack.cli.commands.teams: ``greengagetack teams``."""

import click

from greengagetack.cli.api import Api, server_command
from greengagetack.cli.registry import command
from greengagetack.cli.tables import Column, print_json, print_table

__all__ = ["teams"]


@command
@click.group()
def teams() -> None:
    """Show what teams use."""


@teams.command("usage")
@server_command
def usage(api: Api, as_json: bool) -> None:
    """Show what each team has used of its budget, and the forecast."""
    answer = api.call("GET", "/v1/teams/usage")
    if as_json:
        print_json(answer)
        return
    rows = answer["teams"]
    if not rows:
        click.echo("no teams")
        return
    names = list(rows[0])
    columns = [
        Column(name.replace("_", " "), isinstance(rows[0][name], int | float))
        for name in names
    ]
    print_table(columns, [[row.get(name) for name in names] for row in rows])
