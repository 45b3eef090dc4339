"""bench.audit_log: what trainers, callers, stand-ins and operators saw."""

from dataclasses import dataclass, field

__all__ = [
    "AcceptedSetting",
    "AppliedOrder",
    "CallAttempt",
    "CallerAnswer",
    "DeliveredSample",
    "EngineRun",
    "LeavingSign",
    "PlannedStop",
    "ServiceRun",
    "SettingSeen",
    "SoakLog",
]


@dataclass(frozen=True, slots=True)
class DeliveredSample:
    """A sample as its trainer received it.

    `identity` is ``team/job/step/group/index`` as the engine was told it,
    `versions` the named weight versions in the order of the tokens and
    `trainer_version` what the trainer stated in the fetch.
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
    """A generation in an engine's own log; `arrived_at_s` is wall-clock time."""

    endpoint_id: str
    request_id: str
    versions: tuple[int, ...]
    generated: int
    arrived_at_s: float


@dataclass(frozen=True, slots=True)
class ServiceRun:
    """A call that a plain service ran, in its own log."""

    endpoint_id: str
    request_id: str
    idempotency_key: str


@dataclass(frozen=True, slots=True)
class CallAttempt:
    """An attempt of a call that is not idempotent, as its caller saw it.

    `outcome` is ``done``, ``not_run``, ``unknown`` or ``lost``, `code` that of
    the error; `entry_vm_id` names the daemon asked, times are wall-clock seconds.
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
    """A completion as its caller saw it; `cut` if it broke off.

    Times are wall-clock seconds, `entry_vm_id` names the daemon asked.
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
class SettingSeen:
    """A version of a settings path that a daemon had in force when asked."""

    vm_id: str
    path: str
    version: int


@dataclass(frozen=True, slots=True)
class AcceptedSetting:
    """A change that the system told an operator it had accepted."""

    path: str
    version: int
    mark: str


@dataclass(frozen=True, slots=True)
class AppliedOrder:
    """An order that an engine carried out, in the order of its log."""

    endpoint_id: str
    fencing_number: int


@dataclass(frozen=True, slots=True)
class LeavingSign:
    """The first sign, in wall-clock seconds, that an endpoint leaves."""

    endpoint_id: str
    at_s: float


@dataclass(frozen=True, slots=True)
class PlannedStop:
    """A daemon that was told to stop, between two wall-clock times."""

    vm_id: str
    at_s: float
    ended_at_s: float
    exit_code: int


@dataclass(slots=True)
class SoakLog:
    """Everything that was seen from outside.

    `asked` are the identities of all samples that were asked for,
    `written_settings` the marks in the platform's own history by path and version,
    `settings_at_end` what each daemon had in force once all faults were over,
    `lost_engine_logs` the engines of which a log died with them.
    """

    asked: list[str] = field(default_factory=list)
    delivered: list[DeliveredSample] = field(default_factory=list)
    engine_runs: list[EngineRun] = field(default_factory=list)
    lost_engine_logs: list[str] = field(default_factory=list)
    service_runs: list[ServiceRun] = field(default_factory=list)
    attempts: list[CallAttempt] = field(default_factory=list)
    answers: list[CallerAnswer] = field(default_factory=list)
    settings_seen: list[SettingSeen] = field(default_factory=list)
    settings_at_end: list[SettingSeen] = field(default_factory=list)
    accepted: list[AcceptedSetting] = field(default_factory=list)
    written_settings: dict[tuple[str, int], str] = field(default_factory=dict)
    orders: list[AppliedOrder] = field(default_factory=list)
    leaving: list[LeavingSign] = field(default_factory=list)
    planned_stops: list[PlannedStop] = field(default_factory=list)
