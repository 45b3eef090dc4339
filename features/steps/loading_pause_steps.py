"""features.steps.loading_pause_steps: silence of replicas that load weights."""

from behave import given, then
from behave.runner import Context

from greengagetack.batches.loading_pause import LoadingPause


@given("{count:d} gaps of {gap_s:g} s between events were seen in loads")
def step_gaps(context: Context, count: int, gap_s: float) -> None:
    context.pause = LoadingPause()
    for _ in range(count):
        context.pause.record_gap(gap_s)


@then("a run is given up after {loading_s:g} s of silence in a load, else 1.5 s")
def step_timeout(context: Context, loading_s: float) -> None:
    assert context.pause.stall_timeout_s(True) == loading_s
    assert context.pause.stall_timeout_s(False) == 1.5
