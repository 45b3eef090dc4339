"""greengagetack.routing.loads: the last known loads of endpoints."""

from collections import OrderedDict
from dataclasses import dataclass

from greengagetack.keeper.messages import EndpointLoad
from greengagetack.timer import Timer

__all__ = ["LoadTable"]

FRESH_LOAD_AGE_S = 0.25
MAX_LOAD_AGE_S = 5.0
MAX_CACHED_RATIOS = 8_192


@dataclass(slots=True)
class _LoadEntry:
    """The last load of an endpoint and the tokens routed there since."""

    load: EndpointLoad
    updated_at_s: float
    routed_tokens: int = 0


class LoadTable:
    """Endpoint loads from responses and probes, which expire after a short time.

    Tokens routed to an endpoint since its last load count as waiting there, so
    that simultaneous requests do not all choose the same endpoint.
    """

    def __init__(self, timer: Timer) -> None:
        self._timer = timer
        self._entries: dict[str, _LoadEntry] = {}
        self._cached_ratios: OrderedDict[tuple[str, int], float] = OrderedDict()

    def update(self, load: EndpointLoad) -> None:
        """Store the load of an endpoint."""
        self._entries[load.endpoint_id] = _LoadEntry(load, self._timer.now_s())

    def get(self, endpoint_id: str) -> EndpointLoad | None:
        """Return the last load of an endpoint, None if it is unknown or too old."""
        entry = self._entries.get(endpoint_id)
        if entry is None or self._age_s(entry) > MAX_LOAD_AGE_S:
            return None
        return entry.load

    def is_fresh(self, endpoint_id: str) -> bool:
        """Return whether the load is too recent for a probe to be worthwhile."""
        entry = self._entries.get(endpoint_id)
        return entry is not None and self._age_s(entry) <= FRESH_LOAD_AGE_S

    def _age_s(self, entry: _LoadEntry) -> float:
        return self._timer.now_s() - entry.updated_at_s

    def add_routed_tokens(self, endpoint_id: str, tokens: int) -> None:
        """Add tokens that were routed to an endpoint since its last load."""
        entry = self._entries.get(endpoint_id)
        if entry is not None:
            entry.routed_tokens += max(1, tokens)

    def routed_tokens(self, endpoint_id: str) -> int:
        """Return the tokens routed to an endpoint since its last load."""
        entry = self._entries.get(endpoint_id)
        return entry.routed_tokens if entry is not None else 0

    def update_cached_ratio(self, endpoint_id: str, prefix: int, ratio: float) -> None:
        """Store the estimated share of a prefix that an endpoint has cached."""
        key = (endpoint_id, prefix)
        self._cached_ratios[key] = ratio
        self._cached_ratios.move_to_end(key)
        while len(self._cached_ratios) > MAX_CACHED_RATIOS:
            self._cached_ratios.popitem(last=False)

    def cached_ratio(self, endpoint_id: str, prefix: int) -> float:
        """Return the estimated cached share of a prefix, 0 if it is unknown."""
        return self._cached_ratios.get((endpoint_id, prefix), 0.0)
