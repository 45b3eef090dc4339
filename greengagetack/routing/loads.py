"""greengagetack.routing.loads: loads of endpoints as a front door learns them."""

from collections import OrderedDict
from dataclasses import dataclass

from greengagetack.keeper.messages import EndpointLoad
from greengagetack.timer import Timer

__all__ = ["LoadTable"]

FRESH_S = 0.25
LIFE_S = 5.0
MAX_PREFIXES = 8_192


@dataclass(slots=True)
class _Known:
    """The last load of an endpoint and the tokens sent there since."""

    load: EndpointLoad
    learned_at_s: float
    sent_tokens: int = 0


class LoadTable:
    """Loads learnt from answers and probes, with a short life.

    Tokens placed at an endpoint since its last load count as waiting there, so
    that requests that come together do not all choose the same one.
    """

    def __init__(self, timer: Timer) -> None:
        self._timer = timer
        self._known: dict[str, _Known] = {}
        self._prefixes: OrderedDict[tuple[str, int], float] = OrderedDict()

    def learn(self, load: EndpointLoad) -> None:
        """Take the load of an endpoint."""
        self._known[load.endpoint_id] = _Known(load, self._timer.now_s())

    def get(self, endpoint_id: str) -> EndpointLoad | None:
        """Return the last load of an endpoint, None if unknown or too old."""
        known = self._known.get(endpoint_id)
        if known is None or self._age_s(known) > LIFE_S:
            return None
        return known.load

    def is_fresh(self, endpoint_id: str) -> bool:
        """Return whether a probe would tell little more."""
        known = self._known.get(endpoint_id)
        return known is not None and self._age_s(known) <= FRESH_S

    def _age_s(self, known: _Known) -> float:
        return self._timer.now_s() - known.learned_at_s

    def placed(self, endpoint_id: str, tokens: int) -> None:
        """Count tokens that were placed at an endpoint."""
        known = self._known.get(endpoint_id)
        if known is not None:
            known.sent_tokens += max(1, tokens)

    def placed_tokens(self, endpoint_id: str) -> int:
        """Return the tokens placed since the last load."""
        known = self._known.get(endpoint_id)
        return known.sent_tokens if known is not None else 0

    def learn_cached(self, endpoint_id: str, prefix: int, ratio: float) -> None:
        """Take the estimated cached share of a prefix at an endpoint."""
        key = (endpoint_id, prefix)
        self._prefixes[key] = ratio
        self._prefixes.move_to_end(key)
        while len(self._prefixes) > MAX_PREFIXES:
            self._prefixes.popitem(last=False)

    def cached_ratio(self, endpoint_id: str, prefix: int) -> float:
        """Return the estimated cached share of a prefix, 0 if unknown."""
        return self._prefixes.get((endpoint_id, prefix), 0.0)
