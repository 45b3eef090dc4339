"""bench.audit_log: what trainers, callers, operators and stand-ins observed."""

from dataclasses import dataclass, field

__all__ = [
    "AcceptedSetting",
    "AppliedOrder",
    "CallAttempt",
    "CallerAnswer",
    "DeliveredSample",
    "EngineRun",
    "LeavingNotice",
    "PlannedStop",
    "ServiceRun",
    "ObservedSetting",
    "SoakLog",
]


@dataclass(frozen=True, slots=True)
class DeliveredSample:
    """A sample as its trainer received it.

    `identity` is ``team/job/step/group/index``, the prefix of the request
    identifiers sent to engines. `versions` lists the weight versions in the order
    of the tokens. `trainer_version` is the version stated in the fetch request.
    """

    identity: str
    prompt: str
    seed: int
    max_tokens: int
    text: str
    versions: tuple[int, ...]
    trainer_version: int
    staleness_bound: int
    endpoint_id: str


@dataclass(frozen=True, slots=True)
class EngineRun:
    """A generation in an engine's log; `arrived_at_s` is wall-clock time."""

    endpoint_id: str
    request_id: str
    versions: tuple[int, ...]
    generated: int
    arrived_at_s: float


@dataclass(frozen=True, slots=True)
class ServiceRun:
    """A call in a plain service's log of the calls that it ran."""

    endpoint_id: str
    request_id: str
    idempotency_key: str


@dataclass(frozen=True, slots=True)
class CallAttempt:
    """One attempt of a non-idempotent call as its caller saw it.

    `outcome` is ``done``, ``not_run``, ``unknown`` or ``lost``; `code` is the error
    code. `entry_vm_id` is the daemon that was called. Times are wall-clock seconds.
    """

    request_id: str
    idempotency_key: str
    outcome: str
    booking: str = ""
    code: str = ""
    entry_vm_id: str = ""
    started_at_s: float = 0.0
    ended_at_s: float = 0.0


@dataclass(frozen=True, slots=True)
class CallerAnswer:
    """A completion as its caller saw it; `cut` means that the stream broke off.

    `entry_vm_id` is the daemon that was called. Times are wall-clock seconds.
    """

    request_id: str
    prompt: str
    seed: int
    max_tokens: int
    text: str
    cut: bool
    entry_vm_id: str
    started_at_s: float
    ended_at_s: float


@dataclass(frozen=True, slots=True)
class ObservedSetting:
    """The version of a settings path that a daemon had in force when polled."""

    vm_id: str
    path: str
    version: int


@dataclass(frozen=True, slots=True)
class AcceptedSetting:
    """A settings change whose acceptance was confirmed to an operator.

    `mark` identifies the content of the change.
    """

    path: str
    version: int
    mark: str


@dataclass(frozen=True, slots=True)
class AppliedOrder:
    """An order that an engine applied; orders are kept in log order."""

    endpoint_id: str
    fencing_number: int


@dataclass(frozen=True, slots=True)
class LeavingNotice:
    """When, in wall-clock seconds, an endpoint was first marked as leaving."""

    endpoint_id: str
    at_s: float


@dataclass(frozen=True, slots=True)
class PlannedStop:
    """A planned stop of a daemon, from SIGTERM to its exit, in wall-clock seconds."""

    vm_id: str
    at_s: float
    ended_at_s: float
    exit_code: int


@dataclass(slots=True)
class SoakLog:
    """Everything that was observed from outside the daemons.

    `requested` holds the identities of all requested samples, `written_settings` the
    marks in the platform's history by path and version, `settings_at_end` what each
    daemon had in force after all faults had ended, and `lost_engine_logs` the
    engines that crashed and thereby lost a log.
    """

    requested: list[str] = field(default_factory=list)
    delivered: list[DeliveredSample] = field(default_factory=list)
    engine_runs: list[EngineRun] = field(default_factory=list)
    lost_engine_logs: list[str] = field(default_factory=list)
    service_runs: list[ServiceRun] = field(default_factory=list)
    attempts: list[CallAttempt] = field(default_factory=list)
    answers: list[CallerAnswer] = field(default_factory=list)
    observed_settings: list[ObservedSetting] = field(default_factory=list)
    settings_at_end: list[ObservedSetting] = field(default_factory=list)
    accepted: list[AcceptedSetting] = field(default_factory=list)
    written_settings: dict[tuple[str, int], str] = field(default_factory=dict)
    orders: list[AppliedOrder] = field(default_factory=list)
    leaving_notices: list[LeavingNotice] = field(default_factory=list)
    planned_stops: list[PlannedStop] = field(default_factory=list)
