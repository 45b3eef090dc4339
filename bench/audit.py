"""bench.audit: checks the log of a soak against the documented promises."""

from collections import Counter, defaultdict
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from bench.audit_log import (
    CallAttempt,
    CallerAnswer,
    EngineRun,
    PlannedStop,
    SoakLog,
)
from greengagetack.rollouts.request_ids import sample_of
from standins.tokens import answer_text

__all__ = ["CHECKS", "Audit", "Breach", "audit", "check"]

LEAVING_BOUND_S = 3.0
STOP_TOLERANCE_S = 0.5

Check = Callable[[SoakLog], Iterator[str]]
CHECKS: dict[str, Check] = {}


@dataclass(frozen=True, slots=True)
class Breach:
    """A promise that did not hold and the observation that shows it."""

    kind: str
    detail: str


@dataclass(frozen=True, slots=True)
class Audit:
    """The breaches found and the number of records checked."""

    breaches: tuple[Breach, ...]
    counts: dict[str, int]


def check(kind: str) -> Callable[[Check], Check]:
    """Register the decorated check under the kind of breach that it finds."""

    def register(function: Check) -> Check:
        if kind in CHECKS:
            raise ValueError(f"duplicate check {kind!r}")
        CHECKS[kind] = function
        return function

    return register


def audit(log: SoakLog) -> Audit:
    """Run all checks on a log."""
    breaches = [
        Breach(kind, detail)
        for kind, function in CHECKS.items()
        for detail in function(log)
    ]
    return Audit(tuple(breaches), _counts(log))


def _counts(log: SoakLog) -> dict[str, int]:
    outcomes = Counter(
        f"{attempt.outcome} {attempt.code}".strip() for attempt in log.attempts
    )
    return {
        "samples_asked": len(log.requested),
        "samples_delivered": len(log.delivered),
        "samples_without_engine_log": _count_unverified(log),
        "samples_of_two_versions": sum(len(s.versions) > 1 for s in log.delivered),
        "engine_runs": len(log.engine_runs),
        "caller_answers": len(log.answers),
        "caller_answers_cut": sum(answer.cut for answer in log.answers),
        "keys": len({a.idempotency_key for a in log.attempts if a.idempotency_key}),
        "call_attempts": len(log.attempts),
        **{f"calls {name}": outcomes[name] for name in sorted(outcomes)},
        "service_runs": len(log.service_runs),
        "settings_seen": len(log.observed_settings),
        "settings_accepted": len(log.accepted),
        "orders": len(log.orders),
        "planned_stops": len(log.planned_stops),
        "leaving_endpoints": len(log.leaving_notices),
    }


@check("key ran twice")
def keys_run_once(log: SoakLog) -> Iterator[str]:
    """Yield idempotency keys whose call ran more than once."""
    runs = Counter(run.idempotency_key for run in log.service_runs)
    for key, count in runs.items():
        if key and count > 1:
            yield f"key {key} ran {count} times"


@check("request ran twice")
def requests_run_once(log: SoakLog) -> Iterator[str]:
    """Yield attempts without a key that ran more than once."""
    runs = Counter(run.request_id for run in log.service_runs)
    for attempt in log.attempts:
        if not attempt.idempotency_key and runs[attempt.request_id] > 1:
            yield f"request {attempt.request_id} ran {runs[attempt.request_id]} times"


@check("refused call ran")
def refused_calls_did_not_run(log: SoakLog) -> Iterator[str]:
    """Yield attempts that were refused as "not run" but ran."""
    ran = {run.request_id for run in log.service_runs}
    for attempt in log.attempts:
        if attempt.outcome == "not_run" and attempt.request_id in ran:
            yield f"request {attempt.request_id} was refused as not run, but ran"


@check("answered call did not run")
def answered_calls_ran(log: SoakLog) -> Iterator[str]:
    """Yield attempts that were answered as done but never ran."""
    keys = {run.idempotency_key for run in log.service_runs}
    requests = {run.request_id for run in log.service_runs}
    for attempt in log.attempts:
        if attempt.outcome != "done":
            continue
        did_run = attempt.request_id in requests
        if attempt.idempotency_key:
            did_run = attempt.idempotency_key in keys
        if not did_run:
            yield f"request {attempt.request_id} was answered, but never ran"


