"""greengagetack.membership.news: what the lead sends its members, and only once."""

import asyncio
from collections.abc import Iterable
from dataclasses import dataclass, replace

from loguru import logger

from greengagetack.errors import CodedError
from greengagetack.leases.lease import PlatformLease
from greengagetack.membership.messages import CellNews
from greengagetack.membership.table import CellTable
from greengagetack.membership.table_change import TableChange, table_change
from greengagetack.membership.timings import CellTimings
from greengagetack.membership.view import CellView
from greengagetack.peers.node import PeerNode
from greengagetack.world import Vm

__all__ = ["HeardMember", "NewsSender"]


@dataclass(slots=True)
class HeardMember:
    """A member as the lead last heard of it, and the news that it has."""

    vm: Vm
    heard_s: float
    table_revision: int = 0
    pairs_version: int = 0


class NewsSender:
    """Builds the news that each member lacks and sends it.

    A member that has the table before the newest one gets the difference; one
    that is further behind gets the whole table.
    """

    def __init__(
        self,
        lease: PlatformLease,
        view: CellView,
        peers: PeerNode,
        timings: CellTimings,
    ) -> None:
        self._lease = lease
        self._view = view
        self._peers = peers
        self._timings = timings
        self._change: TableChange | None = None
        self._told: tuple[object, ...] = ()
        self._pushes: set[asyncio.Task[None]] = set()

    def note_table(self, old: CellTable, new: CellTable) -> None:
        """Remember the newest change of the table."""
        self._change = table_change(old, new)

    def news_for(
        self, table_revision: int, pairs_version: int, suspected: tuple[str, ...]
    ) -> CellNews:
        """Return what a member with this table and these pairs lacks."""
        newest = self._view.table
        change = self._change
        news = CellNews(
            lead_vm_id=self._view.vm.vm_id,
            lead_epoch=self._lease.epoch,
            lease_version=self._lease.version,
            pairs_base=pairs_version,
            pairs_version=self._view.pairs_version,
            pairs=self._view.pairs_after(pairs_version),
            signs=self._view.signs.all(),
            suspected_vm_ids=suspected,
        )
        if table_revision >= newest.revision:
            return news
        if change and (change.base_revision, change.revision) == (
            table_revision,
            newest.revision,
        ):
            return replace(news, table_change=change)
        return replace(news, table=newest)

    def changed(self, suspected: tuple[str, ...]) -> bool:
        """Whether there is anything new since the last call."""
        state = (
            self._lease.epoch,
            self._view.table.revision,
            self._view.pairs_version,
            self._view.signs.all(),
            suspected,
        )
        if state == self._told:
            return False
        self._told = state
        return True

    def push(self, members: Iterable[HeardMember], suspected: tuple[str, ...]) -> None:
        """Send all members what they lack, at once."""
        built: dict[tuple[int, int], CellNews] = {}
        for member in members:
            if member.vm.vm_id == self._view.vm.vm_id:
                continue
            known = (member.table_revision, member.pairs_version)
            if known not in built:
                built[known] = self.news_for(*known, suspected)
            task = asyncio.create_task(self._push_to(member, built[known]))
            self._pushes.add(task)
            task.add_done_callback(self._pushes.discard)

    async def _push_to(self, member: HeardMember, news: CellNews) -> None:
        revision = self._view.table.revision
        try:
            await self._peers.request(
                member.vm.vm_id, news, self._timings.request_timeout_s
            )
        except CodedError as error:
            logger.debug("lead: could not tell {}: {}", member.vm.vm_id, error.reason)
            return
        member.table_revision = max(member.table_revision, revision)
        member.pairs_version = max(member.pairs_version, news.pairs_version)

    def forget(self) -> None:
        """Take nothing as told any more."""
        self._told = ()
        self._change = None

    def close(self) -> None:
        """Stop sending."""
        for task in list(self._pushes):
            task.cancel()
