"""bench.capacity.__main__: measures cost by size and predicts the largest size."""

import subprocess
import sys
from collections.abc import Callable
from dataclasses import dataclass

import msgspec
from loguru import logger

from bench.capacity.cell_cost import (
    IdleCost,
    LossCost,
    measure_idle,
    measure_lead_loss,
)
from bench.capacity.fit import Series
from bench.capacity.lead_process import measure_lead, run_lead

__all__ = ["main"]

MEMBER_SIZES = (3, 10, 30, 100)
SHARD_SIZES = (16, 64, 256, 1024)
SHARD_MEMBERS = 6
TARGET_MEMBERS = 95


@dataclass(frozen=True, slots=True)
class Quantity:
    """A measured quantity: its name, unit and value in a result."""

    name: str
    unit: str
    value: Callable[[IdleCost], float]


QUANTITIES = (
    Quantity("table object", "bytes", lambda cost: cost.table_bytes),
    Quantity("lead sends", "bytes/s", lambda cost: cost.lead_sent_bytes_per_s),
    Quantity("member sends", "bytes/s", lambda cost: cost.member_sent_bytes_per_s),
    Quantity("processor, all members", "ms/s", lambda cost: cost.cpu_ms_per_s),
    Quantity("platform reads", "1/s", lambda cost: cost.platform_reads_per_s),
    Quantity("platform writes", "1/s", lambda cost: cost.platform_writes_per_s),
    Quantity("resident, all members", "KB", lambda cost: cost.resident_kb),
)


def run_in_subprocess(kind: str, *arguments: int) -> bytes:
    """Run a measurement in a new process, so that no earlier memory is counted."""
    command = [sys.executable, "-m", "bench.capacity", kind, *map(str, arguments)]
    return subprocess.run(command, check=True, capture_output=True).stdout


def measure_idle_in_subprocess(members: int, shards: int) -> IdleCost:
    """Measure an idle cell in a new process."""
    return msgspec.json.decode(
        run_in_subprocess("calm", members, shards), type=IdleCost
    )


def measure_loss_in_subprocess(members: int) -> LossCost:
    """Measure the loss of the lead in a new process."""
    return msgspec.json.decode(run_in_subprocess("loss", members), type=LossCost)


def print_slopes(
    title: str, sizes: tuple[int, ...], costs: list[IdleCost], target_size: int | None
) -> None:
    """Print the points, fitted line and prediction of each quantity."""
    print(f"\n## {title}\n")
    for quantity in QUANTITIES:
        values = tuple(quantity.value(cost) for cost in costs)
        series = Series(
            quantity.name, quantity.unit, tuple(float(n) for n in sizes), values
        )
        smaller_line = series.without_largest().line()
        line = series.line()
        points = ", ".join(
            f"{size:g}: {value:.4g}" for size, value in zip(sizes, values, strict=True)
        )
        print(f"{quantity.name} [{quantity.unit}]: {points}")
        print(
            f"  line {line.offset:.4g} + {line.slope:.4g} n, "
            f"largest residual {line.max_residual:.3g}"
        )
        print(
            f"  predicted for {sizes[-1]} from the smaller ones "
            f"{smaller_line.at(sizes[-1]):.4g}, measured {values[-1]:.4g}"
        )
        if target_size is not None:
            print(f"  at {target_size}: {line.at(target_size):.4g}")


def print_prediction(sizes: tuple[int, ...], costs: list[IdleCost]) -> None:
    """Print the values for the largest size as predicted from the smaller sizes."""
    for quantity in QUANTITIES:
        values = tuple(quantity.value(cost) for cost in costs)
        sizes_run = tuple(float(size) for size in sizes[: len(values)])
        line = Series(quantity.name, quantity.unit, sizes_run, values).line()
        predicted = line.at(sizes[-1])
        print(f"  {quantity.name}: {predicted:.4g} {quantity.unit}", flush=True)


def measure_sizes(
    title: str, sizes: tuple[int, ...], measure: Callable[[int], IdleCost]
) -> list[IdleCost]:
    """Measure the smaller sizes, print the prediction, then measure the largest."""
    costs = [measure(size) for size in sizes[:-1]]
    print(f"\nprediction for {title} {sizes[-1]}, before it runs:")
    print_prediction(sizes, costs)
    costs.append(measure(sizes[-1]))
    return costs


def main(arguments: list[str]) -> int:
    """Run the measurement that `arguments` name, or all without arguments."""
    logger.remove()
    if arguments[:1] == ["calm"]:
        cost = measure_idle(int(arguments[1]), int(arguments[2]))
        print(msgspec.json.encode(cost).decode())
        return 0
    if arguments[:1] == ["loss"]:
        print(msgspec.json.encode(measure_lead_loss(int(arguments[1]))).decode())
        return 0
    if arguments[:1] == ["lead"]:
        run_lead(int(arguments[1]), arguments[2])
        return 0
    print("All members of a cell run in one process; each size runs in a new process.")
    costs = measure_sizes(
        "members", MEMBER_SIZES, lambda size: measure_idle_in_subprocess(size, 16)
    )
    print_slopes("Members of a cell, 16 shards", MEMBER_SIZES, costs, TARGET_MEMBERS)
    costs = measure_sizes(
        "shards",
        SHARD_SIZES,
        lambda size: measure_idle_in_subprocess(SHARD_MEMBERS, size),
    )
    print_slopes(f"Shards, {SHARD_MEMBERS} members", SHARD_SIZES, costs, None)
    print("\n## The lead alone\n")
    leads = [measure_lead(size) for size in MEMBER_SIZES]
    for name, unit, values in (
        ("processor", "ms/s", [cost.cpu_ms_per_s for cost in leads]),
        ("sends", "bytes/s", [cost.sent_bytes_per_s for cost in leads]),
        ("receives", "bytes/s", [cost.received_bytes_per_s for cost in leads]),
    ):
        series = Series(
            name, unit, tuple(float(n) for n in MEMBER_SIZES), tuple(values)
        )
        line = series.line()
        predicted = series.without_largest().line().at(MEMBER_SIZES[-1])
        print(
            f"{name} [{unit}]: {', '.join(f'{value:.4g}' for value in values)}; "
            f"line {line.offset:.4g} + {line.slope:.4g} n, largest residual "
            f"{line.max_residual:.3g}; predicted for {MEMBER_SIZES[-1]} "
            f"{predicted:.4g}; at {TARGET_MEMBERS}: {line.at(TARGET_MEMBERS):.4g}",
            flush=True,
        )
    print("\n## Loss of the lead\n")
    for size in MEMBER_SIZES:
        loss = measure_loss_in_subprocess(size)
        print(
            f"{size} members: new lead after {loss.new_lead_s:.2f} s, "
            f"whole after {loss.whole_s:.2f} s, platform reads "
            f"{loss.platform_reads}, writes {loss.platform_writes}"
        )
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
