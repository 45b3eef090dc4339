"""greengagetack.cli.commands.jobs: ``greengagetack jobs``."""

from typing import Any
from urllib.parse import quote

import click

from greengagetack.cli.api import Api, server_command
from greengagetack.cli.registry import command
from greengagetack.cli.tables import Column, print_json, print_table

__all__ = ["jobs"]

COLUMNS = (
    Column("team"),
    Column("job"),
    Column("step", True),
    Column("state"),
    Column("samples", True),
    Column("groups", True),
    Column("in flight", True),
    Column("tokens", True),
    Column("wasted", True),
    Column("remade", True),
    Column("age s", True),
    Column("owner"),
)


@command
@click.command()
@click.argument("job", required=False)
@server_command
def jobs(api: Api, job: str | None, as_json: bool) -> None:
    """Show the progress of rollout steps, of all jobs or of JOB.

    Samples and groups are shown as finished/requested.
    """
    path = "/v1/jobs" + (f"/{quote(job, safe='')}" if job else "")
    answer = api.call("GET", path)
    if as_json:
        print_json(answer)
        return
    if not answer["steps"]:
        click.echo("no rollout steps")
        return
    print_table(COLUMNS, [_row(step) for step in answer["steps"]])


def _row(step: dict[str, Any]) -> list[Any]:
    return [
        step["team"],
        step["job"],
        step["step"],
        step["state"],
        f"{step['finished_samples']}/{step['samples']}",
        f"{step['finished_groups']}/{step['groups']}",
        step["in_flight"],
        step["tokens"],
        step["wasted_tokens"],
        step["remade_samples"],
        f"{step['age_s']:.1f}",
        step["owner_vm_id"],
    ]
