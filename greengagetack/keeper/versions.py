"""greengagetack.keeper.versions: the weight versions that an engine has loaded."""

import asyncio
from contextlib import suppress

from greengagetack.engines.base import EngineAdapter
from greengagetack.engines.state import EngineState
from greengagetack.errors import CodedError
from greengagetack.world import Endpoint

__all__ = ["LoadedVersions"]


class LoadedVersions:
    """Versions read back from an engine, never assumed from orders given."""

    def __init__(self, endpoint: Endpoint, adapter: EngineAdapter) -> None:
        self._endpoint = endpoint
        self._adapter = adapter
        self._lock = asyncio.Lock()
        self.state: EngineState | None = None

    @property
    def active(self) -> int:
        """The active version of the endpoint's model, 0 while unknown."""
        return self.active_of(self._endpoint.name)

    def active_of(self, model: str) -> int:
        """Return the active version of a model, 0 if unknown."""
        versions = self.state.versions(model) if self.state is not None else None
        return versions.active if versions is not None else 0

    async def refresh(self) -> None:
        """Read the state back from the engine.

        Raises
        ------
        CodedError
            If the engine does not answer.
        """
        self.state = await self._adapter.state()

    async def ensure_known(self) -> None:
        """Read the state back if that has not been done yet."""
        if self.state is not None:
            return
        async with self._lock:
            if self.state is None:
                with suppress(CodedError):
                    await self.refresh()