@check("key answered differently")
def keys_answered_consistently(log: SoakLog) -> Iterator[str]:
    """Yield idempotency keys whose attempts got different answers."""
    bookings: defaultdict[str, set[str]] = defaultdict(set)
    for attempt in log.attempts:
        if attempt.idempotency_key and attempt.outcome == "done":
            bookings[attempt.idempotency_key].add(attempt.booking)
    for key, found in bookings.items():
        if len(found) > 1:
            yield f"key {key} was answered with bookings {sorted(found)}"


@check("sample doubled")
def samples_delivered_once(log: SoakLog) -> Iterator[str]:
    """Yield samples that were delivered to their trainer more than once."""
    counts = Counter(sample.identity for sample in log.delivered)
    for identity, count in counts.items():
        if count > 1:
            yield f"sample {identity} was delivered {count} times"


@check("sample missing")
def all_samples_delivered(log: SoakLog) -> Iterator[str]:
    """Yield samples that were requested but never delivered."""
    delivered = {sample.identity for sample in log.delivered}
    for identity in log.requested:
        if identity not in delivered:
            yield f"sample {identity} was never delivered"


@check("sample unasked")
def samples_were_requested(log: SoakLog) -> Iterator[str]:
    """Yield samples that were delivered but not requested."""
    asked = set(log.requested)
    for sample in log.delivered:
        if sample.identity not in asked:
            yield f"sample {sample.identity} was not requested"


@check("sample torn")
def sample_texts_are_correct(log: SoakLog) -> Iterator[str]:
    """Yield samples whose text differs from the full answer to their prompt."""
    for sample in log.delivered:
        if sample.text != answer_text(sample.prompt, sample.seed, sample.max_tokens):
            yield f"sample {sample.identity} has a wrong text"


@check("sample stale")
def samples_are_fresh(log: SoakLog) -> Iterator[str]:
    """Yield samples that exceeded the staleness bound when delivered."""
    for sample in log.delivered:
        if not sample.versions:
            continue
        behind = sample.trainer_version - min(sample.versions)
        if behind > sample.staleness_bound:
            yield f"sample {sample.identity} is {behind} versions behind"


@check("versions wrong")
def versions_match_engine_logs(log: SoakLog) -> Iterator[str]:
    """Yield samples whose listed weight versions differ from the engine's log."""
    runs = _runs_by_sample(log.engine_runs)
    for sample in log.delivered:
        found = runs.get((sample.endpoint_id, sample.identity), [])
        if any(run.versions == sample.versions for run in found):
            continue
        if sample.versions and sample.endpoint_id in log.lost_engine_logs:
            continue
        used = sorted({run.versions for run in found})
        yield (
            f"sample {sample.identity} lists {sample.versions} of "
            f"{sample.endpoint_id}, engines used {used}; its runs: "
            f"{_described_runs(log, sample.identity)}"
        )


def _described_runs(log: SoakLog, identity: str) -> list[str]:
    """Describe what the engines ran under any identifier of a sample."""
    return [
        f"{run.request_id} at {run.endpoint_id}: {run.versions}"
        for run in log.engine_runs
        if sample_of(run.request_id) == identity
    ]


def _runs_by_sample(runs: list[EngineRun]) -> dict[tuple[str, str], list[EngineRun]]:
    found: defaultdict[tuple[str, str], list[EngineRun]] = defaultdict(list)
    for run in runs:
        found[run.endpoint_id, sample_of(run.request_id)].append(run)
    return found


def _count_unverified(log: SoakLog) -> int:
    """Return how many samples have no matching run in the engine logs."""
    runs = _runs_by_sample(log.engine_runs)
    count = 0
    for sample in log.delivered:
        found = runs.get((sample.endpoint_id, sample.identity), [])
        count += not any(run.versions == sample.versions for run in found)
    return count


@check("answer torn")
def answers_belong_to_their_request(log: SoakLog) -> Iterator[str]:
    """Yield answers with a wrong text; a cut answer must be a correct prefix."""
    for answer in log.answers:
        expected = answer_text(answer.prompt, answer.seed, answer.max_tokens)
        if not answer.cut and answer.text != expected:
            yield f"request {answer.request_id} got a wrong text"
        if answer.cut and not expected.startswith(answer.text):
            yield f"request {answer.request_id} got a wrong beginning"


