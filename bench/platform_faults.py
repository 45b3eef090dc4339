"""bench.platform_faults: faults that the soak injects from outside the daemons."""

import random
import signal
import subprocess
import threading
import time
from collections.abc import Callable

from bench.platform_audit import PlatformAudit
from standins.platform_world import PlatformWorld
from standins.replica import Replica

__all__ = ["FAULTS", "FaultPlan", "PlatformFault"]

GAP_S = (0.2, 2.5)
LENGTH_S = (0.5, 3.5)
# Longer than the daemons' grace period.
STOP_LIMIT_S = 20.0


class FaultPlan:
    """Starts faults in a seeded order; they overlap, and all are undone at the end."""

    def __init__(self, world: PlatformWorld, audit: PlatformAudit, seed: int) -> None:
        self.world = world
        self.audit = audit
        self.rng = random.Random(seed)
        # One signal at a time to each daemon.
        self.locks = {name: threading.Lock() for name in world.edges}
        self._threads: list[threading.Thread] = []
        self._version = 1

    def run(self, duration_s: float, say: Callable[[str], None]) -> None:
        """Start faults until `duration_s` has passed, then wait for their ends."""
        until_s = time.monotonic() + duration_s
        while time.monotonic() < until_s:
            name = self.rng.choice(sorted(FAULTS))
            length_s = self.rng.uniform(*LENGTH_S)
            say(f"{name} for {length_s:.1f} s")
            self.audit.counts["faults"] += 1
            # Drawn here, so that the order of threads changes nothing.
            edge = self.rng.choice(sorted(self.world.edges))
            replica = self.rng.choice(sorted(self.world.replicas))
            fault = PlatformFault(self, edge, self.world.replicas[replica], length_s)
            thread = threading.Thread(target=FAULTS[name], args=(fault,), name=name)
            thread.start()
            self._threads.append(thread)
            time.sleep(self.rng.uniform(*GAP_S))
        for thread in self._threads:
            thread.join()

    def next_version(self) -> int:
        """Return the number of the operator's next configuration."""
        self._version += 1
        return self._version


class PlatformFault:
    """One fault: the daemon and the replica that it may strike, and its length."""

    def __init__(
        self, plan: FaultPlan, edge: str, replica: Replica, length_s: float
    ) -> None:
        self.plan = plan
        self.world = plan.world
        self.edge = edge
        self.replica = replica
        self.length_s = length_s

    def last(self) -> None:
        """Wait until the fault ends."""
        time.sleep(self.length_s)

    def restart(self, edge: str) -> None:
        """Kill a daemon and start it again."""
        with self.plan.locks[edge]:
            self.world.edges[edge].kill()
            self.world.start_edge(edge)


FAULTS: dict[str, Callable[[PlatformFault], None]] = {}


def _fault(
    name: str,
) -> Callable[[Callable[[PlatformFault], None]], Callable[[PlatformFault], None]]:
    def register(
        act: Callable[[PlatformFault], None],
    ) -> Callable[[PlatformFault], None]:
        FAULTS[name] = act
        return act

    return register


@_fault("a daemon is killed")
def kill(fault: PlatformFault) -> None:
    """Kill a daemon and start it again."""
    fault.restart(fault.edge)


@_fault("the dispatcher is killed")
def kill_dispatcher(fault: PlatformFault) -> None:
    """Kill the daemon that runs the jobs and start it again."""
    fault.restart(fault.world.dispatcher() or fault.edge)


@_fault("all daemons are killed")
def kill_all(fault: PlatformFault) -> None:
    """Kill all daemons right after each other."""
    for edge in sorted(fault.world.edges):
        fault.restart(edge)


@_fault("a daemon is paused")
def pause(fault: PlatformFault) -> None:
    """Stop a daemon for a while, which does not notice it."""
    _pause(fault, fault.edge)


@_fault("the dispatcher is paused")
def pause_dispatcher(fault: PlatformFault) -> None:
    """Stop the daemon that runs the jobs for a while."""
    _pause(fault, fault.world.dispatcher() or fault.edge)


def _pause(fault: PlatformFault, edge: str) -> None:
    with fault.plan.locks[edge]:
        process = fault.world.edges[edge]
        process.pause()
        fault.last()
        fault.plan.audit.note_resumed(edge, time.monotonic())
        process.resume()


