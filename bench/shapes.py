"""bench.shapes: the measured deployments, modelled on those of two users."""

from dataclasses import dataclass

__all__ = ["ENGINE", "SHAPES", "EngineSize", "Shape"]


@dataclass(frozen=True, slots=True)
class EngineSize:
    """Speed of an engine stand-in; `time_scale` multiplies all speeds."""

    slots: int = 8
    prefill_tokens_per_s: float = 4_000.0
    decode_tokens_per_s: float = 50.0
    batch_slowdown: float = 0.5
    activate_s: float = 2.0
    tick_s: float = 0.02
    time_scale: float = 10.0

    @property
    def sequence_tokens_per_s(self) -> float:
        """Speed of a single sequence on an otherwise idle engine."""
        return self.decode_tokens_per_s * self.time_scale

    @property
    def tokens_per_s(self) -> float:
        """Total speed of a full batch."""
        return self.slots * self.sequence_tokens_per_s / (1.0 + self.batch_slowdown)

    def options(self) -> list[str]:
        """Return the command-line options of the engine stand-in."""
        return [
            f"--slots={self.slots}",
            f"--prefill-tokens-per-s={self.prefill_tokens_per_s}",
            f"--decode-tokens-per-s={self.decode_tokens_per_s}",
            f"--batch-slowdown={self.batch_slowdown}",
            f"--activate-s={self.activate_s}",
            f"--tick-s={self.tick_s}",
            f"--time-scale={self.time_scale}",
        ]


ENGINE = EngineSize()


@dataclass(frozen=True, slots=True)
class Shape:
    """Sizes and latencies of a deployment.

    `zone_latency_s` is the one-way latency added at each stand-in and
    `client_latency_s` the one added at callers and trainers.
    """

    name: str
    zones: int
    engines: int
    services: int
    daemons: int
    zone_latency_s: float
    client_latency_s: float

    def zone_of(self, index: int) -> str:
        """Return the availability zone of the VM or endpoint at `index`."""
        return f"zone-{index % self.zones + 1}"


SHAPES = {
    "kestrelmoor": Shape("kestrelmoor", 3, 5, 3, 6, 0.0015, 0.001),
    "quetzal": Shape("quetzal", 4, 5, 4, 8, 0.0005, 0.003),
}
