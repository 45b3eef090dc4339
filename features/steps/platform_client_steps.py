"""features.steps.platform_client_steps: the object API under faults."""

import asyncio

from behave import given, then, when
from behave.runner import Context

from features.support.platform_server import HttpPlatform
from greengagetack.errors import CodedError
from greengagetack.objects.client import PlatformClient
from greengagetack.world import VmState

PATH = "cells/a/lead"
TIMEOUT_S = 0.3


@given("an HTTP platform that holds the object at version {version:d}")
def step_platform(context: Context, version: int) -> None:
    loop = asyncio.new_event_loop()
    context.loop = loop
    context.platform = HttpPlatform()
    if version:
        context.platform.objects[PATH] = {
            "path": PATH,
            "version": version,
            "change_id": "first",
            "value": "first",
        }
    loop.run_until_complete(context.platform.start())
    context.client = PlatformClient(context.platform.url, timeout_s=TIMEOUT_S)

    def clean_up() -> None:
        loop.run_until_complete(context.client.close())
        loop.run_until_complete(context.platform.close())
        loop.close()

    context.add_cleanup(clean_up)


@when('the platform client writes from version {version:d} with the faults "{faults}"')
def step_write(context: Context, version: int, faults: str) -> None:
    context.platform.faults = faults.split(",")

    async def write() -> str:
        try:
            new_version = await context.client.write(PATH, "mine", version)
        except CodedError as error:
            return error.code
        return f"version {new_version}"

    context.outcome = context.loop.run_until_complete(write())


@then("the platform write ends with {outcome}")
def step_outcome(context: Context, outcome: str) -> None:
    assert context.outcome == outcome, context.outcome


@then("the platform received {puts:d} writes")
def step_puts(context: Context, puts: int) -> None:
    assert context.platform.puts == puts, context.platform.puts


@when('the platform client reads with the fault "{fault}"')
def step_read(context: Context, fault: str) -> None:
    context.platform.faults = [fault]
    context.error = None
    try:
        context.loop.run_until_complete(context.client.read(PATH))
    except CodedError as error:
        context.error = error


@then("the platform read fails with a retry delay of {retry_after_s:d} s")
def step_read_fails(context: Context, retry_after_s: int) -> None:
    assert context.error is not None
    assert context.error.code == "platform_unavailable"
    assert context.error.retry_after_s == retry_after_s


@when("the platform client reads everything")
def step_read_all(context: Context) -> None:
    async def read_all() -> None:
        context.read = await context.client.read(PATH)
        context.missing = await context.client.read("no/such/object")
        context.listed = await context.client.list("cells/")
        context.watched = await context.client.watch("cells/", 0, 0.1)
        context.vms = await context.client.vms()

    context.loop.run_until_complete(read_all())


@then(
    "the platform client saw the object at version {version:d} everywhere "
    "and a leaving VM"
)
def step_all_reads(context: Context, version: int) -> None:
    assert context.read.version == version
    assert context.missing is None
    assert [o.version for o in context.listed.objects] == [version]
    assert [o.version for o in context.watched.objects] == [version]
    assert [vm.state for vm in context.vms] == [VmState.LEAVING]
