"""features.support.fleet_play: runs of a fleet of copies in virtual time.

The steps of a scenario collect a plan, which the first check runs as a whole.
"""

import asyncio
from collections import Counter
from dataclasses import dataclass, field

from behave.runner import Context

from features.support.copy_fleet import CopyFleet, FleetDaemon
from features.support.virtual_time import run_in_virtual_time

__all__ = [
    "HORIZON_S",
    "NEW_VERSION",
    "OLD_VERSION",
    "STALE_VERSION",
    "START_SPREAD_S",
    "Play",
    "fail",
    "now_s",
    "play_of",
    "victims_of",
]

START_SPREAD_S = 0.3
HORIZON_S = 5.0
OBSERVATION_S = 0.02
STALE_VERSION, OLD_VERSION, NEW_VERSION = 1, 2, 4


def now_s() -> float:
    """Return the time of the running loop."""
    return asyncio.get_running_loop().time()


@dataclass
class Play:
    """What is known of a run of a fleet; times are those of its loop."""

    fleet: CopyFleet
    # The time from which the limits of the scenario count.
    began_s: float = 0.0
    former: str = ""
    subject: str = ""
    newest: int = OLD_VERSION
    # The claim's holder and the daemons that know it, by the time of the observation.
    claims: list[tuple[float, str, set[str]]] = field(default_factory=list)

    def mark(self) -> None:
        """Let the limits of the scenario count from now."""
        self.began_s = now_s()
        self.newest = self.fleet.newest_version()

    async def start_all(self) -> None:
        """Start all daemons."""
        self.mark()
        self.fleet.start_all()
        await asyncio.sleep(START_SPREAD_S)

    async def watch_fleet(self) -> None:
        """Let the fleet run on and record the claim."""
        while now_s() < self.began_s + HORIZON_S:
            holder = self.fleet.dispatcher()
            knowing = {
                node
                for node, daemon in self.fleet.daemons.items()
                if daemon.claim.holder is not None
                and daemon.claim.holder.node == holder
            }
            self.claims.append((now_s(), holder, knowing))
            await asyncio.sleep(OBSERVATION_S)

    def running(self) -> dict[str, FleetDaemon]:
        """Return the daemons that run and reach others."""
        network = self.fleet.network
        unreached = network.cut | network.frozen | network.deaf
        daemons = self.fleet.daemons.items()
        return {node: daemon for node, daemon in daemons if node not in unreached}

    def late(self, limit_s: float) -> list[str]:
        """Return the daemons that did not have the newest configuration in time."""
        until_s = self.began_s + limit_s
        return [
            node
            for node, daemon in self.running().items()
            if daemon.applied_before(until_s) != self.newest
        ]

    def calls(self, until_s: float) -> Counter[tuple[str, str]]:
        """Return the calls to the store by method and kind."""
        first_s, last_s = self.began_s, self.began_s + until_s
        made = self.fleet.network.store_calls
        return Counter(call for at_s, call in made if first_s <= at_s <= last_s)


def play_of(context: Context) -> Play:
    """Run all collected steps and then the fleet for a while, once a scenario."""
    if context.play is not None:
        return context.play

    async def run() -> Play:
        fleet = CopyFleet(context.sizes, context.seeds)
        play = Play(fleet)
        await fleet.configure(STALE_VERSION)
        await fleet.configure(OLD_VERSION)
        for step in context.plan:
            await step(play)
        await play.watch_fleet()
        return play

    context.play = run_in_virtual_time(run())
    return context.play


def victims_of(fleet: CopyFleet, text: str) -> list[str]:
    """Return the daemons that a failure is about."""
    relays = fleet.relays()
    found: list[str] = []
    if "dispatcher" in text:
        found.append(fleet.dispatcher())
    if "relays and dispatcher" in text:
        found += [fleet.dispatcher(), *relays["b"]]
    if "both relays" in text:
        found += relays["b"]
    elif "a relay" in text:
        found.append(relays["b"][0])
    if "all relays" in text:
        found += [node for pair in relays.values() for node in pair]
    if "half of the daemons" in text:
        found += sorted(fleet.daemons)[::2]
    if "all daemons" in text:
        found += list(fleet.daemons)
    return found


def fail(fleet: CopyFleet, failure: str) -> None:
    """Let a failure begin."""
    network = fleet.network
    victims = victims_of(fleet, failure)
    network.is_store_silent = "silence" in failure or "the store" not in failure
    for node in victims:
        if "killed" in failure:
            fleet.kill(node)
        if "frozen" in failure:
            fleet.freeze(node)
    if "cut off" in failure:
        network.cut.update(victims)
    if "cut off" in failure or "the store" in failure:
        network.storeless.update(victims)
    if "no answers" in failure:
        network.deaf.update(victims)
        network.storeless.update(victims)
