"""greengagetack.replicas.zone_cost: what it costs to send a request to another zone."""

from dataclasses import dataclass

__all__ = ["DEFAULT_HOP_MS", "DEFAULT_MS_PER_KB", "ZoneCost"]

DEFAULT_HOP_MS = 4.0
DEFAULT_MS_PER_KB = 0.05
BYTES_PER_KB = 1_000
MS_PER_S = 1_000


@dataclass(frozen=True, slots=True)
class ZoneCost:
    """Cost of the way to another availability zone, in time.

    Attributes
    ----------
    hop_ms : float
        Additional delay of a request that leaves the zone, in milliseconds.
    ms_per_kb : float
        Additional wait that is accepted to keep one KB inside the zone.
    """

    hop_ms: float = DEFAULT_HOP_MS
    ms_per_kb: float = DEFAULT_MS_PER_KB

    def seconds(self, size_bytes: float) -> float:
        """Return the cost of a request and its response of a size, in seconds."""
        return (self.hop_ms + self.ms_per_kb * size_bytes / BYTES_PER_KB) / MS_PER_S
