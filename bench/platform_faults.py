"""bench.platform_faults: faults that the soak injects from outside the daemons."""

import random
import signal
import subprocess
import threading
import time
from collections.abc import Callable

from bench.platform_audit import PlatformAudit
from standins.platform_cluster import PlatformCluster
from standins.replica import Replica

__all__ = ["FAULTS", "FaultPlan", "PlatformFault"]

FAULT_GAP_S = (0.2, 2.5)
FAULT_DURATION_S = (0.5, 3.5)
# Longer than the daemons' grace period.
STOP_LIMIT_S = 20.0


class FaultPlan:
    """Starts faults in a seeded order; they overlap, and all are undone at the end."""

    def __init__(
        self, cluster: PlatformCluster, audit: PlatformAudit, seed: int
    ) -> None:
        self.cluster = cluster
        self.audit = audit
        self.rng = random.Random(seed)
        # Each daemon gets one signal at a time.
        self.locks = {name: threading.Lock() for name in cluster.edges}
        self._threads: list[threading.Thread] = []
        self._version = 1

    def run(self, duration_s: float, log: Callable[[str], None]) -> None:
        """Start faults until `duration_s` has passed, then wait until they end."""
        until_s = time.monotonic() + duration_s
        while time.monotonic() < until_s:
            name = self.rng.choice(sorted(FAULTS))
            fault_s = self.rng.uniform(*FAULT_DURATION_S)
            log(f"{name} for {fault_s:.1f} s")
            self.audit.counts["faults"] += 1
            # Chosen here, so that the order of threads does not affect the sequence.
            edge = self.rng.choice(sorted(self.cluster.edges))
            replica = self.rng.choice(sorted(self.cluster.replicas))
            fault = PlatformFault(self, edge, self.cluster.replicas[replica], fault_s)
            thread = threading.Thread(target=FAULTS[name], args=(fault,), name=name)
            thread.start()
            self._threads.append(thread)
            time.sleep(self.rng.uniform(*FAULT_GAP_S))
        for thread in self._threads:
            thread.join()

    def next_version(self) -> int:
        """Return the number of the operator's next configuration."""
        self._version += 1
        return self._version


class PlatformFault:
    """One fault: the daemon and the replica that it may affect, and its duration."""

    def __init__(
        self, plan: FaultPlan, edge: str, replica: Replica, duration_s: float
    ) -> None:
        self.plan = plan
        self.cluster = plan.cluster
        self.edge = edge
        self.replica = replica
        self.duration_s = duration_s

    def wait_until_end(self) -> None:
        """Wait until the fault ends."""
        time.sleep(self.duration_s)

    def restart(self, edge: str) -> None:
        """Kill a daemon and start it again."""
        with self.plan.locks[edge]:
            self.cluster.edges[edge].kill()
            self.cluster.start_edge(edge)


FAULTS: dict[str, Callable[[PlatformFault], None]] = {}


def _fault(
    name: str,
) -> Callable[[Callable[[PlatformFault], None]], Callable[[PlatformFault], None]]:
    def register(
        inject: Callable[[PlatformFault], None],
    ) -> Callable[[PlatformFault], None]:
        FAULTS[name] = inject
        return inject

    return register


@_fault("a daemon is killed")
def kill_daemon(fault: PlatformFault) -> None:
    """Kill a daemon and start it again."""
    fault.restart(fault.edge)


@_fault("the dispatcher is killed")
def kill_dispatcher(fault: PlatformFault) -> None:
    """Kill the daemon that runs the jobs and start it again."""
    fault.restart(fault.cluster.dispatcher() or fault.edge)


@_fault("all daemons are killed")
def kill_all_daemons(fault: PlatformFault) -> None:
    """Kill and restart all daemons one right after the other."""
    for edge in sorted(fault.cluster.edges):
        fault.restart(edge)


@_fault("a daemon is paused")
def pause_daemon(fault: PlatformFault) -> None:
    """Suspend a daemon's process for a while, unnoticed by the daemon."""
    _suspend(fault, fault.edge)


@_fault("the dispatcher is paused")
def pause_dispatcher(fault: PlatformFault) -> None:
    """Suspend the daemon that runs the jobs for a while."""
    _suspend(fault, fault.cluster.dispatcher() or fault.edge)


def _suspend(fault: PlatformFault, edge: str) -> None:
    with fault.plan.locks[edge]:
        process = fault.cluster.edges[edge]
        process.pause()
        fault.wait_until_end()
        fault.plan.audit.record_resumed(edge, time.monotonic())
        process.resume()


