"""greengagetack.limits.messages: how keepers share a team's bound."""

from dataclasses import dataclass

from greengagetack.peers.codec import message

__all__ = [
    "GetUsage",
    "HeldPermits",
    "PermitShare",
    "SharePermits",
    "Slice",
    "SliceReport",
    "SliceReports",
    "TakeSlice",
    "TeamUsage",
    "TellPermits",
]


@message("take-slice")
@dataclass(frozen=True, slots=True)
class TakeSlice:
    """Ask the owner of a team's budget for tokens.

    `slice_id` is made by the asking keeper; the same one gets the same slice
    again. At least `need_tokens` are useful, `want_tokens` are welcome.
    """

    team: str
    slice_id: str
    need_tokens: int
    want_tokens: int


@message("slice")
@dataclass(frozen=True, slots=True)
class Slice:
    """Tokens that a keeper may spend for a team.

    `life_s` counts from when the keeper sent its question, so that the slice
    ends there before it ends at the owner.
    """

    slice_id: str
    tokens: int
    life_s: float


@message("slice-report")
@dataclass(frozen=True, slots=True)
class SliceReport:
    """What was spent of a slice; a `final` one gives the rest back."""

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
class SharePermits:
    """Ask for permits for a team's concurrent requests.

    `held` is what the asking keeper was last given, `in_use` how many of them
    stand for requests in flight, `wanted` how many it could use.
    """

    team: str
    holder: str
    held: int
    in_use: int
    wanted: int


@message("permit-share")
@dataclass(frozen=True, slots=True)
class PermitShare:
    """Concurrent requests that a keeper may have for a team, for `life_s`."""

    permits: int
    life_s: float


@message("tell-permits")
@dataclass(frozen=True, slots=True)
class TellPermits:
    """Ask a keeper which permits it holds for a team."""

    team: str


@message("held-permits")
@dataclass(frozen=True, slots=True)
class HeldPermits:
    """Permits that a keeper holds for a team, and how many are in use."""

    holder: str
    held: int
    in_use: int


@message("get-usage")
@dataclass(frozen=True, slots=True)
class GetUsage:
    """Ask the owner of a team's budget how it stands."""

    team: str


@message("team-usage")
@dataclass(frozen=True, slots=True)
class TeamUsage:
    """How a team's budget stands.

    `spent_tokens` includes what lost keepers may have spent; `granted_tokens`
    is what keepers hold besides. `forecast_tokens` is the spend at the end of
    the period if it goes on as it does now.
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
