"""greengagetack.keeper.spending: what a gate asks before it spends a team's tokens."""

from typing import Protocol

from greengagetack.keeper.generation import Generation
from greengagetack.keeper.messages import Complete

__all__ = ["Spending"]


class Spending(Protocol):
    """Bounds the tokens and the concurrent requests of each team here."""

    async def admit(self, request: Complete) -> None:
        """Raise a coded error if the team's bounds leave no room."""

    def take_permit(self, generation: Generation) -> None:
        """Count a request that is being queued, or raise `Overloaded`."""

    async def reserve(self, generation: Generation) -> None:
        """Set a request's tokens aside, or raise `BudgetExhausted`."""

    def settle(self, generation: Generation) -> None:
        """Count the tokens used, and free the rest and the permit."""
