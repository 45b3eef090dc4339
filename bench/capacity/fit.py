"""bench.capacity.fit: least-squares lines through measured points."""

from dataclasses import dataclass

import numpy as np

__all__ = ["Line", "Series", "fit_line"]


@dataclass(frozen=True, slots=True)
class Line:
    """A least-squares line and the largest absolute residual of its points."""

    slope: float
    offset: float
    max_residual: float

    def at(self, size: float) -> float:
        """Return the value of the line at a size."""
        return self.offset + self.slope * size


@dataclass(frozen=True, slots=True)
class Series:
    """Measured values of one quantity, in the order of `sizes`."""

    name: str
    unit: str
    sizes: tuple[float, ...]
    values: tuple[float, ...]

    def without_largest(self) -> "Series":
        """Return the series without its last size, which is the largest."""
        return Series(self.name, self.unit, self.sizes[:-1], self.values[:-1])

    def line(self) -> Line:
        """Return the least-squares line through all points."""
        return fit_line(self.sizes, self.values)


def fit_line(sizes: tuple[float, ...], values: tuple[float, ...]) -> Line:
    """Return the least-squares line through at least two points."""
    slope, offset = np.polyfit(np.array(sizes), np.array(values), 1)
    fitted = offset + slope * np.array(sizes)
    residual = float(np.max(np.abs(np.array(values) - fitted)))
    return Line(float(slope), float(offset), residual)
