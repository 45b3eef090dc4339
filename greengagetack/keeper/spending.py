"""greengagetack.keeper.spending: what a gate asks before it spends a team's tokens."""

from typing import Protocol

from greengagetack.keeper.generation import Generation
from greengagetack.keeper.messages import Complete

__all__ = ["Spending", "UnboundedSpending"]


class Spending(Protocol):
    """Bounds the tokens that each team spends here."""

    def reserve(self, request: Complete) -> None:
        """Set the request's tokens aside.

        Raises
        ------
        BudgetExhausted
            If the team's bound leaves too few.
        """

    def settle(self, generation: Generation) -> None:
        """Count the tokens used and give the rest back."""


class UnboundedSpending:
    """Spending without bounds."""

    def reserve(self, request: Complete) -> None:
        """Admit every request."""

    def settle(self, generation: Generation) -> None:
        """Count nothing."""
