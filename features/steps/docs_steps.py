"""features.steps.docs_steps: checks the documentation against the program."""

import re
import shlex
import subprocess
import sys
import time
import urllib.request
from dataclasses import dataclass
from pathlib import Path
from urllib.error import HTTPError

import click
from behave import given, then, when
from behave.runner import Context

from features.support.deployments import shared_deployment
from features.support.error_page import PAGE, render_page
from greengagetack.cli.main import main
from greengagetack.settings.parse import load_vm_settings, parse_fleet, parse_team

ROOT = Path(__file__).resolve().parents[2]
OPERATORS = ROOT / "docs" / "operators"
EXAMPLE_SERVER = "http://10.0.0.11:8080"
TEAM = "quetzal"
TIMEOUT_S = 30.0


@dataclass(frozen=True)
class Block:
    """One block of code in a page."""

    language: str
    text: str


def blocks_of(page: Path) -> list[Block]:
    found = re.findall(r"^```(\w+)\n(.*?)^```$", page.read_text(), re.M | re.S)
    return [Block(language, text) for language, text in found]


@then("the docs page of error codes matches the registry")
def step_codes(context: Context) -> None:
    hint = "run python -m features.support.error_page"
    assert PAGE.read_text() == render_page(), hint


@then("the docs page {page} holds {count:d} valid settings")
def step_settings(context: Context, page: str, count: int) -> None:
    blocks = [one for one in blocks_of(OPERATORS / page) if one.language == "jsonc"]
    assert len(blocks) == count, len(blocks)
    for block in blocks:
        _parse(context, block.text)


def _parse(context: Context, text: str) -> None:
    first_line = text.splitlines()[0].removeprefix("// ")
    if first_line == "/fleet":
        parse_fleet(text)
        return
    if first_line.startswith("/teams/"):
        parse_team(first_line.removeprefix("/teams/"), text)
        return
    path = ROOT / ".behave-vm.jsonc"
    context.add_cleanup(path.unlink)
    path.write_text(text)
    load_vm_settings(path)


@given("running daemons for the docs")
def step_daemons(context: Context) -> None:
    context.deployment = shared_deployment()


@when("the docs examples of API.md are run in order")
def step_examples(context: Context) -> None:
    deployment = context.deployment
    server = deployment.entries()[0]
    token = deployment.teams[TEAM].token
    context.failures = []
    context.examples = 0
    for block in blocks_of(ROOT / "docs" / "API.md"):
        text = block.text.replace(EXAMPLE_SERVER, server)
        if block.language == "sh":
            context.examples += 1
            context.failures += _run_curl(text.replace("$TOKEN", token))
        if block.language == "python":
            context.examples += 1
            context.failures += _run_python(text.replace('"TOKEN"', repr(token)))


def _run_curl(text: str) -> list[str]:
    """Send the request of a curl command; curl may not be installed."""
    words = shlex.split(text.replace("\\\n", " "))
    assert words.pop(0) == "curl", text
    method, url, headers, data = "GET", "", {}, None
    while words:
        word = words.pop(0)
        if word == "-X":
            method = words.pop(0)
        elif word == "-H":
            name, _, value = words.pop(0).partition(": ")
            headers[name] = value
        elif word == "-d":
            data = words.pop(0).encode()
        else:
            url = word
    request = urllib.request.Request(url, data, headers, method=method)
    try:
        body = _send(request)
    except HTTPError as error:
        return [f"{text}: {error.code} {error.read().decode()}"]
    is_stream = b'"stream": true' in (data or b"")
    if is_stream and not body.endswith("data: [DONE]\n\n"):
        return [f"{text}: the stream did not end: {body}"]
    return []


def _send(request: urllib.request.Request) -> str:
    """Send a request; retry after the time that the answer gives."""
    deadline_s = time.monotonic() + TIMEOUT_S
    while True:
        try:
            with urllib.request.urlopen(request, timeout=TIMEOUT_S) as answer:
                return str(answer.read().decode())
        except HTTPError as error:
            retry_after = error.headers.get("Retry-After")
            if retry_after is None or time.monotonic() > deadline_s:
                raise
            time.sleep(float(retry_after))


def _run_python(text: str) -> list[str]:
    done = subprocess.run(
        [sys.executable, "-c", text],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=TIMEOUT_S,
    )
    return [] if done.returncode == 0 else [f"{text}: {done.stderr}"]


@then("all docs examples succeed")
def step_succeed(context: Context) -> None:
    assert context.examples >= 10, context.examples
    assert not context.failures, "\n".join(context.failures)


@then("the docs page {page} names only commands that exist")
def step_commands(context: Context, page: str) -> None:
    text = (OPERATORS / page).read_text()
    lines = re.findall(r"^    \$ greengagetack (.*)$", text, re.M)
    assert lines, page
    for line in lines:
        _check_command(shlex.split(line, comments=True))


def _check_command(words: list[str]) -> None:
    """Parse a command line with click, without running it."""
    command: click.Command = main
    environment = click.Context(main, info_name="greengagetack")
    while isinstance(command, click.Group):
        name = words.pop(0)
        found = command.get_command(environment, name)
        assert found is not None, f"no command {name!r}"
        command = found
    if isinstance(command, click.Command):
        options = [*words]
        if any(parameter.name == "server" for parameter in command.params):
            options += ["--server", "http://x"]
        command.make_context("greengagetack", options, parent=environment)


@then("no module outside the adapter contains {word}")
def step_no_word(context: Context, word: str) -> None:
    package = ROOT / "greengagetack"
    found = [
        str(path.relative_to(ROOT))
        for path in sorted(package.rglob("*.py"))
        if "platform" not in path.relative_to(package).parts
        and word in path.read_text().lower()
    ]
    assert found == [], found
