"""features.steps.software_versions_steps: replicas of several software versions."""

from behave import given, then, when
from behave.runner import Context

from greengagetack.batches.checkpoint import select_snapshots
from greengagetack.batches.events import Event
from greengagetack.batches.job import Item, Job
from greengagetack.batches.progress import ItemProgress
from standins.platform_cluster import PlatformCluster

UNLIMITED_BYTES = 1_000_000
# Enough events to be worth a checkpoint.
EVENTS_PER_STEP = 12


@given("replicas {names} run software {software}")
@when("replicas {names} run software {software}")
def step_software(context: Context, names: str, software: str) -> None:
    cluster = context.cluster
    for name in names.split(","):
        cluster.replicas[name].software = software
        cluster.list_replica(name)


def _mixed(cluster: PlatformCluster) -> list[str]:
    """Return the requests that one version continued after another had begun them."""
    arrivals: list[tuple[float, str, str, str]] = []
    for replica in cluster.replicas.values():
        for (request_id, after, _), (_, at_s) in zip(
            replica.arrivals, replica.arrived_s, strict=True
        ):
            arrivals.append((at_s, request_id, after, replica.software))
    software_of: dict[str, str] = {}
    mixed = []
    for _, request_id, after, software in sorted(arrivals):
        if after and software_of.get(request_id) != software:
            mixed.append(f"{request_id} after {after} at {software}")
        software_of[request_id] = software
    return mixed


@then("no item was continued by another software version")
def step_not_mixed(context: Context) -> None:
    mixed = _mixed(context.cluster)
    assert not mixed, mixed


@given("an item with {events:d} events written by software {software}")
def step_item(context: Context, events: int, software: str) -> None:
    item = Item("i", "/", (), b"", 1_000, "g")
    context.progress = ItemProgress(item)
    context.progress.software = software
    for number in range(1, events * EVENTS_PER_STEP + 1):
        context.progress.append_event(Event(str(number), "x", ()), 1)


@when("its progress is {transfer}")
def step_transfer(context: Context, transfer: str) -> None:
    if transfer == "discarded":
        context.progress.restart()
    elif transfer == "sent to a daemon":
        snapshots = select_snapshots([context.progress], UNLIMITED_BYTES)
        job = Job("j", "r", "h", "s", 0, 0.0, 0.0, 3, 1, 1)
        context.progress = ItemProgress(context.progress.item)
        context.progress.continue_from(snapshots[0], job)
    else:
        assert transfer == "kept", transfer


@then("replicas of software {software} may continue it: {expected}")
def step_may_continue(context: Context, software: str, expected: str) -> None:
    assert context.progress.may_continue_at(software) == (expected == "yes")