@_fault("a daemon is asked to stop")
def stop_daemon(fault: PlatformFault) -> None:
    """Ask a daemon to stop, and start it again."""
    with fault.plan.locks[fault.edge]:
        try:
            code = fault.cluster.edges[fault.edge].terminate(STOP_LIMIT_S)
        except subprocess.TimeoutExpired:
            fault.plan.audit.add_breach(
                f"{fault.edge} did not stop in {STOP_LIMIT_S:g} s"
            )
            fault.cluster.edges[fault.edge].kill()
            code = 0
        # A daemon serves nothing until its signal handlers are set, and SIGTERM
        # kills it until then.
        has_started = fault.cluster.has_logged(fault.edge, "daemon: started")
        if code != 0 and (has_started or code != -signal.SIGTERM):
            fault.plan.audit.add_breach(
                f"{fault.edge} exited with {code} when asked to stop"
            )
        fault.cluster.start_edge(fault.edge)


def _register_store_mode(mode: str) -> None:
    @_fault(f"the store is {mode}")
    def inject(fault: PlatformFault) -> None:
        fault.cluster.run_on_loop(
            lambda: setattr(fault.cluster.store.fault, "mode", mode)
        )
        fault.wait_until_end()
        fault.cluster.run_on_loop(
            lambda: setattr(fault.cluster.store.fault, "mode", "up")
        )


for _mode in ("silent", "busy", "many"):
    _register_store_mode(_mode)


@_fault("the store loses answers")
def lose_answers(fault: PlatformFault) -> None:
    """Let the next writes take effect without an answer."""
    fault.cluster.store.fault.lose_answers += 3


@_fault("the store writes late")
def late_writes(fault: PlatformFault) -> None:
    """Let the next writes take effect later, without an answer."""
    fault.cluster.store.fault.late_writes += 3


@_fault("the store forgets its history")
def forget_history(fault: PlatformFault) -> None:
    """Suppress watch events for a while, then drop the history."""
    fault.cluster.store.fault.suppress_events = True
    fault.wait_until_end()
    fault.cluster.store.fault.suppress_events = False
    fault.cluster.run_on_loop(fault.cluster.store.forget_history)


@_fault("a daemon's way to the store is cut")
def cut_store_connections(fault: PlatformFault) -> None:
    """Reset a daemon's connections to the store and refuse new ones."""
    relay = fault.cluster.relays[fault.edge]
    relay.refuse = True
    fault.cluster.run_on_loop(relay.cut)
    fault.wait_until_end()
    relay.refuse = False


@_fault("a daemon's connections to the store go silent")
def freeze_store_connections(fault: PlatformFault) -> None:
    """Drop all bytes of the open connections; new ones work."""
    fault.cluster.run_on_loop(fault.cluster.relays[fault.edge].freeze)


@_fault("a daemon's way to the store is slow")
def delay_store_connections(fault: PlatformFault) -> None:
    """Delay each byte between a daemon and the store."""
    relay = fault.cluster.relays[fault.edge]
    relay.latency_s = 0.2
    fault.wait_until_end()
    relay.latency_s = 0.0


@_fault("a replica is slow")
def slow_replica_down(fault: PlatformFault) -> None:
    """Make a replica take longer for each event."""
    fault.replica.fault.slowdown_factor = 8.0
    fault.wait_until_end()
    fault.replica.fault.slowdown_factor = 1.0


@_fault("a replica is silent")
def silence_replica(fault: PlatformFault) -> None:
    """Let a replica accept requests and never answer."""
    fault.replica.fault.silent = True
    fault.wait_until_end()
    fault.replica.fault.silent = False


@_fault("a replica breaks streams off")
def break_streams(fault: PlatformFault) -> None:
    """Break each stream off within its third event."""
    fault.replica.fault.break_after = 2
    fault.wait_until_end()
    fault.replica.fault.break_after = 0


@_fault("a replica gives another's answers")
def misattribute_answers(fault: PlatformFault) -> None:
    """Answer the next requests under another request's identifier."""
    fault.replica.fault.foreign_answers += 2


@_fault("a replica takes orders late")
def late_orders(fault: PlatformFault) -> None:
    """Leave the next order without an answer and carry it out later."""
    fault.replica.fault.late_orders += 1


@_fault("a replica drains")
def drain_replica(fault: PlatformFault) -> None:
    """List a replica as draining for a while."""
    fault.cluster.list_replica(fault.replica.replica_id, "draining")
    fault.wait_until_end()
    fault.cluster.list_replica(fault.replica.replica_id)


@_fault("the configuration changes")
def reconfigure(fault: PlatformFault) -> None:
    """Write a configuration with an additional route."""
    version = fault.plan.next_version()
    fault.cluster.configure(version, (f"/added-{version}/",))
