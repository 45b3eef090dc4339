"""standins.orders: orders to the engine stand-in and its weight versions."""

import asyncio
import time
from collections.abc import Awaitable, Callable

import msgspec

__all__ = [
    "Fetch",
    "Order",
    "OrderFailed",
    "OrderRecord",
    "OrderState",
    "StaleFencingNumber",
    "Weights",
]

Fetch = Callable[[str, int], Awaitable[None]]


class Order(msgspec.Struct, frozen=True):
    """Body of ``POST /orders``."""

    kind: str
    fencing_number: int = 0
    model: str | None = None
    version: int | None = None
    adapter: str | None = None
    role: str | None = None


class ModelState(msgspec.Struct):
    """Versions of a model that the engine holds."""

    active: int
    prefetched: list[int]


class OrderState(msgspec.Struct):
    """Answer to ``GET /orders``."""

    models: dict[str, ModelState]
    adapters: list[str]
    role: str
    fencing_number: int


class OrderRecord(msgspec.Struct, frozen=True):
    """An order as the log shows it."""

    order: Order
    applied: bool
    reason: str
    received_at_s: float
    ended_at_s: float


class StaleFencingNumber(Exception):
    """The order carries a lower fencing number than one before it."""


class OrderFailed(Exception):
    """The order could not be carried out."""


class Weights:
    """Weight versions, adapters and role, changed by orders one at a time.

    Parameters
    ----------
    models : dict of str to int
        Active version of each model at the start.
    checks_fencing : bool
        Whether an older fencing number is refused.
    activate_s : float
        Time of an activation, in which nothing is generated.
    fetch : callable
        Fetches the weights of a version.
    """

    def __init__(
        self,
        models: dict[str, int],
        checks_fencing: bool,
        activate_s: float,
        fetch: Fetch,
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
        """Return the version that generates now."""
        return self.state.models[model].active

    async def apply(self, order: Order) -> None:
        """Carry out an order.

        Raises
        ------
        StaleFencingNumber
            If the fencing number is checked and too low.
        OrderFailed
            If the order makes no sense or failed on demand.
        """
        received_at_s = time.time()
        reason = "cancelled"
        try:
            async with self._lock:
                self._check_fencing(order)
                await self._carry_out(order)
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
            raise StaleFencingNumber(f"{order.fencing_number} is below {known}")
        self.state.fencing_number = max(known, order.fencing_number)

    async def _carry_out(self, order: Order) -> None:
        if order.kind == "prefetch":
            await self._prefetch(*self._named_version(order))
            return
        if order.kind == "activate":
            await self._activate(*self._named_version(order))
            return
        if order.kind == "load_adapter" and order.adapter:
            if order.adapter not in self.state.adapters:
                self.state.adapters.append(order.adapter)
            return
        if order.kind == "role" and order.role:
            self.state.role = order.role
            return
        raise OrderFailed(f"cannot carry out an order of kind {order.kind!r}")

    def _named_version(self, order: Order) -> tuple[str, int]:
        if order.model not in self.state.models or order.version is None:
            raise OrderFailed(f"no model {order.model!r} or no version")
        return order.model, order.version

    async def _prefetch(self, model: str, version: int) -> None:
        held = self.state.models[model].prefetched
        if version in held:
            return
        await self._fetch(model, version)
        held.append(version)

    async def _activate(self, model: str, version: int) -> None:
        await self._prefetch(model, version)
        self.activating = True
        try:
            await asyncio.sleep(self._activate_s)
        finally:
            self.activating = False
        if self.fail_activate > 0:
            self.fail_activate -= 1
            raise OrderFailed("the activation failed on demand")
        self.state.models[model].active = version