@check("setting went back")
def settings_never_revert(log: SoakLog) -> Iterator[str]:
    """Yield daemons that reverted to an older version of a settings path."""
    highest: dict[tuple[str, str], int] = {}
    for seen in log.observed_settings:
        key = (seen.vm_id, seen.path)
        if seen.version < highest.get(key, 0):
            yield (
                f"{seen.vm_id} reverted to version {seen.version} of {seen.path} "
                f"from {highest[key]}"
            )
        highest[key] = max(highest.get(key, 0), seen.version)


@check("setting lost")
def accepted_settings_were_written(log: SoakLog) -> Iterator[str]:
    """Yield accepted changes that the platform does not hold under their version."""
    for accepted in log.accepted:
        mark = log.written_settings.get((accepted.path, accepted.version))
        if mark != accepted.mark:
            yield (
                f"change {accepted.mark} of {accepted.path} was accepted as version "
                f"{accepted.version}, which holds {mark}"
            )


@check("setting not in force")
def newest_settings_are_in_force(log: SoakLog) -> Iterator[str]:
    """Yield daemons without the newest version after all faults have ended."""
    newest: dict[str, int] = {}
    for path, version in log.written_settings:
        newest[path] = max(newest.get(path, 0), version)
    for seen in log.settings_at_end:
        if seen.version < newest.get(seen.path, 0):
            yield (
                f"{seen.vm_id} has version {seen.version} of {seen.path}, "
                f"the newest is {newest[seen.path]}"
            )


@check("order out of sequence")
def fencing_numbers_never_decrease(log: SoakLog) -> Iterator[str]:
    """Yield orders that an engine applied after one with a higher fencing number."""
    highest: dict[str, int] = {}
    for order in log.orders:
        before = highest.get(order.endpoint_id, 0)
        if order.fencing_number < before:
            yield (
                f"{order.endpoint_id} applied an order with fencing number "
                f"{order.fencing_number} after one with {before}"
            )
        highest[order.endpoint_id] = max(before, order.fencing_number)


@check("leaving endpoint got work")
def leaving_endpoints_get_no_work(log: SoakLog) -> Iterator[str]:
    """Yield generations that a leaving endpoint received after the bound."""
    until_s = {
        sign.endpoint_id: sign.at_s + LEAVING_BOUND_S for sign in log.leaving_notices
    }
    for run in log.engine_runs:
        bound_s = until_s.get(run.endpoint_id)
        if bound_s is not None and run.arrived_at_s > bound_s:
            late_s = run.arrived_at_s - bound_s
            yield f"{run.endpoint_id} got {run.request_id} {late_s:.1f} s too late"


@check("planned stop cut a request")
def planned_stops_cut_no_request(log: SoakLog) -> Iterator[str]:
    """Yield failed planned stops and the requests that they cut."""
    for stop in log.planned_stops:
        if stop.exit_code != 0:
            yield f"{stop.vm_id} exited with code {stop.exit_code} after SIGTERM"
        for answer in log.answers:
            if answer.cut and _was_in_flight(answer, stop):
                yield f"request {answer.request_id} was cut by the stop of {stop.vm_id}"
        for attempt in log.attempts:
            if attempt.outcome == "lost" and _was_in_flight(attempt, stop):
                yield f"call {attempt.request_id} was cut by the stop of {stop.vm_id}"


def _was_in_flight(request: CallerAnswer | CallAttempt, stop: PlannedStop) -> bool:
    """Whether a request was in flight at a daemon that got SIGTERM and ended then."""
    if request.entry_vm_id != stop.vm_id or request.started_at_s >= stop.at_s:
        return False
    return stop.at_s <= request.ended_at_s <= stop.ended_at_s + STOP_TOLERANCE_S


@check("load idle")
def load_made_progress(log: SoakLog) -> Iterator[str]:
    """Yield the kinds of load of which nothing succeeded."""
    if not log.delivered:
        yield "no sample was delivered"
    if all(answer.cut for answer in log.answers):
        yield "no caller got a complete answer"
    if not any(attempt.outcome == "done" for attempt in log.attempts):
        yield "no call succeeded"
    if not log.accepted:
        yield "no settings change was accepted"
