"""greengagetack.limits.ceiling: limits of the teams' grants on the platform."""

from dataclasses import dataclass

import msgspec

from greengagetack.errors import CodedError
from greengagetack.objects.base import ObjectStore

__all__ = ["BudgetCeiling", "CeilingStore", "block_tokens"]

PATH_PREFIX = "budgets/"
BLOCKS_PER_BOUND = 50


@dataclass(frozen=True, slots=True)
class BudgetCeiling:
    """Upper limit of the tokens granted in `period` when this was written."""

    team: str
    period: int
    ceiling_tokens: int


def block_tokens(bound_tokens: int) -> int:
    """Return the number of tokens by which a ceiling exceeds the grants."""
    return max(1, bound_tokens // BLOCKS_PER_BOUND)


class CeilingStore:
    """Stores ceilings as platform objects, raised a block ahead of the grants.

    A new owner reads the ceiling if it has no record because owner and backup
    were both lost. It counts the whole ceiling as spent.
    """

    def __init__(self, platform: ObjectStore) -> None:
        self._platform = platform

    async def read(self, team: str) -> BudgetCeiling | None:
        """Return a team's ceiling, None if none was ever written.

        Raises
        ------
        PlatformUnavailable
            If the platform does not answer.
        """
        found = await self._platform.read(PATH_PREFIX + team)
        if found is None:
            return None
        return msgspec.convert(found.value, BudgetCeiling)

    async def raise_to(
        self, team: str, period: int, tokens: int, bound_tokens: int
    ) -> int | None:
        """Raise the ceiling to at least `tokens` and return it.

        Returns None if the platform does not answer, or if another owner changed
        the ceiling in between.
        """
        ceiling = min(max(bound_tokens, tokens), tokens + block_tokens(bound_tokens))
        try:
            found = await self._platform.read(PATH_PREFIX + team)
            version = found.version if found is not None else 0
            value = msgspec.to_builtins(BudgetCeiling(team, period, ceiling))
            await self._platform.write(PATH_PREFIX + team, value, version)
        except CodedError:
            return None
        return ceiling
