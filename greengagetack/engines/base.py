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
from greengagetack.keeper.messages import CallService, Chunk, ServiceAnswer
from greengagetack.world import Endpoint

__all__ = ["ADAPTERS", "EngineAdapter", "adapter", "make_adapter"]

AdapterT = TypeVar("AdapterT", bound="type[EngineAdapter]")


class EngineAdapter:
    """Speaks to one endpoint in its own protocol.

    Errors carry what is known about the effect: `EndpointRefused` if the
    endpoint surely did not run the request, `EndpointFailed` otherwise.

    Parameters
    ----------
    endpoint : Endpoint
        The endpoint to speak to.

    Attributes
    ----------
    name : str
        Name in the settings' ``adapter``.
    progress_timeout_s : float
        Seconds of silence after which a stream is replaced by a new connection.
    """

    name = ""
    progress_timeout_s = 2.0

    def __init__(self, endpoint: Endpoint) -> None:
        self.endpoint = endpoint
        self.http = EndpointHttp(endpoint)

    def stream(self, request: Generate) -> AsyncGenerator[Chunk | Finish, None]:
        """Yield the chunks of a completion, then its end, over one connection."""
        raise self._unsupported("completions")

    async def cancel(self, request_id: str) -> bool:
        """Stop a completion and return whether the engine knew it."""
        raise self._unsupported("completions")

    async def load(self) -> EngineLoad:
        """Return the engine's own, lagging report of its load."""
        raise self._unsupported("load reports")

    async def state(self) -> EngineState:
        """Read back what the engine has loaded."""
        raise self._unsupported("orders")

    async def give_order(self, order: Order) -> EngineState:
        """Give an order and return the state after it.

        Raises
        ------
        Conflict
            If the engine has seen a newer fencing number.
        EndpointFailed
            If the order failed or its answer was lost.
        """
        raise self._unsupported("orders")

    async def cache_events(self, after: int) -> CacheEvents:
        """Return cache events after a sequence number."""
        raise self._unsupported("cache events")

    def prefix_blocks(self, prompt: str) -> tuple[str, ...]:
        """Return the engine's hashes of a prompt's whole blocks, if known."""
        return ()

    async def call(self, request: CallService) -> ServiceAnswer:
        """Send one plain HTTP call, once."""
        raise self._unsupported("plain calls")

    async def is_leaving(self) -> bool:
        """Return whether the endpoint says that it is leaving."""
        return False

    async def close(self) -> None:
        """Close all connections."""
        await self.http.close()

    def _unsupported(self, what: str) -> InvalidRequest:
        return InvalidRequest(f"endpoint {self.endpoint.endpoint_id} offers no {what}")


ADAPTERS: dict[str, type[EngineAdapter]] = {}


def adapter(name: str) -> Callable[[AdapterT], AdapterT]:
    """Register an adapter under the name that settings use."""

    def register(adapter_type: AdapterT) -> AdapterT:
        if name in ADAPTERS:
            raise ValueError(f"duplicate adapter {name!r}")
        adapter_type.name = name
        ADAPTERS[name] = adapter_type
        return adapter_type

    return register


def make_adapter(endpoint: Endpoint) -> EngineAdapter:
    """Return the adapter that an endpoint names.

    Raises
    ------
    OptionError
        If no adapter has that name.
    """
    adapter_type = ADAPTERS.get(endpoint.adapter)
    if adapter_type is None:
        known = ", ".join(sorted(ADAPTERS))
        raise OptionError(f"unknown adapter {endpoint.adapter!r}; known: {known}")
    return adapter_type(endpoint)
