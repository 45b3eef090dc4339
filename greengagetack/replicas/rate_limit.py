"""greengagetack.replicas.rate_limit: divides a replica's rate limit into permits.

A replica in need names how many requests a second it takes from all VMs together. No VM
sees the sum of what all send, so a single daemon, the owner, grants a permit for each
request to such a replica.
"""

from dataclasses import dataclass

__all__ = ["TokenBucket", "burst_permits", "first_permits", "grant_rate_per_s"]

# A replica that takes (almost) nothing still gets a request now and then, as only its
# responses show that the limit has ended.
MIN_RATE_PER_S = 0.2
# Requests of callers come at random; a replica takes this much of its limit at once.
BURST_S = 1.0
MIN_BURST_PERMITS = 2.0
MAX_BURST_PERMITS = 5.0
# A former owner that does not yet know of its successor may still grant permits, but
# not for longer than this.
TAKEOVER_S = 4.0
# Part of the rate that an owner grants meanwhile.
TAKEOVER_FACTOR = 0.5


def grant_rate_per_s(limit_per_s: float, owner_since_s: float) -> float:
    """Return how many permits a second an owner grants.

    Parameters
    ----------
    limit_per_s : float
        The limit that the replica named.
    owner_since_s : float
        How long this daemon has been the owner, in seconds.
    """
    rate_per_s = max(MIN_RATE_PER_S, limit_per_s)
    return rate_per_s * (TAKEOVER_FACTOR if owner_since_s < TAKEOVER_S else 1.0)


def burst_permits(limit_per_s: float) -> float:
    """Return how many permits may be granted at once after a pause."""
    return min(MAX_BURST_PERMITS, max(MIN_BURST_PERMITS, limit_per_s * BURST_S))


def first_permits(owner_since_s: float) -> float:
    """Return how many permits are available when a limit is first seen.

    There are none after a takeover, as the former owner may just have granted a burst.
    """
    return 0.0 if owner_since_s < TAKEOVER_S else 1.0


@dataclass(slots=True)
class TokenBucket:
    """The permits of one replica; `level` is what may be granted at `updated_s`."""

    level: float
    updated_s: float

    def refill(self, now_s: float, rate_per_s: float, burst: float) -> None:
        """Add the permits for the time since the last refill, up to `burst`."""
        added = max(0.0, now_s - self.updated_s) * rate_per_s
        self.level = min(burst, self.level + added)
        self.updated_s = now_s

    def take(self) -> None:
        """Take one permit."""
        self.level -= 1.0

    def wait_s(self, rate_per_s: float) -> float:
        """Return the time until the next permit is available, in seconds."""
        return max(0.0, 1.0 - self.level) / rate_per_s
