"""bench.report: prints the JSON of `bench.measure` as Markdown tables."""

import statistics
from typing import Any

import click

from bench.plot import read_rounds

__all__ = ["main"]

COLUMNS = (
    ("idle share", "idle_share", "{:.2f}"),
    ("idle / ideal", "idle_to_ideal", "{:.2f}"),
    ("step s", "step_mean_s", "{:.2f}"),
    ("stale versions mean", "staleness_mean_versions", "{:.2f}"),
    ("max", "staleness_max_versions", "{:.0f}"),
    ("stale s max", "staleness_max_s", "{:.1f}"),
    ("wasted", "wasted_share", "{:.3f}"),
    ("doubled", "doubled", "{:.0f}"),
    ("missing", "missing", "{:.0f}"),
    ("beyond bound", "beyond_bound", "{:.0f}"),
    ("look-up p50 ms", "lookup_median_ms", "{:.0f}"),
    ("p99", "lookup_p99_ms", "{:.0f}"),
    ("completion p50 ms", "completion_median_ms", "{:.0f}"),
    ("p99", "completion_p99_ms", "{:.0f}"),
    ("failed calls", "failed_calls", "{:.0f}"),
    ("sent per request", "attempts_per_request", "{:.2f}"),
    ("flood / bound", "flood_to_bound", "{:.2f}"),
)


def format_cell(rounds: list[dict[str, Any]], name: str, layout: str) -> str:
    """Return the median and range of a figure, or one number if they are equal."""
    values = [item["figures"][name] for item in rounds]
    middle = layout.format(statistics.median(values))
    low, high = layout.format(min(values)), layout.format(max(values))
    return middle if low == high else f"{middle} ({low}–{high})"


def format_table(rounds: list[dict[str, Any]]) -> list[str]:
    """Return the lines of the table for one shape and scenario."""
    titles = [title for title, _, _ in COLUMNS]
    lines = [
        "| policy | " + " | ".join(titles) + " |",
        "| --- |" + " --- |" * len(titles),
    ]
    for policy in dict.fromkeys(item["policy"] for item in rounds):
        policy_rounds = [item for item in rounds if item["policy"] == policy]
        cells = [
            format_cell(policy_rounds, name, layout) for _, name, layout in COLUMNS
        ]
        lines.append(
            f"| {policy}, {len(policy_rounds)} rounds | " + " | ".join(cells) + " |"
        )
    return lines


@click.command()
@click.argument("paths", nargs=-1, required=True)
def main(paths: tuple[str, ...]) -> None:
    """Print the rounds of the JSON files PATHS."""
    rounds = read_rounds(paths)
    places = dict.fromkeys((item["shape"], item["scenario"]) for item in rounds)
    for shape, scenario in places:
        selected = [
            item
            for item in rounds
            if item["shape"] == shape and item["scenario"] == scenario
        ]
        print(f"### {shape}, {scenario}\n")
        print("\n".join(format_table(selected)) + "\n")
        for item in selected:
            for fault in item["faults"]:
                print(f"- {item['policy']}, seed {item['seed']}: {fault[:160]}")


if __name__ == "__main__":
    main()
