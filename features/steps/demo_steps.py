"""features.steps.demo_steps: the demonstration of a whole deployment."""

import json
import subprocess
import sys

from behave import then, when
from behave.runner import Context

from standins.processes import ROOT

TIMEOUT_S = 180.0


@when("the demonstration is run")
def step_run(context: Context) -> None:
    context.demo = subprocess.run(
        [sys.executable, "-m", "bench.demo"],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=TIMEOUT_S,
    )


@then("it ends with code 0, and all of its promises hold")
def step_promises(context: Context) -> None:
    assert context.demo.returncode == 0, context.demo.stdout
    assert json.loads(context.demo.stdout.splitlines()[-1])["ok"]


@then("its standard error is empty")
def step_no_errors(context: Context) -> None:
    assert not context.demo.stderr, context.demo.stderr
