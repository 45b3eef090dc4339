"""greengagetack.engines.base: base class and registry of endpoint adapters."""

from collections.abc import AsyncGenerator, Callable
from typing import TypeVar

from greengagetack.engines.http import EndpointHttp
from greengagetack.engines.state import (
    CacheEvents,
    EngineLoad,
    EngineState,
    Finish,
    Generate,
    Order,
)
from greengagetack.errors import InvalidRequest, OptionError
from greengagetack.http1.limits import ResponseLimits
from greengagetack.keeper.messages import CallService, Chunk, ServiceAnswer
from greengagetack.world import Endpoint

__all__ = ["ADAPTERS", "EngineAdapter", "adapter", "make_adapter"]

AdapterT = TypeVar("AdapterT", bound="type[EngineAdapter]")


class EngineAdapter:
    """Client of one endpoint's protocol.

    The error class shows whether the request may have run: `EndpointRefused` if
    the endpoint certainly did not run it, `EndpointFailed` otherwise.

    Parameters
    ----------
    endpoint : Endpoint
        The endpoint to connect to.
    limits : ResponseLimits or None
        What its answers may use, together with those of other endpoints.

    Attributes
    ----------
    name : str
        Name of the adapter in the settings' ``adapter``.
    progress_timeout_s : float
        Seconds without data after which a stream is resumed on a new connection.
    """

    name = ""
    progress_timeout_s = 2.0

    def __init__(
        self, endpoint: Endpoint, limits: ResponseLimits | None = None
    ) -> None:
        self.endpoint = endpoint
        self.http = EndpointHttp(endpoint, limits)

    def stream(self, request: Generate) -> AsyncGenerator[Chunk | Finish, None]:
        """Yield the chunks of a completion, then its finish, over one connection."""
        raise self._unsupported("completions")

    async def cancel(self, request_id: str) -> bool:
        """Cancel a completion and return whether the engine had it."""
        raise self._unsupported("completions")

    async def load(self) -> EngineLoad:
        """Return the load that the engine reports, which lags behind."""
        raise self._unsupported("load reports")

    async def state(self) -> EngineState:
        """Read back what the engine has loaded."""
        raise self._unsupported("orders")

    async def send_order(self, order: Order) -> EngineState:
        """Send an order and return the state after it.

        Raises
        ------
        Conflict
            If the engine has already accepted a higher fencing number.
        EndpointFailed
            If the order failed or its answer was lost.
        """
        raise self._unsupported("orders")

    async def cache_events(self, after: int) -> CacheEvents:
        """Return cache events after a sequence number."""
        raise self._unsupported("cache events")

    def prefix_block_hashes(self, prompt: str) -> tuple[str, ...]:
        """Return the engine's hashes of a prompt's full cache blocks, if known."""
        return ()

    async def call(self, request: CallService) -> ServiceAnswer:
        """Send one plain HTTP call, without retries."""
        raise self._unsupported("plain calls")

    async def is_leaving(self) -> bool:
        """Return whether the endpoint reports that it is leaving."""
        return False

    async def close(self) -> None:
        """Close all connections."""
        await self.http.close()

    def _unsupported(self, feature: str) -> InvalidRequest:
        return InvalidRequest(
            f"endpoint {self.endpoint.endpoint_id} does not support {feature}"
        )


ADAPTERS: dict[str, type[EngineAdapter]] = {}


def adapter(name: str) -> Callable[[AdapterT], AdapterT]:
    """Register an adapter class under its name in the settings."""

    def register(adapter_type: AdapterT) -> AdapterT:
        if name in ADAPTERS:
            raise ValueError(f"duplicate adapter {name!r}")
        adapter_type.name = name
        ADAPTERS[name] = adapter_type
        return adapter_type

    return register


def make_adapter(
    endpoint: Endpoint, limits: ResponseLimits | None = None
) -> EngineAdapter:
    """Return a new adapter of the type that the endpoint's settings name.

    Raises
    ------
    OptionError
        If no adapter has that name.
    """
    adapter_type = ADAPTERS.get(endpoint.adapter)
    if adapter_type is None:
        known = ", ".join(sorted(ADAPTERS))
        raise OptionError(f"unknown adapter {endpoint.adapter!r}; known: {known}")
    return adapter_type(endpoint, limits)
