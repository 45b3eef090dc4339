"""model.orders: orders to endpoints that check fencing numbers or ignore them.

The lead reassigns one endpoint from keeper to keeper; every assignment has a higher
fencing number. Keepers learn of assignments late, may be paused between deciding and
sending, and their orders arrive late. For an endpoint that ignores fencing numbers the
keeper needs a lease from the lead, and the lead waits until the former lease expires.
"""

from collections.abc import Iterator
from typing import NamedTuple

from greengagetack.leases.decisions import (
    accept_fencing_number,
    accept_version,
    lease_expires_s,
    may_act,
    may_send_order,
)
from model.specification import Guard, Predicate, Specification, Step, specification

__all__ = ["FencedOrders", "UnfencedOrders"]

KEEPERS = range(2)
LEASE_TICKS = 3
MARGIN_TICKS = 1
DELIVERY_TICKS = 1
NEVER = -1
NO_ORDER = -1

IN_ORDER = "orders take effect in the order of their fencing numbers"


class Keeper(NamedTuple):
    """A keeper: the age of its known assignment, its lease and its order."""

    age: int = 2
    lease: int = NEVER
    decided: bool = False
    order_age: int = NO_ORDER
    order_ticks: int = 0


class State(NamedTuple):
    """The assignment (age 0 is the newest), the lead's lease promise, the endpoint."""

    keeper: int
    promised: int
    effect_age: int
    is_out_of_order: bool
    is_served: bool
    keepers: tuple[Keeper, Keeper]


