"""greengagetack.membership.news: sends each member the news that it lacks."""

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

__all__ = ["MemberStatus", "NewsSender"]


@dataclass(slots=True)
class MemberStatus:
    """A member's last heartbeat and the versions that it has."""

    vm: Vm
    last_seen_s: float
    table_revision: int = 0
    pairs_version: int = 0


class NewsSender:
    """Builds the news that each member lacks and sends it.

    A member that has the last but one table gets the difference; a member that is
    further behind gets the whole table.
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
        self._table_change: TableChange | None = None
        self._last_state: tuple[object, ...] = ()
        self._push_tasks: set[asyncio.Task[None]] = set()

    def record_table_change(self, old: CellTable, new: CellTable) -> None:
        """Store the difference between the last two tables."""
        self._table_change = table_change(old, new)

    def news_for(
        self, table_revision: int, pairs_version: int, suspected: tuple[str, ...]
    ) -> CellNews:
        """Return the news that a member with these versions lacks."""
        newest = self._view.table
        change = self._table_change
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

    def detect_changes(self, suspected: tuple[str, ...]) -> bool:
        """Whether the news has changed since the last call."""
        state = (
            self._lease.epoch,
            self._view.table.revision,
            self._view.pairs_version,
            self._view.signs.all(),
            suspected,
        )
        if state == self._last_state:
            return False
        self._last_state = state
        return True

    def push(self, members: Iterable[MemberStatus], suspected: tuple[str, ...]) -> None:
        """Start sending each member the news that it lacks."""
        news_by_versions: dict[tuple[int, int], CellNews] = {}
        for member in members:
            if member.vm.vm_id == self._view.vm.vm_id:
                continue
            member_versions = (member.table_revision, member.pairs_version)
            if member_versions not in news_by_versions:
                news_by_versions[member_versions] = self.news_for(
                    *member_versions, suspected
                )
            task = asyncio.create_task(
                self._push_to(member, news_by_versions[member_versions])
            )
            self._push_tasks.add(task)
            task.add_done_callback(self._push_tasks.discard)

    async def _push_to(self, member: MemberStatus, news: CellNews) -> None:
        revision = self._view.table.revision
        try:
            await self._peers.request(
                member.vm.vm_id, news, self._timings.request_timeout_s
            )
        except CodedError as error:
            logger.debug(
                "lead: could not send news to {}: {}", member.vm.vm_id, error.reason
            )
            return
        member.table_revision = max(member.table_revision, revision)
        member.pairs_version = max(member.pairs_version, news.pairs_version)

    def reset(self) -> None:
        """Treat all news as not yet sent."""
        self._last_state = ()
        self._table_change = None

    def close(self) -> None:
        """Stop sending."""
        for task in list(self._push_tasks):
            task.cancel()
