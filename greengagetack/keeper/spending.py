"""greengagetack.keeper.spending: interface of the teams' token limits."""

from typing import Protocol

from greengagetack.keeper.generation import Generation
from greengagetack.keeper.messages import Complete

__all__ = ["Spending"]


class Spending(Protocol):
    """Limits the tokens and the concurrent requests of each team at this keeper."""

    async def admit(self, request: Complete) -> None:
        """Acquire a permit, or raise a coded error if the limits do not allow it."""

    def hold_permit(self, generation: Generation) -> None:
        """Hold the permit of an admitted request until it is settled."""

    def release_permit(self, request: Complete) -> None:
        """Release the permit of a request that was not queued after all."""

    async def reserve(self, generation: Generation) -> None:
        """Reserve a request's tokens, or raise `BudgetExhausted`."""

    def settle(self, generation: Generation) -> None:
        """Count the used tokens, and release the remaining ones and the permit."""
