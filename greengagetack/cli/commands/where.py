"""greengagetack.cli.commands.where: ``greengagetack where``."""

from dataclasses import replace
from typing import Any
from urllib.parse import urlencode

import click

from greengagetack.cli.api import Api
from greengagetack.cli.exits import (
    CommandFailed,
    ExitCode,
    Fault,
    WhereExitCode,
    handle_errors,
)
from greengagetack.cli.registry import command
from greengagetack.cli.tables import Column, print_json, print_table
from greengagetack.world import Address

__all__ = ["where"]

# An explanation takes a few milliseconds, so that a silent daemon is soon given up.
TIMEOUT_S = 5.0
EPILOG = """
\b
Exit codes:
  0  a candidate exists
  2  usage error, also one that the daemon finds
  3  nothing can serve the request now; the reason is printed
  4  no route matches
  5  the daemon does not answer
  7  the daemon has explained too many requests within a second
"""
CANDIDATES = (
    Column("replica"),
    Column("zone"),
    Column("expected ms", True),
    Column("measured ms", True),
    Column("age s", True),
    Column("in flight", True),
    Column("places", True),
    Column("way ms", True),
    Column("zone share", True),
    Column("version", True),
    Column("notes"),
)
EXCLUDED = (
    Column("excluded"),
    Column("zone"),
    Column("reason"),
    Column("detail"),
    Column("ends in s", True),
    Column("age s", True),
)
_EXIT_BY_CODE: dict[str, ExitCode | WhereExitCode] = {
    "invalid_request": ExitCode.USAGE,
    "not_ready": WhereExitCode.NO_CANDIDATE,
    "overloaded": ExitCode.UNAVAILABLE,
}


@command
@click.command(epilog=EPILOG)
@click.option(
    "--daemon", required=True, help="HOST:PORT of a daemon's operators' port."
)
@click.option("--host", required=True, help="Host name that the request is sent to.")
@click.option("--path", required=True, help="Path of the request.")
@click.option("--method", default="GET", show_default=True)
@click.option("--customer", default="", help="Name of the customer, not its key.")
@click.option("--model", default="", help="Model of a job.")
@click.option("--min-version", type=click.IntRange(min=0), help="Least weight version.")
@click.option("--request-id", default="", help="Decides between weighted services.")
@click.option("--json", "as_json", is_flag=True, help="Print the answer as JSON.")
@handle_errors
def where(daemon: str, as_json: bool, **asked: Any) -> None:
    """Show where a request or item would go now, and why, without sending it."""
    address = _parse_address(daemon)
    if (asked["min_version"] is None) != (not asked["model"]):
        raise click.UsageError("--model and --min-version are given together")
    query = urlencode({name: value for name, value in asked.items() if value})
    answer = _ask(address, query)
    remarks: list[str] = []
    if _needs_dispatcher(answer):
        answer, remarks = _ask_dispatcher(address, query, answer)
    if as_json:
        print_json(answer)
    else:
        _print_answer(answer, remarks)
    _raise_for(answer)


def _parse_address(text: str) -> Address:
    try:
        address = Address.parse(text)
    except ValueError:
        raise click.UsageError("--daemon is not HOST:PORT") from None
    if not address.host or not 0 < address.port < 1 << 16:
        raise click.UsageError("--daemon is not HOST:PORT")
    return address


def _ask(address: Address, query: str) -> dict[str, Any]:
    try:
        answer = Api(f"http://{address}", "", TIMEOUT_S).call("GET", f"/where?{query}")
    except CommandFailed as failure:
        fault = failure.fault
        exit_code = _EXIT_BY_CODE.get(fault.code, WhereExitCode.NO_ANSWER)
        raise CommandFailed(replace(fault, exit_code=exit_code)) from None
    if not isinstance(answer, dict) or not {"node", "route", "placement"} <= set(
        answer
    ):
        raise CommandFailed(
            Fault(
                "unreadable_answer",
                f"{address} does not answer as a daemon's operators' port does",
                "Check --daemon; it is the port that serves /metrics.",
                WhereExitCode.NO_ANSWER,
            )
        )
    return answer


def _needs_dispatcher(answer: dict[str, Any]) -> bool:
    route, dispatcher = answer["route"], answer.get("dispatcher")
    is_job = route is not None and route["is_job"]
    return is_job and dispatcher is not None and not dispatcher["is_this"]


