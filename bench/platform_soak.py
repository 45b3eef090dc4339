"""bench.platform_soak: runs load and seeded faults, then an audit."""

import json
import sys
import threading
import time
from collections.abc import Callable
from functools import partial
from typing import Any

import click

from bench.platform_audit import PlatformAudit
from bench.platform_faults import FaultPlan
from bench.platform_load import CallerLoad, TrainerLoad
from standins.platform_cluster import (
    ORDER_SPACING_S,
    PLAIN_SERVICE,
    PlatformCluster,
    wait_for,
)

__all__ = ["main", "run_soak"]

DEFAULT_DURATION_S = 60.0
DAEMONS = 4
ENGINES = 3
PLAIN_REPLICAS = 2
TRAINERS = 1
CALLERS = 4
EVENTS = 5
EVENT_S = 0.05
MAX_BREACHES_SHOWN = 40


def run_soak(
    seed: int, duration_s: float, log: Callable[[str], None] = lambda text: None
) -> tuple[PlatformAudit, PlatformCluster]:
    """Run load and faults; return the audit and the cluster, which stays open."""
    cluster = PlatformCluster()
    audit = PlatformAudit(EVENTS)
    for number in range(1, ENGINES + 1):
        cluster.add_replica(f"engine-{number}", events=EVENTS, event_s=EVENT_S)
    for number in range(1, PLAIN_REPLICAS + 1):
        cluster.add_replica(f"plain-{number}", PLAIN_SERVICE)
    for number in range(1, DAEMONS + 1):
        cluster.add_relay(f"edge-{number}")
    cluster.start_edges(DAEMONS)
    wait_for("a daemon runs the jobs", lambda: cluster.dispatcher() != "")
    stop = threading.Event()
    trainers = [TrainerLoad(cluster, audit, 100 * seed + n) for n in range(TRAINERS)]
    callers = [CallerLoad(cluster, audit, 100 * seed + n) for n in range(CALLERS)]
    threads = [
        threading.Thread(target=load.run, args=(stop,)) for load in trainers + callers
    ]
    for thread in threads:
        thread.start()
    FaultPlan(cluster, audit, seed).run(duration_s, log)
    stop.set()
    for thread in threads:
        thread.join()
    _check_recovery(cluster, audit, trainers[0])
    audit.check_runs_and_orders(cluster.replicas.values(), ORDER_SPACING_S)
    return audit, cluster


def _check_recovery(
    cluster: PlatformCluster, audit: PlatformAudit, trainer: TrainerLoad
) -> None:
    """Run one more step without faults, and read all jobs once more."""
    for name in cluster.edges:
        wait_for(f"{name} is ready", partial(cluster.is_ready, name))
    steps = audit.counts["steps"]
    trainer.run_step(steps, threading.Event())
    for submission in audit.accepted_submissions():
        trainer.reread_job(submission)


@click.command()
@click.option(
    "--seed", default=None, type=int, help="Taken from the clock if left out."
)
@click.option("--duration-s", default=DEFAULT_DURATION_S, show_default=True)
@click.option("--quiet", is_flag=True, help="Print no line for each fault.")
@click.option("--logs", default="", help="Folder for the logs of a failed run.")
def main(seed: int | None, duration_s: float, quiet: bool, logs: str) -> None:
    """Soak the daemons of the platform; exit code 1 if a guarantee was violated."""
    seed = int(time.time()) % 1_000_000 if seed is None else seed
    started_s = time.monotonic()

    def log(text: str) -> None:
        if not quiet:
            click.echo(f"{time.monotonic() - started_s:7.2f} s  {text}")

    audit, cluster = run_soak(seed, duration_s, log)
    if audit.breaches and logs:
        for name in cluster.edges:
            cluster.save_logs(name, logs)
    cluster.close()
    report: dict[str, Any] = {
        "seed": seed,
        "duration_s": duration_s,
        "counts": dict(sorted(audit.counts.items())),
        "breaches": audit.breaches[:MAX_BREACHES_SHOWN],
    }
    click.echo(json.dumps(report))
    sys.exit(1 if audit.breaches else 0)


if __name__ == "__main__":
    main()