@_fault("a daemon is asked to stop")
def stop(fault: PlatformFault) -> None:
    """Ask a daemon to stop, and start it again."""
    with fault.plan.locks[fault.edge]:
        try:
            code = fault.world.edges[fault.edge].terminate(STOP_LIMIT_S)
        except subprocess.TimeoutExpired:
            fault.plan.audit.breach(f"{fault.edge} did not stop in {STOP_LIMIT_S:g} s")
            fault.world.edges[fault.edge].kill()
            code = 0
        # Before its handlers are set nothing is served, and the signal ends it.
        has_started = fault.world.has_logged(fault.edge, "daemon: started")
        if code != 0 and (has_started or code != -signal.SIGTERM):
            fault.plan.audit.breach(f"{fault.edge} ended with {code}, asked to stop")
        fault.world.start_edge(fault.edge)


def _register_store_mode(mode: str) -> None:
    @_fault(f"the store is {mode}")
    def act(fault: PlatformFault) -> None:
        fault.world.on_loop(lambda: setattr(fault.world.store.fault, "mode", mode))
        fault.last()
        fault.world.on_loop(lambda: setattr(fault.world.store.fault, "mode", "up"))


for _mode in ("silent", "busy", "many"):
    _register_store_mode(_mode)


@_fault("the store loses answers")
def lose_answers(fault: PlatformFault) -> None:
    """Let the next writes take effect without an answer."""
    fault.world.store.fault.lose_answers += 3


@_fault("the store writes late")
def late_writes(fault: PlatformFault) -> None:
    """Let the next writes take effect later, without an answer."""
    fault.world.store.fault.late_writes += 3


@_fault("the store forgets its history")
def forget_history(fault: PlatformFault) -> None:
    """Let watches hear nothing for a while, then drop the history."""
    fault.world.store.fault.hear_nothing = True
    fault.last()
    fault.world.store.fault.hear_nothing = False
    fault.world.on_loop(fault.world.store.forget_history)


@_fault("a daemon's way to the store is cut")
def cut(fault: PlatformFault) -> None:
    """Reset a daemon's connections to the store and refuse new ones."""
    relay = fault.world.relays[fault.edge]
    relay.refuse = True
    fault.world.on_loop(relay.cut)
    fault.last()
    relay.refuse = False


@_fault("a daemon's connections to the store go silent")
def freeze(fault: PlatformFault) -> None:
    """Drop all bytes of the open connections; new ones work."""
    fault.world.on_loop(fault.world.relays[fault.edge].freeze)


@_fault("a daemon's way to the store is slow")
def delay(fault: PlatformFault) -> None:
    """Delay each byte between a daemon and the store."""
    relay = fault.world.relays[fault.edge]
    relay.latency_s = 0.2
    fault.last()
    relay.latency_s = 0.0


@_fault("a replica is slow")
def slow(fault: PlatformFault) -> None:
    """Make a replica take longer for each event."""
    fault.replica.fault.slow_x = 8.0
    fault.last()
    fault.replica.fault.slow_x = 1.0


@_fault("a replica is silent")
def silent(fault: PlatformFault) -> None:
    """Let a replica take requests and say nothing more."""
    fault.replica.fault.silent = True
    fault.last()
    fault.replica.fault.silent = False


@_fault("a replica breaks streams off")
def break_off(fault: PlatformFault) -> None:
    """Break each stream off within its third event."""
    fault.replica.fault.break_after = 2
    fault.last()
    fault.replica.fault.break_after = 0


@_fault("a replica gives another's answers")
def foreign(fault: PlatformFault) -> None:
    """Answer the next requests under another request's identifier."""
    fault.replica.fault.foreign_answers += 2


@_fault("a replica takes orders late")
def late_orders(fault: PlatformFault) -> None:
    """Leave the next order without an answer and carry it out later."""
    fault.replica.fault.ignore_orders += 1


@_fault("a replica drains")
def drain(fault: PlatformFault) -> None:
    """List a replica as draining for a while."""
    fault.world.list_replica(fault.replica.replica_id, "draining")
    fault.last()
    fault.world.list_replica(fault.replica.replica_id)


@_fault("the configuration changes")
def reconfigure(fault: PlatformFault) -> None:
    """Write a configuration with one route more."""
    version = fault.plan.next_version()
    fault.world.configure(version, (f"/added-{version}/",))
