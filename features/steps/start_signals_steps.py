"""features.steps.start_signals_steps: signals that arrive while a daemon starts."""

from functools import partial

from behave import given, then, when
from behave.runner import Context

from standins.platform_cluster import PlatformCluster, wait_for

LAUNCHER = "features.support.signalled_start"
# The module whose import marks a moment of the start.
MODULES = {
    "its first library is loaded": "click",
    "its settings are read": "greengagetack.platform.daemon",
    "the parts of the daemon are loaded": "greengagetack.scaling.assembly",
}
EDGE = "edge-1"
RELOADED = "SIGHUP received"


@given("a platform without daemons")
def step_platform(context: Context) -> None:
    context.cluster = PlatformCluster()
    context.add_cleanup(context.cluster.close)


@when("a daemon starts and gets {signal} as {moment}")
def step_start(context: Context, signal: str, moment: str) -> None:
    context.cluster.launcher = (LAUNCHER, signal, MODULES[moment])
    context.kinds_before = {kind for kind, _ in context.cluster.store.objects}
    context.process = context.cluster.start_edge(EDGE)


@then("the daemon becomes ready, and has carried out the reload")
def step_ready(context: Context) -> None:
    cluster = context.cluster
    wait_for("the daemon is ready", partial(cluster.is_ready, EDGE))
    assert cluster.has_logged(EDGE, RELOADED)


@then("the daemon exits with code 0 within {limit:d} s")
def step_exits(context: Context, limit: int) -> None:
    code = context.process.wait(limit)
    assert code == 0, (code, context.process.stderr_tail())


@then("it has written nothing to the store")
def step_nothing_written(context: Context) -> None:
    kinds = {kind for kind, _ in context.cluster.store.objects}
    assert kinds == context.kinds_before, kinds
