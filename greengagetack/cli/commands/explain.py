"""greengagetack.cli.commands.explain: ``greengagetack explain``."""

from pathlib import Path

import click

from greengagetack.cli.registry import command
from greengagetack.observability.explain import LogLine, build_timeline, parse_lines

__all__ = ["explain"]

NOT_FOUND_EXIT_CODE = 6


@command
@click.command()
@click.argument("request")
@click.argument(
    "files", nargs=-1, required=True, type=click.Path(exists=True, dir_okay=False)
)
@click.option(
    "--state/--no-state", default=True, help="Show state changes around the request."
)
def explain(request: str, files: tuple[str, ...], state: bool) -> None:
    """Show what happened to REQUEST, from the daemons' log FILES.

    REQUEST is the identifier of a call, a batch job or an item of a job.
    """
    lines: list[LogLine] = []
    for name in files:
        with Path(name).open(encoding="utf-8", errors="replace") as file:
            lines += parse_lines(file)
    story = build_timeline(lines, request)
    if not story.own:
        click.echo(f"none of {len(files)} log files mentions {request}", err=True)
        raise SystemExit(NOT_FOUND_EXIT_CODE)
    if story.job_id:
        click.echo(f"{request} is an item of job {story.job_id}")
    own = set(story.own)
    surroundings = set(story.state)
    for offset_ms, line in story.rows():
        if line in surroundings and not state:
            continue
        mark = "*" if line in own else " "
        click.echo(f"{offset_ms:>9.1f} ms {mark} {line.node}: {line.text()}")
