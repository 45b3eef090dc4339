"""greengagetack.coordination.roster: the member list that daemons keep in the store."""

import asyncio
import time
from collections.abc import Callable, Iterable
from typing import Protocol

import msgspec
import xxhash
from loguru import logger

from greengagetack.coordination.messages import Member
from greengagetack.errors import CodedError
from greengagetack.objects.base import ObjectConflict, WatchedStore
from greengagetack.objects.feed import Feed
from greengagetack.world import Address

__all__ = ["Roster", "RosterStore", "takeover_rank"]

REGISTRATION_RETRY_PAUSE_S = 0.3
# A follower polls the dispatcher for changes about once a second and counts as alive
# for this long after a poll.
RECENT_CONTACT_S = 2.0
# The dispatcher removes the entry of a daemon that has not polled it for this long. If
# the daemon is alive, it registers again.
REMOVAL_SILENCE_S = 120.0


class RosterStore(WatchedStore, Protocol):
    """The operations of the object store that the roster uses."""

    async def delete(self, path: str) -> None:
        """Remove an object."""


def _takeover_key(member: Member, salt: str) -> tuple[float, int]:
    return member.cores, xxhash.xxh64_intdigest(f"{salt}/{member.node}".encode())


def takeover_rank(member: Member, others: Iterable[Member], salt: str) -> int:
    """Return a daemon's rank in the takeover order of a claim, 0 for the first.

    The dispatcher reads the streams of all jobs, so larger VMs rank first. The order
    of equal VMs depends on `salt`.
    """
    own = _takeover_key(member, salt)
    return sum(
        1
        for other in others
        if other.node != member.node and _takeover_key(other, salt) > own
    )


