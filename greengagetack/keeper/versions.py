"""greengagetack.keeper.versions: the weight versions that an engine has loaded."""

import asyncio
from contextlib import suppress

from greengagetack.engines.base import EngineAdapter
from greengagetack.engines.state import EngineState
from greengagetack.errors import CodedError
from greengagetack.keeper.errors import StaleVersion
from greengagetack.keeper.messages import Complete
from greengagetack.world import Endpoint

__all__ = ["LoadedVersions", "stale_version_error"]

STALE_VERSION_RETRY_S = 0.5


class LoadedVersions:
    """Versions read back from an engine, never inferred from the orders sent."""

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
        """Read the state back if it has not been read yet."""
        if self.state is not None:
            return
        async with self._lock:
            if self.state is None:
                with suppress(CodedError):
                    await self.refresh()

    def require_allowed_version(self, request: Complete) -> None:
        """Check that the loaded version is new enough for a request.

        Raises
        ------
        StaleVersion
            If the version is older than the request allows; nothing was run.
        """
        active = self.active_of(request.model)
        if request.oldest_version and active < request.oldest_version:
            raise stale_version_error(request, active)


def stale_version_error(request: Complete, version: int) -> StaleVersion:
    """Return the error for a version that is older than a request allows."""
    return StaleVersion(
        f"version {version} of {request.model} is too old, "
        f"oldest allowed is {request.oldest_version}",
        STALE_VERSION_RETRY_S,
    )