class _Orders(Specification):
    """Behaviour common to both kinds of endpoint."""

    checks_fencing = False

    def initial(self) -> State:
        """Return a state in which keeper 0 is assigned and knows its assignment."""
        return State(0, 0, 2, False, False, (Keeper(age=0), Keeper()))

    def properties(self) -> dict[str, Predicate]:
        """Return the safety properties."""
        return {IN_ORDER: lambda s: not s.is_out_of_order}

    def goal(self, state: State) -> bool:
        """Whether an order of the newest assignment has taken effect."""
        return bool(state.is_served)

    def steps(self, state: State) -> Iterator[Step]:
        """Yield the passing of time, hand-overs and the steps of each keeper."""
        yield from self._tick(state)
        yield from self._hand_over(state)
        for index in KEEPERS:
            keeper = state.keepers[index]
            yield f"k{index} restarts", _replace(state, index, _restarted(keeper))
            if accept_version(-keeper.age, 0) and state.keeper == index:
                known = keeper._replace(age=0, lease=NEVER, decided=False)
                yield (
                    f"k{index} learns of its assignment",
                    _replace(state, index, known),
                )
            if accept_version(-keeper.age, 0) and state.keeper != index:
                unassigned = keeper._replace(age=2, lease=NEVER, decided=False)
                yield (
                    f"k{index} learns of the other's assignment",
                    _replace(state, index, unassigned),
                )
            yield from self._keeper_steps(state, index)

    def _tick(self, state: State) -> Iterator[Step]:
        """Yield the passing of time.

        Time stops for a due order only if the endpoint ignores fencing numbers.
        """
        keepers = []
        for keeper in state.keepers:
            due = keeper.order_age != NO_ORDER and keeper.order_ticks == 0
            if due and not self.checks_fencing:
                return
            keepers.append(
                keeper._replace(
                    lease=max(keeper.lease - 1, NEVER),
                    order_ticks=max(keeper.order_ticks - 1, 0),
                )
            )
        yield (
            "time passes",
            state._replace(
                promised=max(state.promised - 1, 0), keepers=(keepers[0], keepers[1])
            ),
        )

    def _hand_over(self, state: State) -> Iterator[Step]:
        if not self.checks_fencing:
            known = LEASE_TICKS if self.has("new lead waits too") else 0
            yield "the lead changes", state._replace(promised=known)
        has_expired = state.promised == 0
        must_wait = not self.checks_fencing and self.has(
            "wait for the former lease to expire"
        )
        if must_wait and not has_expired:
            return
        keepers = [
            keeper._replace(
                age=min(keeper.age + 1, 2),
                order_age=_next_order_age(keeper.order_age),
            )
            for keeper in state.keepers
        ]
        yield (
            "the lead hands over",
            state._replace(
                keeper=1 - state.keeper,
                effect_age=min(state.effect_age + 1, 2),
                is_served=False,
                keepers=(keepers[0], keepers[1]),
            ),
        )

    def _keeper_steps(self, state: State, index: int) -> Iterator[Step]:
        keeper = state.keepers[index]
        if keeper.age == 0 and not self.checks_fencing:
            leased = keeper._replace(lease=int(lease_expires_s(0, LEASE_TICKS)))
            granted = state._replace(promised=LEASE_TICKS)
            yield f"k{index} renews its lease", _replace(granted, index, leased)
        if not keeper.decided and self._may_send(keeper):
            decided = keeper._replace(decided=True)
            yield f"k{index} decides to order", _replace(state, index, decided)
        if keeper.decided and keeper.order_age == NO_ORDER:
            checked = self.has("lease checked right before sending")
            if self._may_send(keeper) or not checked:
                sent = keeper._replace(
                    decided=False, order_age=keeper.age, order_ticks=DELIVERY_TICKS
                )
                yield f"k{index} sends an order", _replace(state, index, sent)
        if keeper.order_age != NO_ORDER:
            yield f"the order of k{index} arrives", self._arrived(state, index)
            lost = keeper._replace(order_age=NO_ORDER, order_ticks=0)
            yield f"the order of k{index} is lost", _replace(state, index, lost)

    def _may_send(self, keeper: Keeper) -> bool:
        margin = MARGIN_TICKS if self.has("margin before expiry") else 0
        if self.has("time left for delivery"):
            margin += DELIVERY_TICKS
        drift = MARGIN_TICKS
        held = may_act(0, keeper.lease + drift, margin) and keeper.lease != NEVER
        if not self.has("lease for an unfenced endpoint"):
            held = True
        return may_send_order(keeper.age < 2, self.checks_fencing, held)

    def _arrived(self, state: State, index: int) -> State:
        """Return the state after an order has reached the endpoint."""
        keeper = state.keepers[index]
        done = _replace(
            state, index, keeper._replace(order_age=NO_ORDER, order_ticks=0)
        )
        refuses = self.checks_fencing and self.has("fencing number checked")
        if refuses and not accept_fencing_number(-state.effect_age, -keeper.order_age):
            return done
        is_older = not accept_fencing_number(-state.effect_age, -keeper.order_age)
        return done._replace(
            effect_age=min(keeper.order_age, state.effect_age),
            is_out_of_order=state.is_out_of_order or is_older,
            is_served=state.is_served or keeper.order_age == 0,
        )


@specification
class FencedOrders(_Orders):
    """Orders to an endpoint that rejects older fencing numbers."""

    name = "orders-fenced"
    checks_fencing = True
    guards = (Guard("fencing number checked", IN_ORDER),)


@specification
class UnfencedOrders(_Orders):
    """Orders to an endpoint that ignores fencing numbers."""

    name = "orders-unfenced"
    guards = (
        Guard("lease for an unfenced endpoint", IN_ORDER),
        Guard("wait for the former lease to expire", IN_ORDER),
        Guard("new lead waits too", IN_ORDER),
        Guard("margin before expiry", IN_ORDER),
        Guard("time left for delivery", IN_ORDER),
        Guard("lease checked right before sending", IN_ORDER),
    )


def _next_order_age(age: int) -> int:
    return age if age == NO_ORDER else min(age + 1, 2)


def _restarted(keeper: Keeper) -> Keeper:
    return Keeper(order_age=keeper.order_age, order_ticks=keeper.order_ticks)


def _replace(state: State, index: int, keeper: Keeper) -> State:
    first, second = state.keepers
    keepers = (keeper, second) if index == 0 else (first, keeper)
    return state._replace(keepers=keepers)
