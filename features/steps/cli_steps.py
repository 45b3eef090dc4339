"""features.steps.cli_steps: the command line against in-process daemons."""

import os
import shlex
import tempfile
from pathlib import Path
from typing import Any

from behave import given, then, when
from behave.runner import Context
from click.testing import CliRunner
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from features.support.raw_http import ServedApp
from features.support.settings_documents import OPERATOR_TOKEN, team_token
from greengagetack.cli.main import main
from greengagetack.world import Address


def span(
    span_id: str, parent_id: str, name: str, vm_id: str, started_s: float
) -> dict[str, Any]:
    return {
        "trace_id": "t",
        "span_id": span_id,
        "parent_id": parent_id,
        "name": name,
        "vm_id": vm_id,
        "started_s": started_s,
        "duration_s": 0.01,
        "attributes": [["team", "quetzal"]],
        "failed": False,
    }


STEP = {
    "team": "quetzal",
    "job": "routes",
    "step": 3,
    "state": "running",
    "owner_vm_id": "v1",
    "samples": 32,
    "finished_samples": 24,
    "groups": 8,
    "finished_groups": 6,
    "in_flight": 4,
    "tokens": 12_345,
    "wasted_tokens": 10,
    "remade_samples": 1,
    "age_s": 2.5,
}
STATUS = {
    "cell": "c",
    "lead": "v1",
    "lead_epoch": 4,
    "table_revision": 9,
    "daemons": [
        {
            "vm_id": "v2",
            "availability_zone": "b",
            "http": "127.0.0.1:2",
            "state": "live",
            "answers": False,
            "status": None,
        }
    ],
}
SPANS = [
    span("4", "1", "owner", "v2", 1.03),
    span("1", "0", "entry POST /v1/completions", "v1", 1.0),
    span("2", "1", "keeper", "v2", 1.01),
    span("3", "2", "engine", "v2", 1.02),
]
USAGE = {
    "team": "quetzal",
    "bound_tokens": 1_000,
    "spent_tokens": 800,
    "granted_tokens": 100,
    "forecast_tokens": 1_200,
    "period_s": 86_400.0,
    "period_left_s": 7_500.0,
    "tokens_per_s": 2.5,
    "concurrent_requests": 3,
    "concurrent_bound": 8,
    "warning": True,
    "exhausted": False,
}
CANNED = {
    "/v1/jobs": {"steps": [STEP]},
    "/v1/jobs/routes": {"steps": [STEP]},
    "/v1/status": STATUS,
    "/v1/traces/van-7": {"spans": SPANS},
    "/v1/endpoints": {"endpoints": [{"endpoint_id": "e1", "kind": "engine"}]},
    "/v1/teams/usage": {
        "teams": [USAGE],
        "unknown": [{"team": "kestrel", "code": "x", "reason": "its owner is away"}],
    },
}


@given("a command line with a daemon that returns canned responses")
def step_canned(context: Context) -> None:
    async def answer(request: Request) -> Response:
        return JSONResponse(CANNED[request.url.path])

    served = ServedApp(Starlette(routes=[Route("/{path:path}", answer)]))
    context.add_cleanup(served.close)
    context.address = served.address


@given("a command line without a daemon")
def step_no_daemon(context: Context) -> None:
    context.address = Address("127.0.0.1", 1)


def folder_of(context: Context) -> Path:
    if not hasattr(context, "cli_folder"):
        folder = tempfile.TemporaryDirectory()
        context.add_cleanup(folder.cleanup)
        context.cli_folder = Path(folder.name)
    return context.cli_folder


@given("a settings file {name} with {text}")
def step_file(context: Context, name: str, text: str) -> None:
    (folder_of(context) / name).write_text(text)


def run_cli(context: Context, command: str, environment: dict[str, str]) -> None:
    former = Path.cwd()
    os.chdir(folder_of(context))
    try:
        arguments = shlex.split(command)
        context.result = CliRunner().invoke(main, arguments, env=environment)
    finally:
        os.chdir(former)


@when("the command line runs {command}")
def step_run(context: Context, command: str) -> None:
    run_cli(context, command, {"GREENGAGETACK_TOKEN": "", "GREENGAGETACK_SERVER": ""})


@when("{sender:w} runs {command}")
def step_sender_runs(context: Context, sender: str, command: str) -> None:
    token = OPERATOR_TOKEN if sender == "operator" else team_token(sender)
    environment = {
        "GREENGAGETACK_TOKEN": token,
        "GREENGAGETACK_SERVER": f"http://{context.address}",
    }
    run_cli(context, command, environment)


@then('the command line exits with {code:d} and prints "{part}"')
def step_exits(context: Context, code: int, part: str) -> None:
    result = context.result
    shown = f"{result.exit_code}: {result.output} {result.exception!r}"
    assert result.exit_code == code, shown
    assert part in result.output, shown
    assert OPERATOR_TOKEN not in result.output
