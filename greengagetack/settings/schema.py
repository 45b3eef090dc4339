"""greengagetack.settings.schema: data classes of all settings."""

from dataclasses import dataclass, field

from greengagetack.world import Address, Endpoint

__all__ = [
    "AdmissionSettings",
    "BudgetSettings",
    "DataFolderSettings",
    "FleetSettings",
    "LogSettings",
    "ModelSettings",
    "PolicySettings",
    "RolloutSettings",
    "RoutingSettings",
    "ServiceSettings",
    "TeamSettings",
    "TlsSettings",
    "VmSettings",
]

DEFAULT_ROLES = ("lead", "keeper", "owner", "entry")


@dataclass(frozen=True, slots=True)
class TlsSettings:
    """PEM files for mutual TLS on peer links."""

    certificate_file: str
    key_file: str
    authority_file: str


@dataclass(frozen=True, slots=True)
class LogSettings:
    """Log level and format."""

    level: str = "INFO"
    as_json: bool = False


@dataclass(frozen=True, slots=True)
class DataFolderSettings:
    """Folder for snapshots, on a small disk, and the interval between them."""

    path: str
    interval_s: float = 10.0


@dataclass(frozen=True, slots=True)
class VmSettings:
    """The settings file of one daemon (``vm.jsonc``)."""

    vm_id: str
    availability_zone: str
    cell: str
    platform_url: str
    peer: Address = Address("127.0.0.1", 0)
    http: Address = Address("127.0.0.1", 0)
    roles: tuple[str, ...] = DEFAULT_ROLES
    platform_token_file: str | None = None
    tls: TlsSettings | None = None
    log: LogSettings = LogSettings()
    data_folder: DataFolderSettings | None = None


@dataclass(frozen=True, slots=True)
class RoutingSettings:
    """The routing policy that chooses endpoints, and its parameters."""

    policy: str = "affinity"
    probes: int = 3
    ejection_s: float = 5.0
    slow_factor: float = 3.0


@dataclass(frozen=True, slots=True)
class AdmissionSettings:
    """Queue limits and the share of each engine reserved for callers."""

    queue_limit: int = 512
    caller_reserve_ratio: float = 0.25
    max_retry_after_s: float = 30.0


@dataclass(frozen=True, slots=True)
class RolloutSettings:
    """Parameters of the rollout scheduler."""

    hedge_waste_ratio: float = 0.02
    straggler_factor: float = 3.0
    order: str = "longest-first"
    retention_s: float = 600.0


@dataclass(frozen=True, slots=True)
class ModelSettings:
    """A model that engines serve."""

    name: str
    switch_wave_ratio: float = 0.34
    prefetch_concurrency: int = 2


@dataclass(frozen=True, slots=True)
class ServiceSettings:
    """An HTTP service; methods not in `idempotent_methods` run at most once."""

    name: str
    timeout_s: float = 10.0
    idempotent_methods: tuple[str, ...] = ("GET", "HEAD", "PUT", "DELETE")


@dataclass(frozen=True, slots=True)
class FleetSettings:
    """The subtree ``/fleet``, owned by the operators of the fleet."""

    endpoints: tuple[Endpoint, ...] = ()
    models: tuple[ModelSettings, ...] = ()
    services: tuple[ServiceSettings, ...] = ()
    shard_count: int = 16
    key_retention_s: float = 86_400.0
    routing: RoutingSettings = RoutingSettings()
    admission: AdmissionSettings = AdmissionSettings()
    rollouts: RolloutSettings = RolloutSettings()
    operator_token_hashes: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class BudgetSettings:
    """A team's limits: tokens per period and concurrent requests."""

    tokens_per_period: int = 1_000_000_000
    period_s: float = 86_400.0
    concurrent_requests: int = 1_024
    warn_ratio: float = 0.8


@dataclass(frozen=True, slots=True)
class PolicySettings:
    """How many versions a model's answers may be behind the trainer."""

    model: str
    max_staleness_versions: int = 1


@dataclass(frozen=True, slots=True)
class TeamSettings:
    """The subtree ``/teams/<team>``, owned by that team.

    `token_hashes` are ``sha256:<hexadecimal>`` of the team's bearer tokens.
    `weight` is the team's weight in fair queueing; `budget` holds its limits.
    """

    team: str
    token_hashes: tuple[str, ...] = ()
    weight: float = 1.0
    budget: BudgetSettings = BudgetSettings()
    retry_ratio: float = 0.1
    policies: tuple[PolicySettings, ...] = field(default=())
    models: tuple[str, ...] = ()
    services: tuple[str, ...] = ()
