"""greengagetack.keeper.spending: what a gate asks before it spends a team's tokens."""

from typing import Protocol

from greengagetack.keeper.generation import Generation
from greengagetack.keeper.messages import Complete

__all__ = ["Spending"]


class Spending(Protocol):
    """Bounds the tokens and the concurrent requests of each team here."""

    async def admit(self, request: Complete) -> None:
        """Take a permit, or raise a coded error if the bounds leave no room."""

    def admitted(self, generation: Generation) -> None:
        """Keep the permit of an admitted request until it is settled."""

    def forgo(self, request: Complete) -> None:
        """Give the permit of a request back that was not queued after all."""

    async def reserve(self, generation: Generation) -> None:
        """Set a request's tokens aside, or raise `BudgetExhausted`."""

    def settle(self, generation: Generation) -> None:
        """Count the tokens used, and free the rest and the permit."""
