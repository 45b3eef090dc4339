"""bench.report: prints the JSON of `bench.measure` as tables in Markdown."""

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


def cell(rounds: list[dict[str, Any]], name: str, layout: str) -> str:
    """Return median and range of a figure, one number if they are the same."""
    values = [item["figures"][name] for item in rounds]
    middle = layout.format(statistics.median(values))
    low, high = layout.format(min(values)), layout.format(max(values))
    return middle if low == high else f"{middle} ({low}–{high})"


def table(rounds: list[dict[str, Any]]) -> list[str]:
    """Return the lines of the table of one shape and scenario."""
    titles = [title for title, _, _ in COLUMNS]
    lines = [
        "| policy | " + " | ".join(titles) + " |",
        "| --- |" + " --- |" * len(titles),
    ]
    for policy in dict.fromkeys(item["policy"] for item in rounds):
        mine = [item for item in rounds if item["policy"] == policy]
        cells = [cell(mine, name, layout) for _, name, layout in COLUMNS]
        lines.append(f"| {policy}, {len(mine)} rounds | " + " | ".join(cells) + " |")
    return lines


@click.command()
@click.argument("paths", nargs=-1, required=True)
def main(paths: tuple[str, ...]) -> None:
    """Print the rounds of the JSON files PATHS."""
    rounds = read_rounds(paths)
    places = dict.fromkeys((item["shape"], item["scenario"]) for item in rounds)
    for shape, scenario in places:
        here = [
            item
            for item in rounds
            if item["shape"] == shape and item["scenario"] == scenario
        ]
        print(f"### {shape}, {scenario}\n")
        print("\n".join(table(here)) + "\n")
        for item in here:
            for fault in item["faults"]:
                print(f"- {item['policy']}, seed {item['seed']}: {fault[:160]}")


if __name__ == "__main__":
    main()
