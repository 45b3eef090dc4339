"""greengagetack.batches.engine_properties: configured properties of engines."""

__all__ = ["DEFAULT_SLOTS", "EngineProperties"]

DEFAULT_SLOTS = 8
# Assumed for a service without a configured memory size.
UNLIMITED_MEMORY_TOKENS = 1 << 40


class EngineProperties:
    """Configured properties of the engines of each service."""

    def __init__(self) -> None:
        self.memory_tokens: dict[str, int] = {}
        self.tokens_per_event: dict[str, int] = {}

    def tokens_per_event_of(self, service: str) -> int:
        """Return the number of tokens per event in a service's streams."""
        return self.tokens_per_event.get(service, 1) or 1

    def memory_tokens_of(self, service: str) -> int:
        """Return the memory of an engine of a service, in tokens."""
        return self.memory_tokens.get(service, UNLIMITED_MEMORY_TOKENS)
