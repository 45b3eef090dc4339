"""greengagetack.cli.commands.teams: ``greengagetack teams``."""

from typing import Any

import click

from greengagetack.cli.api import Api, server_command
from greengagetack.cli.registry import command
from greengagetack.cli.tables import Column, print_json, print_table

__all__ = ["teams"]

COLUMNS = (
    Column("team"),
    Column("spent", True),
    Column("of tokens", True),
    Column("used", True),
    Column("forecast", True),
    Column("tokens/s", True),
    Column("left of period", True),
    Column("requests", True),
    Column("state"),
)


@command
@click.group()
def teams() -> None:
    """Show the usage of teams."""


@teams.command("usage")
@server_command
def usage(api: Api, as_json: bool) -> None:
    """Show what each team has used of its budget, and the forecast.

    With a team's token, only that team is shown. Spent tokens include those
    reserved for running requests; the forecast is for the end of the period.
    """
    answer = api.call("GET", "/v1/teams/usage")
    if as_json:
        print_json(answer)
        return
    if not answer["teams"] and not answer["unknown"]:
        click.echo("no teams")
        return
    print_table(COLUMNS, [_row(team) for team in answer["teams"]])
    for unknown in answer["unknown"]:
        click.echo(f"{unknown['team']}: not known now: {unknown['reason']}")


def _row(team: dict[str, Any]) -> list[Any]:
    spent = team["spent_tokens"] + team["granted_tokens"]
    bound = team["bound_tokens"]
    share = f"{spent / bound:.1%}" if bound else "-"
    return [
        team["team"],
        spent,
        bound,
        share,
        team["forecast_tokens"],
        team["tokens_per_s"],
        _hours(team["period_left_s"]),
        f"{team['concurrent_requests']}/{team['concurrent_bound']}",
        _state(team),
    ]


def _hours(seconds: float) -> str:
    minutes = int(seconds // 60)
    return f"{minutes // 60} h {minutes % 60:02} min"


def _state(team: dict[str, Any]) -> str:
    if team["exhausted"]:
        return "exhausted"
    return "warning" if team["warning"] else "ok"
