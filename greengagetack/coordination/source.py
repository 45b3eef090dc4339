"""greengagetack.coordination.source: the source of the feeds that all daemons follow.

Only the dispatcher watches the store, so that the number of calls does not grow with
daemons times changes. In large zones two daemons follow the dispatcher and the others
follow these; in small zones all follow the dispatcher. A daemon turns to the store
while none of its sources responds.
"""

from collections import defaultdict

import xxhash
from loguru import logger

from greengagetack.coordination.backed_copy import BackedCopy
from greengagetack.coordination.claim import DispatcherClaim
from greengagetack.coordination.client import PeerClient
from greengagetack.coordination.messages import Member
from greengagetack.coordination.remote_copy import RemoteCopy
from greengagetack.coordination.roster import Roster
from greengagetack.coordination.start_source import StartSource
from greengagetack.coordination.store_gate import ClaimPause, NoSource, StoreGate
from greengagetack.coordination.timed_store import TimedStore
from greengagetack.coordination.zone_relay import zone_candidates
from greengagetack.objects.feed import MAX_COPY_AGE_S, Feed, FeedSource
from greengagetack.world import Address

__all__ = ["SourceSelector"]

# Limits how long a stalled watch goes unnoticed: a new configuration must be in force
# within 2 s, and a copy is served for 1.5 s after its confirmation.
SERVING_WATCH_WAIT_S = 0.8
# A slow store is watched in shorter turns, which are as frequent, to keep to this age.
SERVED_AGE_S = 1.1
MIN_SERVING_WATCH_WAIT_S = 0.2
FOLLOWER_WATCH_WAIT_S = 1.0
# Shorter, so that a relay is up to date again when its followers notice that the
# dispatcher and the other relay are lost.
RELAY_WATCH_WAIT_S = 0.6
# Age from which a feed reads the store beside its source. Relays turn to it first, so
# that their followers are answered before they are overdue themselves.
RELAY_OVERDUE_S = 1.35
FOLLOWER_OVERDUE_S = MAX_COPY_AGE_S
# A daemon that turns to the store detects early that it is silent, while the daemons
# that it has followed may be up to date again.
FIRST_STORE_WATCH_WAIT_S = 0.1
# Limits how late a follower without a dispatcher sees new daemons.
STORE_WATCH_WAIT_S = 10.0
# The claim rarely changes; pings detect that its holder is lost, and a write conflict
# shows that it has changed. A follower of the store looks for its other sources between
# two watches.
CLAIM_WATCH_WAIT_S = 20.0
FOLLOWER_CLAIM_WATCH_WAIT_S = 2.0
# Pause after a change while all daemons follow the store, as at their start: each
# change wakes all of them.
STORE_PAUSE_S = 0.25
LONG_STORE_PAUSE_S = 1.0
# The second one takes the claim over if the first one is lost as well.
FOLLOWED_SUCCESSORS = 2
# Daemons whose failures are remembered; a few are sources at a time.
MAX_REMEMBERED_COPIES = 64


