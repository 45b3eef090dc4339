"""greengagetack.observability.metrics: counters, gauges and histograms by name."""

from aioprometheus import Counter, Gauge, Histogram, Registry
from aioprometheus.renderer import render

__all__ = ["Metrics"]

LATENCY_BUCKETS_S = [0.001, 0.005, 0.02, 0.1, 0.5, 2.0, 10.0, 60.0, 240.0]
PREFIX = "greengagetack_"


class Metrics:
    """The metrics of one daemon; each is created at its first use."""

    def __init__(self) -> None:
        self._registry = Registry()
        self._counters: dict[str, Counter] = {}
        self._gauges: dict[str, Gauge] = {}
        self._histograms: dict[str, Histogram] = {}

    def add(self, name: str, value: float = 1, **labels: str) -> None:
        """Add `value` to the counter `name`."""
        counter = self._counters.get(name)
        if counter is None:
            counter = Counter(PREFIX + name, name, registry=self._registry)
            self._counters[name] = counter
        counter.add(labels, value)

    def remove(self, name: str, **labels: str) -> None:
        """Remove one series of the counter `name`, if it exists."""
        counter = self._counters.get(name)
        if counter is not None and labels in counter.values:
            del counter.values[labels]

    def set(self, name: str, value: float, **labels: str) -> None:
        """Set the gauge `name` to `value`."""
        gauge = self._gauges.get(name)
        if gauge is None:
            gauge = Gauge(PREFIX + name, name, registry=self._registry)
            self._gauges[name] = gauge
        gauge.set(labels, value)

    def observe_s(self, name: str, duration_s: float, **labels: str) -> None:
        """Add a duration to the histogram `name`."""
        histogram = self._histograms.get(name)
        if histogram is None:
            histogram = Histogram(
                PREFIX + name,
                name,
                registry=self._registry,
                buckets=LATENCY_BUCKETS_S,
            )
            self._histograms[name] = histogram
        histogram.observe(labels, duration_s)

    def render(self) -> bytes:
        """Return all metrics in the text exposition format."""
        content, _ = render(self._registry, ["text/plain"])
        return content