class Roster:
    """Registers this daemon in the store and tracks the other members.

    Parameters
    ----------
    local_member : Member
        This daemon.
    feed : Feed
        Local copy of the member list.
    prefix : str
        Path prefix of the member list in the store.
    seeds : tuple of Address
        Addresses of daemons to call before the list is known.
    """

    def __init__(
        self,
        local_member: Member,
        store: RosterStore,
        feed: Feed,
        prefix: str,
        seeds: tuple[Address, ...],
    ) -> None:
        self._local_member = local_member
        self._store = store
        self._feed = feed
        self._prefix = prefix
        self._seeds = seeds
        self._last_contact_s: dict[str, float] = {}
        self._dispatcher_since_s = float("inf")
        self._written_version = 0
        self._list_changed = asyncio.Event()
        self._members: dict[str, Member] | None = None
        self._member_addresses: tuple[Address, ...] | None = None
        feed.subscribe(lambda changed, gone: self._on_list_change())

    def _on_list_change(self) -> None:
        self._members = None
        self._member_addresses = None
        self._list_changed.set()

    def members(self) -> dict[str, Member]:
        """Return the listed daemons by VM, without entries that cannot be decoded.

        The same dictionary is returned until the list changes.
        """
        if self._members is None:
            self._members = self._decode_members()
        return self._members

    def _decode_members(self) -> dict[str, Member]:
        members: dict[str, Member] = {}
        for stored in self._feed.objects.values():
            try:
                member = msgspec.convert(stored.value, Member)
            except msgspec.ValidationError as error:
                logger.warning(
                    "members: ignoring invalid entry {}: {}", stored.path, error
                )
                continue
            members[member.node] = member
        return members

    def rank(self, salt: str, excluded_node: str) -> int:
        """Return this daemon's rank among all daemons other than `excluded_node`."""
        others = [m for m in self.members().values() if m.node != excluded_node]
        return takeover_rank(self._local_member, others, salt)

    def first_ranked(self, salt: str, excluded_node: str, count: int) -> list[Member]:
        """Return the first daemons of the takeover order without `excluded_node`."""
        others = [m for m in self.members().values() if m.node != excluded_node]
        others.sort(key=lambda member: _takeover_key(member, salt), reverse=True)
        return others[:count]

    def addresses(self) -> list[Address]:
        """Return the control addresses of all other daemons and of the seeds."""
        addresses = {member.control for member in self.members().values()}
        addresses.update(str(seed) for seed in self._seeds)
        addresses.discard(self._local_member.control)
        return [Address.parse(text) for text in sorted(addresses)]

    def member_addresses(self) -> tuple[Address, ...]:
        """Return the control addresses of all listed daemons, this one included.

        The same object is returned until the list changes.
        """
        if self._member_addresses is None:
            self._member_addresses = tuple(
                Address.parse(member.control) for member in self.members().values()
            )
        return self._member_addresses

    def record_contact(self, node: str) -> None:
        """Record that a daemon has polled this one for changes."""
        if node:
            self._last_contact_s[node] = time.monotonic()

    def successor(self) -> Member | None:
        """Return the first-ranked member that polled recently, None without one."""
        recent_since_s = time.monotonic() - RECENT_CONTACT_S
        members = self.members()
        recent = [
            members[node]
            for node, last_contact_s in self._last_contact_s.items()
            if last_contact_s > recent_since_s and node in members
        ]
        ranked = sorted(
            recent,
            key=lambda m: takeover_rank(m, recent, self._local_member.incarnation),
        )
        return ranked[0] if ranked else None

    def successors(self) -> list[Member]:
        """Return the other daemons in the order of their ranks for the claim."""
        members = list(self.members().values())
        others = [m for m in members if m.node != self._local_member.node]
        salt = self._local_member.incarnation
        return sorted(others, key=lambda m: takeover_rank(m, others, salt))

    async def run(self) -> None:
        """Keep this daemon registered until cancelled."""
        await self._feed.synced.wait()
        while True:
            self._list_changed.clear()
            if not self._is_listed() and not await self._register():
                await asyncio.sleep(REGISTRATION_RETRY_PAUSE_S)
                continue
            await self._list_changed.wait()

    def _entry_path(self, node: str) -> str:
        return f"{self._prefix}{node}"

    def _is_listed(self) -> bool:
        """Whether this daemon's entry is listed, or its last write not seen yet."""
        stored = self._feed.objects.get(self._entry_path(self._local_member.node))
        if stored is None:
            return self._feed.revision < self._written_version
        is_older_than_write = stored.version < self._written_version
        return (
            is_older_than_write
            or self.members().get(self._local_member.node) == self._local_member
        )

    async def _register(self) -> bool:
        path = self._entry_path(self._local_member.node)
        stored = self._feed.objects.get(path)
        version = 0 if stored is None else stored.version
        try:
            value = msgspec.to_builtins(self._local_member)
            self._written_version = await self._store.write(path, value, version)
            return True
        except ObjectConflict as error:
            logger.info("members: registration conflict: {}", error.reason)
        except CodedError as error:
            logger.warning("members: registration failed: {}", error.reason)
        return False

    async def remove_silent_members(self, is_dispatcher: Callable[[], bool]) -> None:
        """Remove daemons that have not polled the dispatcher for long."""
        now_s = time.monotonic()
        if not is_dispatcher():
            self._dispatcher_since_s = float("inf")
            return
        self._dispatcher_since_s = min(self._dispatcher_since_s, now_s)
        if now_s - self._dispatcher_since_s < REMOVAL_SILENCE_S:
            return
        for node in self.members():
            last_contact_s = self._last_contact_s.get(node, self._dispatcher_since_s)
            if (
                node == self._local_member.node
                or now_s - last_contact_s < REMOVAL_SILENCE_S
            ):
                continue
            try:
                await self._store.delete(self._entry_path(node))
            except CodedError as error:
                logger.warning("members: removal of {} failed: {}", node, error.reason)
                return
            self._last_contact_s.pop(node, None)
            logger.info(
                "members: removed", member=node, silent_s=int(now_s - last_contact_s)
            )
