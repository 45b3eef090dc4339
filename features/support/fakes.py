"""features.support.fakes: in-memory fakes of settings, directory and shards."""

from collections.abc import Callable
from dataclasses import replace
from typing import Any

from greengagetack.membership.shards import Record, ShardRole
from greengagetack.membership.table import CellTable, ShardPair, shard_of_key
from greengagetack.settings.schema import FleetSettings, TeamSettings
from greengagetack.settings.view import SettingsVersion
from greengagetack.world import Endpoint, Vm

SHARD_COUNT = 4


class FakeSettings:
    """Settings that a test sets directly, without a platform."""

    ready = True

    def __init__(self, fleet: FleetSettings, teams: tuple[TeamSettings, ...]) -> None:
        self._fleet = fleet
        self._teams = {team.team: team for team in teams}
        self._callbacks: list[Callable[[], None]] = []

    def fleet(self) -> FleetSettings:
        """Return the fleet's settings."""
        return self._fleet

    def team(self, team: str) -> TeamSettings | None:
        """Return a team's settings."""
        return self._teams.get(team)

    def teams(self) -> tuple[TeamSettings, ...]:
        """Return all teams."""
        return tuple(self._teams.values())

    def versions(self) -> tuple[SettingsVersion, ...]:
        """Return the versions of the settings; always none."""
        return ()

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Register a callback."""
        self._callbacks.append(callback)

    def change(self, **fields: Any) -> None:
        """Change fleet settings and notify subscribers."""
        self._fleet = replace(self._fleet, **fields)
        for callback in self._callbacks:
            callback()


class FakeCell:
    """The state of a cell that the fake directories share."""

    def __init__(self, endpoints: tuple[Endpoint, ...]) -> None:
        self.endpoints = {item.endpoint_id: item for item in endpoints}
        self.keepers: dict[str, tuple[str, ...]] = {}
        self.fencing: dict[str, int] = {}
        self.leases: set[str] = set()
        self.leaving: set[str] = set()
        self.reported: list[str] = []
        self.pairs: dict[int, ShardPair] = {}
        self.members: tuple[Vm, ...] = ()
        self.lead_vm_id = ""


class FakeDirectory:
    """One VM's view of the fake cell."""

    ready = True

    def __init__(self, vm_id: str, cell: FakeCell) -> None:
        self._vm_id = vm_id
        self._cell = cell

    def table(self) -> CellTable:
        """Return a table with the lead and the members."""
        cell = self._cell
        return CellTable("cell", lead_vm_id=cell.lead_vm_id, members=cell.members)

    def live_members(self) -> tuple[Vm, ...]:
        """Return the members."""
        return self._cell.members

    def endpoint(self, endpoint_id: str) -> Endpoint | None:
        """Return an endpoint."""
        return self._cell.endpoints.get(endpoint_id)

    def endpoints_serving(self, name: str) -> tuple[Endpoint, ...]:
        """Return the endpoints with a name that are not leaving."""
        return tuple(
            item
            for item in self._cell.endpoints.values()
            if item.name == name and item.endpoint_id not in self._cell.leaving
        )

    def is_leaving(self, endpoint_id: str) -> bool:
        """Return whether an endpoint is leaving."""
        return endpoint_id in self._cell.leaving

    def report_leaving(self, endpoint_id: str) -> None:
        """Record that an endpoint is leaving."""
        self._cell.leaving.add(endpoint_id)
        self._cell.reported.append(endpoint_id)

    def report_returned(self, endpoint_id: str) -> None:
        """Record that an endpoint takes work again."""
        self._cell.leaving.discard(endpoint_id)

    def keepers_for(self, endpoint_id: str) -> tuple[str, ...]:
        """Return the keeper and then the substitutes of an endpoint."""
        return self._cell.keepers.get(endpoint_id, ())

    def fencing_number(self, endpoint_id: str) -> int | None:
        """Return the fencing number if this VM is the keeper, else None."""
        keepers = self.keepers_for(endpoint_id)
        if not keepers or keepers[0] != self._vm_id:
            return None
        return self._cell.fencing.get(endpoint_id, 1)

    def holds_keeper_lease(self, endpoint_id: str) -> bool:
        """Return whether the test has set the keeper lease."""
        return endpoint_id in self._cell.leases

    def pair(self, shard: int) -> ShardPair | None:
        """Return the pair of a shard."""
        return self._cell.pairs.get(shard)

    def is_lead(self) -> bool:
        """Return whether the test has made this VM the lead."""
        return self._vm_id == self._cell.lead_vm_id

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Register a callback."""


class FakeShards:
    """Records in memory; the test sets the owners of the shards."""

    def __init__(self, vm_id: str, cell: FakeCell) -> None:
        self._vm_id = vm_id
        self._cell = cell
        self.kept: dict[tuple[int, str, str], bytes] = {}
        self.acting = True
        self.fresh = False

    def shard_of(self, key: str) -> int:
        """Return the shard of a key."""
        return shard_of_key(key, SHARD_COUNT)

    def role(self, shard: int) -> ShardRole:
        """Return this VM's role for a shard."""
        pair = self._cell.pairs.get(shard)
        if pair is None:
            return ShardRole.NONE
        if pair.owner_vm_id == self._vm_id:
            return ShardRole.OWNER
        if pair.backup_vm_id == self._vm_id:
            return ShardRole.BACKUP
        return ShardRole.NONE

    def epoch(self, shard: int) -> int:
        """Return the epoch of a shard, 0 if it has no pair."""
        pair = self._cell.pairs.get(shard)
        return pair.epoch if pair else 0

    def may_lack_records(self, shard: int) -> bool:
        """Return `fresh`, which the test sets."""
        return self.fresh

    def may_act(self, shard: int) -> bool:
        """Return `acting`, which the test sets, if this VM is the owner."""
        return self.acting and self.role(shard) is ShardRole.OWNER

    def runs_jobs(self, shard: int) -> bool:
        """Return the same as `may_act`."""
        return self.may_act(shard)

    def get(self, shard: int, kind: str, key: str) -> bytes | None:
        """Return the value of a record, None if there is none."""
        return self.kept.get((shard, kind, key))

    def records(self, shard: int, kind: str) -> tuple[Record, ...]:
        """Return the records of a kind."""
        return tuple(
            Record(shard, kind, key, value)
            for (owner, name, key), value in self.kept.items()
            if owner == shard and name == kind
        )

    async def put(
        self, shard: int, kind: str, key: str, value: bytes, *, need_backup: bool
    ) -> None:
        """Store a record."""
        self.kept[(shard, kind, key)] = value

    def subscribe(self, callback: Callable[[int, ShardRole], None]) -> None:
        """Register a callback."""
