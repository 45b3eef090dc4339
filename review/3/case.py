"""review.3.case: a daemon freezes while a replica is taken away."""

import time
from pathlib import Path

from review.support.clients import SteadyClient
from review.support.cluster import (
    DRAIN_S,
    STABLE_WINDOW_S,
    DaemonSpec,
    ReviewCluster,
    is_trouble_on,
)
from review.support.main import run_case
from standins.platform_cluster import (
    BOOKING_PREFIX,
    ENGINE_SERVICE,
    LOOKUP_PREFIX,
    PLAIN_SERVICE,
)

RECORD = Path(__file__).with_name("record.txt")
DAEMONS = (
    DaemonSpec("edge-a-1", "moor-a"),
    DaemonSpec("edge-b-1", "moor-b"),
    DaemonSpec("edge-c-1", "moor-c"),
)
WORK_S = 0.0375
DEADLINE_MS = 800
REQUESTS_PER_S = 5.0
# The site files freeze a store machine of this deployment for 3.2 s, and a machine that
# carries traffic of another one for 4.0 s.
FREEZE_S = 3.2
# The replica's entry is removed this long after the freeze begins.
REMOVAL_DELAY_S = 0.2
# The replica serves on for the drain period and this much longer, then exits.
LINGER_S = 1.5
# A request on its way may arrive this much after it was sent.
LINK_MARGIN_S = 0.02


def run(cluster: ReviewCluster) -> int:
    """Return the number of requests that arrived too late."""
    for zone in sorted(cluster.zones()):
        name = f"fieldbook-{zone}"
        cluster.entry_fields[name] = {"zone": zone}
        cluster.add_replica(name, PLAIN_SERVICE, slots=6, event_s=WORK_S)
        name = f"summariser-{zone}"
        cluster.entry_fields[name] = {"zone": zone}
        cluster.add_replica(name, ENGINE_SERVICE, slots=16)
    cluster.start_all()
    holder = cluster.dispatcher()
    others = [daemon.name for daemon in DAEMONS if daemon.name != holder]
    cluster.note(f"the daemon that runs the jobs is {holder}")
    clients = [
        SteadyClient(cluster, daemon, prefix, REQUESTS_PER_S, DEADLINE_MS)
        for daemon in others
        for prefix in (LOOKUP_PREFIX, BOOKING_PREFIX)
    ]
    for client in clients:
        client.start()
    # All machines are in touch when the disruption begins.
    time.sleep(STABLE_WINDOW_S + 1.5)
    victim = f"fieldbook-{cluster.zone_of(others[0])}"
    if is_trouble_on():
        cluster.edges[holder].pause()
        cluster.note(f"{holder} is frozen")
    frozen_s = time.monotonic()
    time.sleep(REMOVAL_DELAY_S)
    cluster.run_on_loop(lambda: cluster.store.remove("servers", victim))
    removed_s = time.monotonic()
    cluster.note(f"the store has removed the entry of {victim}")
    # The replica is replaced by another one.
    successor = f"{victim}-new"
    cluster.entry_fields[successor] = cluster.entry_fields[victim]
    cluster.add_replica(successor, PLAIN_SERVICE, slots=6, event_s=WORK_S)
    cluster.note(f"{successor} has registered")
    time.sleep(max(0.0, frozen_s + FREEZE_S - time.monotonic()))
    if is_trouble_on():
        cluster.edges[holder].resume()
        cluster.note(f"{holder} runs again")
    time.sleep(max(0.0, removed_s + DRAIN_S + LINGER_S - time.monotonic()))
    cluster.stop_replica(victim)
    cluster.note(f"{victim} exits")
    time.sleep(0.5)
    for client in clients:
        client.stop()
    return _judge(cluster, clients, victim, removed_s)


def _judge(
    cluster: ReviewCluster,
    clients: list[SteadyClient],
    victim: str,
    removed_s: float,
) -> int:
    sent = {one.request_id: one for client in clients for one in client.sent}
    for one in sent.values():
        cluster.note_at(
            one.sent_s,
            f"sent {one.request_id} to {one.daemon}: {one.status} {one.reason}",
        )
    late = 0
    for request_id, arrived_s in cluster.replicas[victim].arrived_s:
        after_s = arrived_s - removed_s
        cluster.note_at(arrived_s, f"{victim} runs {request_id}, {after_s:+.3f} s")
        if request_id in sent and after_s > DRAIN_S + LINK_MARGIN_S:
            late += 1
    cluster.note(f"requests that reached {victim} after the drain period: {late}")
    statuses = [one.status for one in sent.values()]
    cluster.note(f"answers: { {code: statuses.count(code) for code in set(statuses)} }")
    return late


if __name__ == "__main__":
    run_case(DAEMONS, run, RECORD)
