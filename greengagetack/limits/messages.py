"""greengagetack.limits.messages: messages by which keepers share a team's bounds."""

from dataclasses import dataclass

from greengagetack.peers.codec import message

__all__ = [
    "GetHeldPermits",
    "GetUsage",
    "HeldPermits",
    "PermitShare",
    "RequestPermits",
    "RequestSlice",
    "Slice",
    "SliceReport",
    "SliceReports",
    "TeamUsage",
]


@message("take-slice")
@dataclass(frozen=True, slots=True)
class RequestSlice:
    """Request a slice of a team's budget from its owner.

    `slice_id` is chosen by the requesting keeper; a request with the same
    identifier returns the same slice. A slice has at least `need_tokens` and
    at most `want_tokens`.
    """

    team: str
    slice_id: str
    need_tokens: int
    want_tokens: int


@message("slice")
@dataclass(frozen=True, slots=True)
class Slice:
    """Tokens that a keeper may spend for a team.

    `life_s` counts from when the keeper sent its request, so that the slice
    ends at the keeper before it ends at the owner.
    """

    slice_id: str
    tokens: int
    life_s: float


@message("slice-report")
@dataclass(frozen=True, slots=True)
class SliceReport:
    """Tokens spent from a slice; a `final` report returns the rest."""

    slice_id: str
    spent_tokens: int
    final: bool


@message("slice-reports")
@dataclass(frozen=True, slots=True)
class SliceReports:
    """Reports of one team's slices."""

    team: str
    reports: tuple[SliceReport, ...]


@message("share-permits")
@dataclass(frozen=True, slots=True)
class RequestPermits:
    """Request permits for a team's concurrent requests.

    `held` is the number of permits that the requesting keeper was last granted,
    `in_use` the number of its requests in flight, `wanted` the number of permits
    that it could use.
    """

    team: str
    holder: str
    held: int
    in_use: int
    wanted: int


@message("permit-share")
@dataclass(frozen=True, slots=True)
class PermitShare:
    """Number of concurrent requests that a keeper may run, valid for `life_s`."""

    permits: int
    life_s: float


@message("tell-permits")
@dataclass(frozen=True, slots=True)
class GetHeldPermits:
    """Request the number of permits that a keeper holds for a team."""

    team: str


@message("held-permits")
@dataclass(frozen=True, slots=True)
class HeldPermits:
    """Number of permits that a keeper holds for a team, and of those in use."""

    holder: str
    held: int
    in_use: int


@message("get-usage")
@dataclass(frozen=True, slots=True)
class GetUsage:
    """Request the usage of a team's budget from its owner."""

    team: str


@message("team-usage")
@dataclass(frozen=True, slots=True)
class TeamUsage:
    """Usage of a team's budget.

    `spent_tokens` were reported as spent; `granted_tokens` are held by keepers
    besides, including the slices of lost keepers. `forecast_tokens` is the
    spend at the end of the period at the current rate.
    """

    team: str
    bound_tokens: int
    spent_tokens: int
    granted_tokens: int
    forecast_tokens: int
    period_s: float
    period_left_s: float
    tokens_per_s: float
    concurrent_requests: int
    concurrent_bound: int
    warning: bool
    exhausted: bool
