"""greengagetack.limits.ceiling: what the platform knows of a team's grants."""

from dataclasses import dataclass

import msgspec

from greengagetack.errors import CodedError
from greengagetack.objects.base import ObjectStore

__all__ = ["BudgetCeiling", "CeilingStore", "block_tokens"]

PATH = "budgets/"
BLOCK_RATIO = 50


@dataclass(frozen=True, slots=True)
class BudgetCeiling:
    """No more than `ceiling_tokens` were granted in `period` when written."""

    team: str
    period: int
    ceiling_tokens: int


def block_tokens(bound_tokens: int) -> int:
    """Return by how much a ceiling is raised ahead of the grants."""
    return max(1, bound_tokens // BLOCK_RATIO)


class CeilingStore:
    """Keeps ceilings as platform objects, raised a block ahead of the grants.

    They serve a new owner that has no record since owner and backup were both
    lost: it counts the whole ceiling as spent.
    """

    def __init__(self, platform: ObjectStore) -> None:
        self._platform = platform

    async def read(self, team: str) -> BudgetCeiling | None:
        """Return a team's ceiling, None if there has never been one.

        Raises
        ------
        PlatformUnavailable
            If the platform does not answer.
        """
        found = await self._platform.read(PATH + team)
        if found is None:
            return None
        return msgspec.convert(found.value, BudgetCeiling)

    async def raise_to(
        self, team: str, period: int, tokens: int, bound_tokens: int
    ) -> int | None:
        """Raise the ceiling to at least `tokens` and return it.

        Returns None if the platform does not answer or another owner was first.
        """
        ceiling = min(max(bound_tokens, tokens), tokens + block_tokens(bound_tokens))
        try:
            found = await self._platform.read(PATH + team)
            version = found.version if found is not None else 0
            value = msgspec.to_builtins(BudgetCeiling(team, period, ceiling))
            await self._platform.write(PATH + team, value, version)
        except CodedError:
            return None
        return ceiling