class SourceSelector:
    """Selects the store or a daemon's copy as the source of each call.

    Parameters
    ----------
    claims_feed : Feed
        Copy of the dispatcher's claim, the only feed that relays watch in the store.
    feeds : tuple of Feed
        The other feeds.
    """

    def __init__(
        self,
        store: FeedSource,
        peers: PeerClient,
        claim: DispatcherClaim,
        claims_feed: Feed,
        feeds: tuple[Feed, ...],
        roster: Roster,
        local_member: Member,
        seeds: tuple[Address, ...],
    ) -> None:
        self._store = TimedStore(store)
        self._gate = StoreGate(store)
        self._nobody = NoSource()
        self._claim_pause = ClaimPause()
        self._peers = peers
        self._claim = claim
        self._claims_feed = claims_feed
        self._feeds = {feed.prefix: feed for feed in feeds}
        self._roster = roster
        self._local_member = local_member
        self._local_address = Address.parse(local_member.control)
        self._is_seed = self._local_address in seeds
        self._seeds = () if self._is_seed else _rotated(seeds, local_member.node)
        self._start = StartSource(store, peers, self._seeds)
        self._copies: dict[Address, RemoteCopy] = {}
        self._chosen: dict[str, FeedSource] = {}
        self._is_first_store_call: dict[str, bool] = {}
        self._failed: dict[str, set[Address]] = defaultdict(set)
        self._candidates: tuple[Member, ...] = ()
        self._candidates_key: tuple[object, str] | None = None
        self._successors: list[Address] = []
        self._successors_key: tuple[object, str] | None = None

    def next_source(self, prefix: str) -> FeedSource:
        """Return the source for the next call of a prefix."""
        self._record_last_call(prefix)
        return self._record_choice(prefix, self._choose(prefix))

    def next_claim_source(self) -> FeedSource:
        """Return the source for the next call of the claim's feed."""
        self._record_last_call(self._claims_feed.prefix)
        return self._record_choice(self._claims_feed.prefix, self._choose_for_claim())

    def _record_choice(self, prefix: str, chosen: FeedSource) -> FeedSource:
        is_new = self._chosen.get(prefix) is not chosen
        self._is_first_store_call[prefix] = is_new and chosen is self._store
        self._chosen[prefix] = chosen
        if chosen is self._store and is_new:
            logger.info("feed: follows the store", prefix=prefix)
        return chosen

    def _record_last_call(self, prefix: str) -> None:
        """Collect the daemons that have failed since a call last succeeded.

        Each is tried once before the store, however long the attempts take together.
        """
        last = self._chosen.get(prefix)
        if isinstance(last, BackedCopy):
            last = last.copy
        if isinstance(last, RemoteCopy) and last.has_failed(prefix):
            self._failed[prefix].add(last.address)
        else:
            self._failed[prefix].clear()

    def _choose(self, prefix: str) -> FeedSource:
        chosen = self._choose_daemon(prefix) or self._choose_store()
        if isinstance(chosen, RemoteCopy):
            limit_s = RELAY_OVERDUE_S if self._is_candidate() else FOLLOWER_OVERDUE_S
            return BackedCopy(chosen, self._gate, self._feeds[prefix], limit_s)
        return chosen

    def _choose_daemon(self, prefix: str) -> FeedSource | None:
        """Return the first daemon to be asked for its copy, None if there is none."""
        if self._seeds and not self._start.is_finished(prefix):
            return self._start
        return self._choose_copy(prefix, self._source_addresses())

    def _choose_copy(self, prefix: str, addresses: list[Address]) -> FeedSource | None:
        for address in addresses:
            copy = self._copy_of(address)
            if address not in self._failed[prefix] and copy.is_usable(prefix):
                return copy
        return None

    def _choose_store(self) -> FeedSource:
        addresses = self._source_addresses()
        if self._is_serving() or not self._is_left_to_others(addresses):
            return self._store
        return self._gate if self._gate.take_turn() else self._nobody

    def _choose_for_claim(self) -> FeedSource:
        feed = self._claims_feed
        if feed.is_refresh_due or (feed.is_synced and self._is_serving()):
            return self._store
        daemon = self._choose_daemon(feed.prefix)
        if daemon is None:
            daemon = self._choose_copy(feed.prefix, self._successor_addresses())
        if daemon is not None:
            return daemon
        # The claim holder's answers to pings confirm the copy as well.
        is_recent = feed.age_s <= MAX_COPY_AGE_S
        if is_recent and self._source_addresses():
            return self._claim_pause
        return self._choose_store()

    def _is_left_to_others(self, addresses: list[Address]) -> bool:
        """Whether a source is alive and will have a copy when the store answers it."""
        return any(
            self._copy_of(address).is_alive_without_copy for address in addresses
        )

    def _is_serving(self) -> bool:
        """Whether other daemons follow this one."""
        has_role = self._claim.is_held_locally or self._is_candidate()
        return has_role or (self._is_seed and self._dispatcher() is None)

    def _copy_of(self, address: Address) -> RemoteCopy:
        copy = self._copies.get(address)
        if copy is None:
            if len(self._copies) >= MAX_REMEMBERED_COPIES:
                self._copies.clear()
            copy = RemoteCopy(address, self._peers, self._on_dispatcher)
            self._copies[address] = copy
        return copy

    def _on_dispatcher(self, address: Address) -> None:
        if address == self._claim.holder_address():
            self._claim.record_contact()

    # -- the order of the sources

    def _source_addresses(self) -> list[Address]:
        """Return the daemons to follow, the preferred one first."""
        if self._claim.is_held_locally:
            return []
        dispatcher = self._dispatcher()
        if dispatcher is None and self._is_seed:
            return []
        found: list[Address] = []
        if not self._is_candidate():
            found += [Address.parse(m.control) for m in self.zone_candidates()]
        if dispatcher is None:
            found += self._seeds
        else:
            found.append(Address.parse(dispatcher.control))
        return [address for address in found if address != self._local_address]

    def _successor_addresses(self) -> list[Address]:
        """Return the daemons that take the claim over first, if its holder is lost.

        Their copies show the new claim as soon as one of them has it.
        """
        holder = self._claim.holder
        if holder is None:
            return []
        key = (self._roster.member_addresses(), holder.incarnation)
        known = self._successors_key
        if known is None or known[0] is not key[0] or known[1] != key[1]:
            first = self._roster.first_ranked(
                holder.incarnation, holder.node, FOLLOWED_SUCCESSORS
            )
            self._successors = [Address.parse(member.control) for member in first]
            self._successors_key = key
        return [found for found in self._successors if found != self._local_address]

    def _dispatcher(self) -> Member | None:
        """Return the claim holder, None if it is a former process of this daemon."""
        holder = self._claim.holder
        is_local = holder is not None and holder.node == self._local_member.node
        return None if is_local else holder

    def _is_candidate(self) -> bool:
        node = self._local_member.node
        return any(member.node == node for member in self.zone_candidates())

    def zone_candidates(self) -> tuple[Member, ...]:
        """Return the daemons that follow on behalf of this daemon's zone."""
        holder = self._claim.holder
        node = "" if holder is None else holder.node
        # The roster returns the same object until the list changes.
        key = (self._roster.member_addresses(), node)
        known = self._candidates_key
        if known is None or known[0] is not key[0] or known[1] != node:
            zone = self._local_member.availability_zone
            members = self._roster.members().values()
            self._candidates = zone_candidates(members, zone, node)
            self._candidates_key = key
        return self._candidates

    # -- waits and pauses

    def wait_s(self, prefix: str) -> float:
        """Return the wait of the next watch."""
        chosen = self._chosen[prefix]
        if self._is_first_store_call[prefix]:
            return FIRST_STORE_WATCH_WAIT_S
        if isinstance(chosen, StoreGate):
            return chosen.wait_s(FOLLOWER_WATCH_WAIT_S)
        if chosen is self._store and self._is_serving():
            # Before the next answer, a copy is as old as the wait and two delays.
            wait_s = SERVED_AGE_S - 2 * self._store.delay_s
            return min(SERVING_WATCH_WAIT_S, max(MIN_SERVING_WATCH_WAIT_S, wait_s))
        return RELAY_WATCH_WAIT_S if self._is_candidate() else FOLLOWER_WATCH_WAIT_S

    def long_wait_s(self, prefix: str) -> float:
        """Return the wait of the next watch of a prefix that is not urgent."""
        is_alone = self._follows_store(prefix) and not self._is_serving()
        return STORE_WATCH_WAIT_S if is_alone else self.wait_s(prefix)

    def claim_wait_s(self) -> float:
        """Return the wait of the next watch of the claim."""
        prefix = self._claims_feed.prefix
        if self._claim.is_held_locally or self._chosen[prefix] is not self._store:
            return self.wait_s(prefix)
        is_serving = self._is_serving()
        return CLAIM_WATCH_WAIT_S if is_serving else FOLLOWER_CLAIM_WATCH_WAIT_S

    def pause_s(self, prefix: str) -> float:
        """Return the pause after a change."""
        return STORE_PAUSE_S if self._follows_store(prefix) else 0.0

    def long_pause_s(self, prefix: str) -> float:
        """Return the pause after a change of a prefix that is not urgent."""
        is_alone = self._follows_store(prefix) and not self._is_serving()
        return LONG_STORE_PAUSE_S if is_alone else self.pause_s(prefix)

    def _follows_store(self, prefix: str) -> bool:
        """Whether this daemon follows the store without being the dispatcher."""
        return self._chosen[prefix] is self._store and not self._claim.is_held_locally


def _rotated(seeds: tuple[Address, ...], node: str) -> tuple[Address, ...]:
    """Return the seeds in an order of this daemon, to spread the first listings."""
    if not seeds:
        return ()
    first = xxhash.xxh64_intdigest(node.encode()) % len(seeds)
    return seeds[first:] + seeds[:first]
