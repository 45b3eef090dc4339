"""greengagetack.cli.commands.token: ``greengagetack token``."""

import click

from greengagetack.cli.registry import command
from greengagetack.cli.tables import print_json
from greengagetack.daemons.auth import new_token

__all__ = ["token"]


@command
@click.group()
def token() -> None:
    """Create bearer tokens."""


@token.command("new")
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
def new(as_json: bool) -> None:
    """Create a token and print it with the hash for the settings."""
    made = new_token()
    if as_json:
        print_json({"token": made.token, "token_hash": made.token_hash})
        return
    click.echo(f"token  {made.token}")
    click.echo(f"hash   {made.token_hash}")
    click.echo("Store the token; the settings contain only its hash.", err=True)
