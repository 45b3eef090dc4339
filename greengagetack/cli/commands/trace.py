"""greengagetack.cli.commands.trace: ``greengagetack trace``."""

from urllib.parse import quote

import click

from greengagetack.cli.api import Api, server_command
from greengagetack.cli.registry import command
from greengagetack.cli.tables import Column, print_json, print_table
from greengagetack.cli.trees import span_lines

__all__ = ["trace"]

COLUMNS = (
    Column("span"),
    Column("daemon"),
    Column("start ms", True),
    Column("took ms", True),
    Column("when"),
    Column("notes"),
)


@command
@click.command()
@click.argument("request")
@server_command
def trace(api: Api, request: str, as_json: bool) -> None:
    """Show the spans of REQUEST (an X-Request-Id) on all daemons."""
    answer = api.call("GET", f"/v1/traces/{quote(request, safe='')}")
    if as_json:
        print_json(answer)
        return
    lines = span_lines(answer["spans"])
    rows = [
        [
            line.name,
            line.vm_id,
            line.offset_ms,
            line.duration_ms,
            line.bar,
            line.note,
        ]
        for line in lines
    ]
    daemons = {span["vm_id"] for span in answer["spans"]}
    click.echo(f"request {request}: {len(lines)} spans on {len(daemons)} daemons")
    print_table(COLUMNS, rows)
