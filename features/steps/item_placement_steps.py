"""features.steps.item_placement_steps: where items go, and when they move."""

from behave import then, when
from behave.runner import Context

from features.support.placement_load import compare
from greengagetack.batches.pace import Paces, RunningItem, choose_moves
from greengagetack.batches.placement import Candidate, ItemWork, choose_candidate
from greengagetack.batches.silence import SilenceWatch
from greengagetack.replicas.zone_cost import ZoneCost

SPEEDS = [0.55, 1.2, 0.7, 1.0, 0.85, 1.1]
SEEDS = (1, 2, 3, 4)
ITEM_BYTES = 8_000
CHECK_S = 0.1


@when(
    "{count:d} {kind} items run on 6 replicas whose full batch is slower by "
    "{slowdown:f}"
)
def step_run_items(context: Context, count: int, kind: str, slowdown: float) -> None:
    runs = [compare(SPEEDS, count, kind, seed, slowdown) for seed in SEEDS]
    context.ends = {
        name: [sum(run[name][n] for run in runs) / len(runs) for n in range(2)]
        for name in ("load", "end")
    }


@then("their mean and their last end are not later than with the choice by load")
def step_not_later(context: Context) -> None:
    for new_s, former_s in zip(context.ends["end"], context.ends["load"], strict=True):
        assert new_s <= former_s, context.ends


@when(
    "an item with {left:d} events left and a prompt of {prompt:d} tokens may go to "
    "{replicas}"
)
def step_may_go(context: Context, left: int, prompt: int, replicas: str) -> None:
    candidates = []
    for text in replicas.split():
        name, load, pace, *marks = text.split(":")
        in_flight, _, slots = load.partition("/")
        candidates.append(
            Candidate(
                name,
                int(in_flight),
                int(slots),
                int(pace) / 1000,
                10_000,
                0.0,
                "kept" in marks,
                "far" in marks,
            )
        )
    work = ItemWork(left, 100, prompt, ZoneCost().seconds(ITEM_BYTES))
    context.chosen = choose_candidate(candidates, work)


@then("the item goes to {chosen}")
def step_goes_to(context: Context, chosen: str) -> None:
    assert context.chosen is not None
    assert context.chosen.replica_id == chosen, context.chosen


@when("items {runs} run at times per event {paces} beside free slots {free}")
def step_moves(context: Context, runs: str, paces: str, free: str) -> None:
    running = []
    for text in runs.split():
        item, _, rest = text.partition("@")
        replica, _, left = rest.partition(":")
        running.append(RunningItem(item, replica, int(left)))
    pairs = dict(entry.split(":") for entry in paces.split())
    slots = dict(entry.split(":") for entry in free.split())
    context.moves = choose_moves(
        running,
        {name: int(pace) / 1000 for name, pace in pairs.items()},
        {name: int(count) for name, count in slots.items()},
    )


@then("the items {moved} move")
def step_moved(context: Context, moved: str) -> None:
    assert (",".join(context.moves) or "none") == moved, context.moves


@when(
    "runs of a replica are silent for {silence:d} ms at a usual pace of {pace:d} ms, "
    "{case}"
)
def step_silent(context: Context, silence: int, pace: int, case: str) -> None:
    now_s = 100.0
    watch = SilenceWatch(lambda: now_s)
    own_s = 0.25 if "of its own" in case else pace / 1000
    paces = Paces({"a": own_s, "b": pace / 1000}, pace / 1000)
    loading = {"a"} if "loads" in case else set()
    # The runs move away as soon as the silence is noticed.
    moves_away = "moved away" in case
    watch.record_event("a")
    watch.check([("a", 99.0)], paces, loading)
    found: set[str] = set()
    end_s = now_s + silence / 1000
    while now_s < end_s:
        now_s = end_s if "held up" in case else min(end_s, now_s + CHECK_S)
        if "still gets" in case:
            watch.record_event("a")
        runs = [] if moves_away and found else [("a", 99.0), ("a", 99.5)]
        found |= set(watch.check(runs, paces, loading))
        context.silent = watch.check(runs, paces, loading)


@then("the replica counts as silent: {found}")
def step_counts(context: Context, found: str) -> None:
    assert ("a" in context.silent) == (found == "yes"), context.silent
