"""bench.plot: draws docs/measurements.png from the JSON of `bench.measure`."""

import statistics
from pathlib import Path
from typing import Any

import click
import matplotlib
import msgspec

__all__ = ["main"]

FIGURES = (
    ("idle_to_ideal", "trainer idle time / ideal bound"),
    ("wasted_share", "share of tokens wasted"),
    ("lookup_p99_ms", "look-up, 99th percentile (ms)"),
    ("completion_p99_ms", "caller completion, 99th percentile (ms)"),
)
DEFAULT_OUTPUT = "docs/measurements.png"
BAR_WIDTH = 0.8
# Left, bottom, right and top edges as shares of the image.
LAYOUT_RECTANGLE = (0.0, 0.0, 1.0, 0.98)
PANEL_WIDTH_INCHES = 9.0
PANEL_HEIGHT_INCHES = 2.8


def read_rounds(paths: tuple[str, ...]) -> list[dict[str, Any]]:
    """Return the completed rounds of all files."""
    rounds = []
    for path in paths:
        document = msgspec.json.decode(Path(path).read_bytes())
        rounds += [item for item in document["rounds"] if item["figures"]]
    return rounds


def values_of(
    rounds: list[dict[str, Any]], label: str, policy: str, figure: str
) -> list[float]:
    """Return the values of a figure from all repetitions."""
    return [
        item["figures"][figure]
        for item in rounds
        if label_of(item) == label and item["policy"] == policy
    ]


def label_of(item: dict[str, Any]) -> str:
    """Return the label of a round's shape and scenario."""
    return f"{item['scenario']}, {item['shape']}"


def draw_panel(axes: Any, rounds: list[dict[str, Any]], figure: str) -> None:
    """Draw the medians as bars and the ranges as error bars."""
    labels = list(dict.fromkeys(label_of(item) for item in rounds))
    policies = list(dict.fromkeys(item["policy"] for item in rounds))
    width = BAR_WIDTH / len(policies)
    for number, policy in enumerate(policies):
        positions, medians, below, above = [], [], [], []
        for position, label in enumerate(labels):
            values = values_of(rounds, label, policy, figure)
            if not values:
                continue
            median = statistics.median(values)
            positions.append(position + (number + 0.5) * width - BAR_WIDTH / 2)
            medians.append(median)
            below.append(median - min(values))
            above.append(max(values) - median)
        axes.bar(positions, medians, width, yerr=(below, above), label=policy)
    axes.set_xticks(range(len(labels)), labels, fontsize=6, rotation=60)


@click.command()
@click.argument("paths", nargs=-1, required=True)
@click.option("--output", default=DEFAULT_OUTPUT, help="Image to write.")
def main(paths: tuple[str, ...], output: str) -> None:
    """Draw the rounds of the JSON files PATHS."""
    matplotlib.use("Agg")
    from matplotlib import pyplot

    rounds = read_rounds(paths)
    size = (PANEL_WIDTH_INCHES, PANEL_HEIGHT_INCHES * len(FIGURES))
    drawing, panels = pyplot.subplots(len(FIGURES), 1, figsize=size)
    for axes, (figure, title) in zip(panels, FIGURES, strict=True):
        draw_panel(axes, rounds, figure)
        axes.set_title(title, fontsize=9)
    drawing.legend(*panels[0].get_legend_handles_labels(), ncols=4, fontsize=7)
    drawing.tight_layout(rect=LAYOUT_RECTANGLE)
    drawing.savefig(output, dpi=100)


if __name__ == "__main__":
    main()
