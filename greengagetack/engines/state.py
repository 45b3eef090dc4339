"""greengagetack.engines.state: requests to engines and the state that they report."""

import enum
from dataclasses import dataclass

__all__ = [
    "CacheEvent",
    "CacheEvents",
    "EngineLoad",
    "EngineState",
    "Finish",
    "Generate",
    "ModelVersions",
    "Order",
    "OrderKind",
]


@dataclass(frozen=True, slots=True)
class Generate:
    """A request to an engine for a completion.

    `request_id` makes the request idempotent: the engine never runs the same
    identifier twice. `resume_from` is the number of tokens already received.
    """

    request_id: str
    model: str
    prompt: str
    max_tokens: int
    seed: int
    priority: int = 0
    resume_from: int = 0


@dataclass(frozen=True, slots=True)
class Finish:
    """The normal end of a completion."""

    reason: str


@dataclass(frozen=True, slots=True)
class EngineLoad:
    """Load reported by an engine; `measured_at_s` is a time of the engine's clock."""

    running: int = 0
    waiting: int = 0
    slots: int = 0
    tokens_per_s: float = 0.0
    measured_at_s: float = 0.0


@dataclass(frozen=True, slots=True)
class ModelVersions:
    """Weight versions of one model at an engine."""

    model: str
    active: int
    prefetched: tuple[int, ...] = ()


@dataclass(frozen=True, slots=True)
class EngineState:
    """Loaded models and adapters, as read back from an engine."""

    models: tuple[ModelVersions, ...] = ()
    adapters: tuple[str, ...] = ()
    role: str = ""
    fencing_number: int = 0

    def versions(self, model: str) -> ModelVersions | None:
        """Return the versions of a model, None if it is not loaded."""
        for versions in self.models:
            if versions.model == model:
                return versions
        return None


class OrderKind(enum.StrEnum):
    """Kinds of orders to an engine."""

    PREFETCH = "prefetch"
    ACTIVATE = "activate"
    LOAD_ADAPTER = "load_adapter"
    ROLE = "role"


@dataclass(frozen=True, slots=True)
class Order:
    """An order to an engine; `fencing_number` fences off former keepers."""

    kind: OrderKind
    fencing_number: int
    model: str = ""
    version: int = 0
    adapter: str = ""
    role: str = ""


@dataclass(frozen=True, slots=True)
class CacheEvent:
    """A prompt prefix that the engine stored or evicted."""

    sequence: int
    kind: str
    prefix_hash: str


@dataclass(frozen=True, slots=True)
class CacheEvents:
    """Cache events after a sequence number; they arrive late and with gaps."""

    next: int = 0
    events: tuple[CacheEvent, ...] = ()
