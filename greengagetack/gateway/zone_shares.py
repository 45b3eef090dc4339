"""greengagetack.gateway.zone_shares: how many requests leave the availability zone.

Callers' requests stay in their zone unless they wait longer there than elsewhere by
more than the way costs. Each daemon keeps the share of its requests that it sends to
each other zone, and moves it in small steps, since others decide at the same time.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

__all__ = [
    "DECISION_INTERVAL_S",
    "MAX_USED_SHARE",
    "ShareChange",
    "ZoneShares",
    "ZoneView",
    "next_shares",
]

DECISION_INTERVAL_S = 0.5
MAX_STEP = 0.1
# A smaller share is none. A share that decreases does so at least by this, and by the
# second while the own zone has places left.
MIN_STEP = 0.01
MIN_RECOVERY_STEP = 0.03
# Parts of the relative difference of waits by which a share grows and shrinks. A queue
# empties long before daemons know it, so that a fast decrease would fill it again.
GAIN = 1.0
DECREASE_GAIN = 0.15
# While the own zone is used above this, a difference below `HOLD_BAND` is no recovery.
BUSY_USED_SHARE = 0.85
HOLD_BAND = 0.25
# Relative differences of waits below this are noise.
DEAD_BAND = 0.1
# Above this use of its places a zone gets no share: its own callers go first.
MAX_USED_SHARE = 0.7
# Excess of use at which a share is withdrawn as fast as it may be. All daemons withdraw
# at once, so a fast withdrawal at a small excess would also take back what fits.
FULL_EXCESS = 0.2
# Shares grow more slowly above this use, as others' growth is not known at once.
FREE_USED_SHARE = 0.5
# A wait that is below this part of the former one is falling.
FALLING_RATIO = 0.95
# Requests that stay, so that the own zone's wait is known.
MAX_TOTAL_SHARE = 0.8
# Time without requests after which nothing of the shares is left.
MAX_IDLE_S = 5.0


@dataclass(frozen=True, slots=True)
class ZoneView:
    """What a daemon knows of the replicas of a service in one zone.

    Attributes
    ----------
    wait_s : float or None
        Expected time until a request that is sent now is answered, None without a
        usable replica.
    used_share : float
        Share of the zone's places of the service that all daemons use together.
    age_s : float
        Age of the oldest measurement in `wait_s`.
    """

    wait_s: float | None
    used_share: float = 0.0
    age_s: float = 0.0


@dataclass(frozen=True, slots=True)
class ShareChange:
    """A change of a share, with what it was decided from."""

    zone: str
    former: float
    share: float
    own: ZoneView
    other: ZoneView
    cost_s: float


def next_shares(
    shares: Mapping[str, float],
    own: ZoneView,
    others: Mapping[str, ZoneView],
    cost_s: float,
    former_wait_s: float | None = None,
) -> dict[str, float]:
    """Return the shares of the requests to send to each other zone.

    A share moves towards the point where the own zone's wait equals the other's and the
    cost of the way. All increases together are limited as one is, so that a neighbour
    is not flooded since there are many zones. Shares do not grow while the own zone's
    wait falls: the queue there is emptying already.

    Parameters
    ----------
    former_wait_s : float or None
        The own zone's wait at the previous decision, None if it is not known.
    """
    if own.wait_s is None:
        # All requests leave, whatever the shares are.
        return dict(shares)
    is_falling = (
        former_wait_s is not None and own.wait_s < FALLING_RATIO * former_wait_s
    )
    steps = {
        zone: _step(shares.get(zone, 0.0), own, view, cost_s, is_falling)
        for zone, view in others.items()
    }
    room = max(0.0, MAX_TOTAL_SHARE - sum(shares.get(zone, 0.0) for zone in others))
    increase = sum(step for step in steps.values() if step > 0)
    factor = min(1.0, room / increase) if increase > 0 else 1.0
    changed: dict[str, float] = {}
    for zone, step in steps.items():
        share = shares.get(zone, 0.0) + (step * factor if step > 0 else step)
        if share >= MIN_STEP:
            changed[zone] = share
    return changed


def _step(
    share: float, own: ZoneView, other: ZoneView, cost_s: float, is_falling: bool
) -> float:
    if other.wait_s is None or own.wait_s is None:
        return -share
    excess = other.used_share - MAX_USED_SHARE
    if excess > 0:
        part = min(1.0, excess / FULL_EXCESS) ** 2
        return -min(MAX_STEP, max(MIN_STEP, part * share))
    gain_s = own.wait_s - other.wait_s - cost_s
    relative = gain_s / max(own.wait_s, other.wait_s)
    if relative <= 0:
        is_busy = own.used_share > BUSY_USED_SHARE
        if is_busy and relative > -HOLD_BAND:
            return 0.0
        has_places = own.used_share < FREE_USED_SHARE
        least = MIN_RECOVERY_STEP if has_places else MIN_STEP
        return -min(MAX_STEP, max(least, -DECREASE_GAIN * relative))
    if relative < DEAD_BAND or is_falling:
        return 0.0
    headroom = (MAX_USED_SHARE - other.used_share) / (MAX_USED_SHARE - FREE_USED_SHARE)
    return min(MAX_STEP, GAIN * relative) * min(1.0, max(0.0, headroom))


class ZoneShares:
    """The shares of one service, decided from the averages of what was observed."""

    def __init__(self) -> None:
        self.shares: dict[str, float] = {}
        self.waits_s: dict[str, float | None] = {}
        self._samples: dict[str, list[ZoneView]] = {}
        self.decided_s = float("-inf")

    def in_force(self, now_s: float) -> dict[str, float]:
        """Return the shares that the next request finds."""
        is_idle = now_s - self.decided_s > MAX_IDLE_S
        return {} if is_idle else dict(self.shares)

    def observe(
        self, now_s: float, zone: str, views: Mapping[str, ZoneView], cost_s: float
    ) -> list[ShareChange]:
        """Add a view of all zones; return the changes if a decision is due."""
        if now_s - self.decided_s > MAX_IDLE_S:
            self.shares = {}
            self.waits_s = {}
            self._samples = {}
            self.decided_s = now_s
        for name, view in views.items():
            self._samples.setdefault(name, []).append(view)
        if now_s - self.decided_s < DECISION_INTERVAL_S:
            return []
        self.decided_s = now_s
        means = {
            name: _mean_view(self._samples[name])
            for name in views
            if name in self._samples
        }
        self._samples = {}
        former_wait_s = self.waits_s.get(zone)
        self.waits_s = {name: view.wait_s for name, view in means.items()}
        own = means.pop(zone, ZoneView(None))
        former = self.shares
        self.shares = next_shares(former, own, means, cost_s, former_wait_s)
        return [
            ShareChange(
                name,
                former.get(name, 0.0),
                self.shares.get(name, 0.0),
                own,
                view,
                cost_s,
            )
            for name, view in means.items()
            if former.get(name, 0.0) != self.shares.get(name, 0.0)
        ]

    def pick(self, draw: float, zones: Iterable[str]) -> str | None:
        """Return the other zone for a request, None for the own one.

        Parameters
        ----------
        draw : float
            A random number from 0 to 1.
        """
        for name in zones:
            draw -= self.shares.get(name, 0.0)
            if draw < 0:
                return name
        return None


def _mean_view(views: list[ZoneView]) -> ZoneView:
    """Return the mean of views, without a wait if half of them have none."""
    waits_s = [view.wait_s for view in views if view.wait_s is not None]
    is_usable = len(waits_s) * 2 > len(views)
    return ZoneView(
        sum(waits_s) / len(waits_s) if is_usable else None,
        sum(view.used_share for view in views) / len(views),
        max(view.age_s for view in views),
    )
