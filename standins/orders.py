"""standins.orders: weight versions of the engine stand-in and orders to change them."""

import asyncio
import time
from collections.abc import Awaitable, Callable

import msgspec

__all__ = [
    "FetchWeights",
    "Order",
    "OrderFailed",
    "OrderRecord",
    "OrderState",
    "StaleFencingNumber",
    "Weights",
]

FetchWeights = Callable[[str, int], Awaitable[None]]


class Order(msgspec.Struct, frozen=True):
    """Body of ``POST /orders``."""

    kind: str
    fencing_number: int = 0
    model: str | None = None
    version: int | None = None
    adapter: str | None = None
    role: str | None = None


class ModelState(msgspec.Struct):
    """Active and prefetched versions of a model."""

    active: int
    prefetched: list[int]


class OrderState(msgspec.Struct):
    """Answer to ``GET /orders``."""

    models: dict[str, ModelState]
    adapters: list[str]
    role: str
    fencing_number: int


class OrderRecord(msgspec.Struct, frozen=True):
    """An order in the answer to ``GET /control/log``."""

    order: Order
    applied: bool
    reason: str
    received_at_s: float
    ended_at_s: float


class StaleFencingNumber(Exception):
    """The order's fencing number is lower than that of an earlier order."""


class OrderFailed(Exception):
    """The order could not be applied."""


class Weights:
    """Weight versions, adapters and role of an engine; applies one order at a time.

    Parameters
    ----------
    models : dict of str to int
        Active version of each model at the start.
    checks_fencing : bool
        Whether an order with a lower fencing number is refused.
    activate_s : float
        Duration of an activation, during which no tokens are generated.
    fetch : callable
        Fetches the weights of a version.
    """

    def __init__(
        self,
        models: dict[str, int],
        checks_fencing: bool,
        activate_s: float,
        fetch: FetchWeights,
    ) -> None:
        states = {
            name: ModelState(version, [version]) for name, version in models.items()
        }
        self.state = OrderState(states, [], "mixed", 0)
        self.records: list[OrderRecord] = []
        self.fail_activate = 0
        self.activating = False
        self._checks_fencing = checks_fencing
        self._activate_s = activate_s
        self._fetch = fetch
        self._lock = asyncio.Lock()

    def active_version(self, model: str) -> int:
        """Return the version that generates tokens."""
        return self.state.models[model].active

    async def apply(self, order: Order) -> None:
        """Apply an order.

        Raises
        ------
        StaleFencingNumber
            If the fencing number is checked and too low.
        OrderFailed
            If the order is invalid, its fetch failed or a fault was injected.
        """
        received_at_s = time.time()
        reason = "cancelled"
        try:
            async with self._lock:
                self._check_fencing(order)
                await self._execute(order)
            reason = ""
        except (StaleFencingNumber, OrderFailed) as error:
            reason = str(error)
            raise
        finally:
            self.records.append(
                OrderRecord(order, not reason, reason, received_at_s, time.time())
            )

    def _check_fencing(self, order: Order) -> None:
        known = self.state.fencing_number
        if self._checks_fencing and order.fencing_number < known:
            raise StaleFencingNumber(
                f"fencing number {order.fencing_number} is lower than {known}"
            )
        self.state.fencing_number = max(known, order.fencing_number)

    async def _execute(self, order: Order) -> None:
        if order.kind == "prefetch":
            await self._prefetch(*self._require_version(order))
            return
        if order.kind == "activate":
            await self._activate(*self._require_version(order))
            return
        if order.kind == "load_adapter" and order.adapter:
            if order.adapter not in self.state.adapters:
                self.state.adapters.append(order.adapter)
            return
        if order.kind == "role" and order.role:
            self.state.role = order.role
            return
        raise OrderFailed(f"unknown or incomplete order of kind {order.kind!r}")

    def _require_version(self, order: Order) -> tuple[str, int]:
        if order.model not in self.state.models or order.version is None:
            raise OrderFailed(f"unknown model {order.model!r} or missing version")
        return order.model, order.version

    async def _prefetch(self, model: str, version: int) -> None:
        prefetched = self.state.models[model].prefetched
        if version in prefetched:
            return
        await self._fetch(model, version)
        prefetched.append(version)

    async def _activate(self, model: str, version: int) -> None:
        await self._prefetch(model, version)
        self.activating = True
        try:
            await asyncio.sleep(self._activate_s)
        finally:
            self.activating = False
        if self.fail_activate > 0:
            self.fail_activate -= 1
            raise OrderFailed("the activation failed because of an injected fault")
        self.state.models[model].active = version
