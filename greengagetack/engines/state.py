"""greengagetack.engines.state: what engines are asked and what they tell."""

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
    """A completion as an engine is asked for it.

    `request_id` identifies the work at the engine, which never runs the same
    identifier twice; `resume_from` counts the tokens already received.
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
    """Load as the engine reports it, `measured_at_s` on the engine's clock."""

    running: int = 0
    waiting: int = 0
    slots: int = 0
    tokens_per_s: float = 0.0
    measured_at_s: float = 0.0


@dataclass(frozen=True, slots=True)
class ModelVersions:
    """Versions of one model at an engine."""

    model: str
    active: int
    prefetched: tuple[int, ...] = ()


@dataclass(frozen=True, slots=True)
class EngineState:
    """What an engine has loaded, read back from it."""

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
    """What an engine can be ordered to do."""

    PREFETCH = "prefetch"
    ACTIVATE = "activate"
    LOAD_ADAPTER = "load_adapter"
    ROLE = "role"


@dataclass(frozen=True, slots=True)
class Order:
    """An order to an engine; `fencing_number` tells old keepers from new."""

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
    """Cache events after a sequence number; they come late and with gaps."""

    next: int = 0
    events: tuple[CacheEvent, ...] = ()
