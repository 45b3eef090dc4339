"""standins.grants: the platform's grants of replicas, on the stand-ins' loop."""

import asyncio
from typing import Any

from standins.platform_cluster import ENGINE_SERVICE, PlatformCluster

__all__ = ["ReplicaGrants"]

SCALING = {"min": 0, "max": 4, "boot_s": 1.0, "spot_price": 0.18}


class ReplicaGrants:
    """Carries out orders for the engines; replicas serve after the boot time.

    Attributes
    ----------
    orders : list of dict
        The bodies of the orders in their order.
    refused : set of (str, bool)
        Zones and kinds of which none are available.
    """

    def __init__(self, cluster: PlatformCluster, zone_prices: dict[str, float]) -> None:
        self._cluster = cluster
        self.orders: list[dict[str, Any]] = []
        self.refused: set[tuple[str, bool]] = set()
        self._pools: dict[str, tuple[str, bool]] = {}
        # Options of the engines, such as the number of events of an item.
        self._options: dict[str, Any] = {}
        self._boots: set[asyncio.Task[None]] = set()
        scaling = {**SCALING, "zone_prices": zone_prices}
        cluster.engine_fields = {"scaling": scaling}
        cluster.configure(2)
        api = cluster.add_duty_api()
        api.on_scale = self._carry_out

    def add_engine(self, name: str, zone: str, is_spot: bool, **options: Any) -> None:
        """Start an engine that is there at the start."""
        self._cluster.entry_fields[name] = {"zone": zone, "spot": is_spot}
        self._cluster.add_replica(name, **options)
        self._pools[name] = (zone, is_spot)
        self._options = options

    def reclaim(self, name: str, leaves_ms: float) -> None:
        """Announce that an engine ends, which the caller then lets happen."""
        del self._pools[name]
        self._cluster.list_replica(name, "draining", leaves_ms=leaves_ms)

    def _carry_out(self, body: dict[str, Any]) -> int:
        self.orders.append(body)
        pool = body["zone"], body.get("spot", False)
        if pool in self.refused:
            return 409
        present = sum(1 for other in self._pools.values() if other == pool)
        for _ in range(body["target_groups"] - present):
            name = f"granted-{len(self._pools) + len(self.orders)}"
            self._pools[name] = pool
            boot = asyncio.create_task(self._boot(name, pool))
            self._boots.add(boot)
            boot.add_done_callback(self._boots.discard)
        return 200

    async def _boot(self, name: str, pool: tuple[str, bool]) -> None:
        await asyncio.sleep(SCALING["boot_s"])
        self._cluster.entry_fields[name] = {"zone": pool[0], "spot": pool[1]}
        await self._cluster.serve_replica(name, ENGINE_SERVICE, **self._options)