def _ask_dispatcher(
    asked: Address, query: str, answer: dict[str, Any]
) -> tuple[dict[str, Any], list[str]]:
    """Return the dispatcher's answer, or the given one with the reason for it.

    All daemons of a deployment have the same operators' port.
    """
    node = answer["dispatcher"]["node"]
    host = Address.parse(answer["dispatcher"]["control"]).host
    address = Address(host, asked.port)
    unknown = f"only the dispatcher {node} knows where an item would go"
    try:
        found = _ask(address, query)
    except CommandFailed as failure:
        return answer, [f"{unknown}: {failure.fault.reason}"]
    dispatcher = found.get("dispatcher")
    if dispatcher is None or not dispatcher["is_this"]:
        return answer, [f"{unknown}, and {address} is {found['node']}"]
    return found, [f"answered by the dispatcher {node} at {address}"]


def _print_answer(answer: dict[str, Any], remarks: list[str]) -> None:
    copies = ", ".join(
        f"{copy['prefix'].rstrip('/')} "
        + ("unknown" if copy["age_s"] is None else f"{copy['age_s']:.1f} s")
        for copy in answer["copies"]
    )
    click.echo(f"daemon {answer['node']}, zone {answer['zone'] or '-'}")
    click.echo(f"configuration {answer['config_version']}; age of copies: {copies}")
    route, placement = answer["route"], answer["placement"]
    dispatcher = answer["dispatcher"]
    click.echo(f"dispatcher: {dispatcher['node'] if dispatcher else 'none'}")
    if answer["customer_rank"] is not None:
        customer = answer["question"]["customer"]
        click.echo(f"customer {customer}, rank {answer['customer_rank']}")
    if route is None or placement is None:
        return
    weights = ", ".join(
        f"{name} {share:g}" for name, share in route["services"].items()
    )
    click.echo(f"route {route['name']} ({route['kind']}), services: {weights}")
    for note in [*answer["notes"], *remarks]:
        click.echo(f"note: {note}")
    _print_placement(placement)
    kind = " (last resort)" if placement["is_last_resort"] else ""
    chosen = placement["chosen"] or "none known"
    click.echo(f"service {answer['service']}, chosen now: {chosen}{kind}")


def _print_placement(placement: dict[str, Any]) -> None:
    rows = [_candidate_row(row, placement["chosen"]) for row in placement["candidates"]]
    if rows:
        print_table(CANDIDATES, rows)
    more = placement["candidate_count"] - len(rows)
    if more > 0:
        click.echo(f"and {more} more candidates")
    excluded = [
        [
            one["replica"],
            one["zone"],
            one["reason"],
            one["detail"],
            one["ends_in_s"],
            one["age_s"],
        ]
        for one in placement["excluded"]
    ]
    if excluded:
        print_table(EXCLUDED, excluded)
    counts = placement["excluded_counts"]
    if sum(counts.values()) > len(excluded):
        click.echo(f"excluded in all: {_counts_text(counts)}")


def _candidate_row(row: dict[str, Any], chosen: str | None) -> list[Any]:
    notes = []
    if row["replica"] == chosen:
        notes.append("chosen")
    if row["needs_permit"]:
        notes.append("needs a permit")
    if not row["zone_has_places"]:
        notes.append("zone is full")
    return [
        row["replica"],
        row["zone"],
        row["expected_ms"],
        row["measured_ms"],
        row["measured_age_s"],
        row["in_flight"],
        row["slots"],
        row["way_ms"],
        row["zone_share"],
        row["version"],
        ", ".join(notes),
    ]


def _counts_text(counts: dict[str, int]) -> str:
    return ", ".join(f"{count} {reason}" for reason, count in counts.items())


def _raise_for(answer: dict[str, Any]) -> None:
    """End with the exit code of an answer, unless there is a candidate."""
    if answer["route"] is None:
        asked = answer["question"]
        raise CommandFailed(
            Fault(
                "no_route",
                f"no route matches host {asked['host']} and path {asked['path']}",
                f"Check both against configuration {answer['config_version']}.",
                WhereExitCode.NO_ROUTE,
            )
        )
    placement = answer["placement"]
    if placement["chosen"] is not None or placement["candidate_count"]:
        return
    counts = placement["excluded_counts"]
    service = answer["service"]
    reason = f"no replica of {service} is listed"
    if counts:
        reason = f"all replicas of {service} are excluded: {_counts_text(counts)}"
    raise CommandFailed(
        Fault(
            "no_candidate",
            reason,
            "The table names what excludes each replica.",
            WhereExitCode.NO_CANDIDATE,
        )
    )
