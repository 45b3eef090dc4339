"""bench.figures: the figures of a round from what was seen and logged."""

import statistics
from collections import Counter
from dataclasses import asdict, dataclass, fields
from typing import Any

from bench.callers import Call, CallLog
from bench.trainers import StepRecord
from bench.workload import CALLER_TEAM, TRAINER_TEAMS

__all__ = ["RoundFigures", "Summary", "percentile", "round_figures", "summarise"]


@dataclass(frozen=True, slots=True)
class RoundFigures:
    """Figures of one round; latencies in milliseconds."""

    idle_share: float
    ideal_idle_share: float
    idle_to_ideal: float
    step_mean_s: float
    step_max_s: float
    staleness_mean_versions: float
    staleness_max_versions: float
    staleness_mean_s: float
    staleness_max_s: float
    samples: int
    doubled: int
    missing: int
    wrong: int
    beyond_bound: int
    wasted_share: float
    attempts_per_request: float
    lookup_median_ms: float
    lookup_p99_ms: float
    completion_median_ms: float
    completion_p99_ms: float
    calls: int
    failed_calls: int
    tries_per_call: float
    flood_to_bound: float


@dataclass(frozen=True, slots=True)
class Summary:
    """Median and range of a figure over the repetitions."""

    median: float
    low: float
    high: float


def percentile(values: list[float], share: float) -> float:
    """Return the value below which `share` of all lie, 0 for none."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def mean(values: list[float] | list[int]) -> float:
    """Return the mean, 0 for none."""
    return statistics.fmean(values) if values else 0.0


def round_figures(
    records: list[StepRecord],
    calls: CallLog,
    engine_logs: list[Any],
    flood_bound: int,
) -> RoundFigures:
    """Work out the figures of one round."""
    wait_s = sum(record.wait_s for record in records)
    train_s = sum(record.train_s for record in records)
    ideal_s = sum(record.ideal_s for record in records)
    versions = [item for record in records for item in record.staleness_versions]
    ages_s = [item for record in records for item in record.staleness_s]
    made = tokens_by_label(engine_logs)
    wanted = (*TRAINER_TEAMS, CALLER_TEAM)
    generated = sum(made[label] for label in wanted)
    received = sum(record.tokens for record in records)
    received += sum(call.tokens for call in calls.calls)
    lookups_s = calls.latencies_s("look-up")
    completions_s = calls.latencies_s("completion")
    return RoundFigures(
        idle_share=wait_s / (wait_s + train_s),
        ideal_idle_share=ideal_s / (ideal_s + train_s),
        idle_to_ideal=wait_s / ideal_s,
        step_mean_s=mean([record.wait_s for record in records]),
        step_max_s=max(record.wait_s for record in records),
        staleness_mean_versions=mean(versions),
        staleness_max_versions=max(versions, default=0),
        staleness_mean_s=mean(ages_s),
        staleness_max_s=max(ages_s, default=0.0),
        samples=sum(len(record.delivered) for record in records),
        doubled=sum(record.doubled for record in records),
        missing=sum(record.missing for record in records),
        wrong=sum(record.wrong for record in records),
        beyond_bound=sum(record.beyond_bound for record in records),
        wasted_share=(generated - received) / max(1, generated),
        attempts_per_request=attempts_per_request(engine_logs),
        lookup_median_ms=1e3 * percentile(lookups_s, 0.5),
        lookup_p99_ms=1e3 * percentile(lookups_s, 0.99),
        completion_median_ms=1e3 * percentile(completions_s, 0.5),
        completion_p99_ms=1e3 * percentile(completions_s, 0.99),
        calls=len(calls.calls),
        failed_calls=sum(not call.ok for call in calls.calls),
        tries_per_call=mean([call.tries for call in calls.calls]),
        flood_to_bound=made["flood"] / flood_bound,
    )


def tokens_by_label(engine_logs: list[Any]) -> Counter[str]:
    """Return the tokens that the engines generated, by team."""
    made: Counter[str] = Counter()
    for log in engine_logs:
        for run in log["runs"]:
            made[run["label"]] += run["generated_here"]
    return made


def attempts_per_request(engine_logs: list[Any]) -> float:
    """Return how often an engine was sent a request, over distinct requests."""
    request_ids = {run["request_id"] for log in engine_logs for run in log["runs"]}
    submissions = sum(run["submissions"] for log in engine_logs for run in log["runs"])
    refused = sum(log["refused"] for log in engine_logs)
    return (submissions + refused) / max(1, len(request_ids))


def failure_reasons(calls: list[Call]) -> Counter[str]:
    """Return why calls failed, by count."""
    return Counter(call.reason[:100] for call in calls if not call.ok)


def summarise(rounds: list[RoundFigures]) -> dict[str, Summary]:
    """Return median and range of each figure."""
    summary = {}
    for item in fields(RoundFigures):
        values = [asdict(figures)[item.name] for figures in rounds]
        middle = statistics.median(values)
        summary[item.name] = Summary(middle, min(values), max(values))
    return summary
