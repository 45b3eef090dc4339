"""features.support.audit: a small soak log and breaches to plant in it."""

from collections.abc import Callable
from dataclasses import replace

from bench.audit_log import (
    AcceptedSetting,
    AppliedOrder,
    CallAttempt,
    CallerAnswer,
    DeliveredSample,
    EngineRun,
    LeavingNotice,
    ObservedSetting,
    PlannedStop,
    ServiceRun,
    SoakLog,
)
from standins.tokens import answer_text

__all__ = ["PLANTS", "clean_log"]

PROMPT = "Where is the box? [len=6]"
TEAM = "/teams/kestrelmoor"

Plant = Callable[[SoakLog], None]
PLANTS: dict[str, Plant] = {}


def plant(name: str) -> Callable[[Plant], Plant]:
    """Register the decorated function, which adds a breach to a log."""

    def register(function: Plant) -> Plant:
        PLANTS[name] = function
        return function

    return register


def _sample(index: int, versions: tuple[int, ...]) -> DeliveredSample:
    text = answer_text(PROMPT, index, 8)
    return DeliveredSample(
        f"t/j/1/0/{index}", PROMPT, index, 8, text, versions, 5, 1, "e1"
    )


def _answer(number: int, cut: bool) -> CallerAnswer:
    expected = answer_text(PROMPT, number, 8)
    text = expected[:9] if cut else expected
    return CallerAnswer(f"c{number}", PROMPT, number, 8, text, cut, "vm-1", 10.0, 12.0)


def clean_log() -> SoakLog:
    """Return a log without a breach."""
    return SoakLog(
        requested=["t/j/1/0/0", "t/j/1/0/1", "t/j/1/0/2"],
        delivered=[_sample(0, (4, 5)), _sample(1, (5,)), _sample(2, (5,))],
        engine_runs=[
            EngineRun("e1", "t/j/1/0/0", (4, 5), 6, 1.0),
            EngineRun("e1", "t/j/1/0/1~1", (5,), 6, 2.0),
            EngineRun("e2", "t/j/1/0/1", (3,), 6, 1.5),
            # The first attempt failed beside its hedge, which was slow and hedged.
            EngineRun("e1", "t/j/1/0/2/hedge/hedge", (5,), 6, 3.5),
        ],
        service_runs=[ServiceRun("b1", "r1", "k1"), ServiceRun("b1", "r4", "")],
        attempts=[
            CallAttempt("r1", "k1", "unknown"),
            CallAttempt("r2", "k1", "done", "7"),
            CallAttempt("r3", "k2", "not_run"),
            CallAttempt("r4", "", "done", "8"),
        ],
        answers=[_answer(1, False), _answer(2, False), _answer(3, True)],
        observed_settings=[
            ObservedSetting("vm-1", TEAM, 2),
            ObservedSetting("vm-2", TEAM, 1),
            ObservedSetting("vm-1", TEAM, 3),
        ],
        accepted=[AcceptedSetting(TEAM, 2, "mark-a")],
        written_settings={(TEAM, 2): "mark-a", (TEAM, 3): "mark-b"},
        settings_at_end=[
            ObservedSetting("vm-1", TEAM, 3),
            ObservedSetting("vm-2", TEAM, 3),
        ],
        orders=[AppliedOrder("e1", 3), AppliedOrder("e2", 1), AppliedOrder("e1", 4)],
        leaving_notices=[LeavingNotice("e2", 4.0)],
        planned_stops=[PlannedStop("vm-1", 20.0, 22.0, 0)],
    )


@plant("run a key again")
def _key_again(log: SoakLog) -> None:
    log.service_runs.append(ServiceRun("b2", "r2", "k1"))


@plant("run a request again")
def _request_again(log: SoakLog) -> None:
    log.service_runs.append(ServiceRun("b2", "r4", ""))


@plant("run a refused call")
def _refused_ran(log: SoakLog) -> None:
    log.service_runs.append(ServiceRun("b1", "r3", "k2"))


@plant("answer without a run")
def _answer_without_run(log: SoakLog) -> None:
    log.attempts.append(CallAttempt("r9", "k9", "done", "9"))


@plant("answer a key differently")
def _answer_differently(log: SoakLog) -> None:
    log.attempts.append(CallAttempt("r8", "k1", "done", "99"))


@plant("deliver a sample again")
def _sample_again(log: SoakLog) -> None:
    log.delivered.append(log.delivered[0])


@plant("lose a sample")
def _sample_lost(log: SoakLog) -> None:
    log.delivered.pop()


@plant("deliver an unasked sample")
def _sample_unasked(log: SoakLog) -> None:
    log.requested.remove("t/j/1/0/1")


@plant("tear a sample")
def _sample_torn(log: SoakLog) -> None:
    log.delivered[0] = replace(log.delivered[0], text=log.delivered[0].text[:-6])


@plant("deliver a stale sample")
def _sample_stale(log: SoakLog) -> None:
    log.delivered[0] = replace(log.delivered[0], trainer_version=6)


@plant("name a wrong version")
def _wrong_version(log: SoakLog) -> None:
    log.delivered[1] = replace(log.delivered[1], versions=(4,))


@plant("name no version")
def _no_version(log: SoakLog) -> None:
    log.delivered[1] = replace(log.delivered[1], versions=())
    log.lost_engine_logs.append("e1")


@plant("name half the versions")
def _half_the_versions(log: SoakLog) -> None:
    log.delivered[0] = replace(log.delivered[0], versions=(5,))


@plant("swap two answers")
def _swap_answers(log: SoakLog) -> None:
    first, second = log.answers[:2]
    log.answers[0] = replace(first, text=second.text)
    log.answers[1] = replace(second, text=first.text)


@plant("tear the start of a cut answer")
def _tear_start(log: SoakLog) -> None:
    log.answers[2] = replace(log.answers[2], text=log.answers[2].text[2:])


@plant("see an older setting")
def _older_setting(log: SoakLog) -> None:
    log.observed_settings.append(ObservedSetting("vm-1", TEAM, 2))


@plant("overwrite a setting")
def _overwrite(log: SoakLog) -> None:
    log.accepted.append(AcceptedSetting(TEAM, 3, "mark-c"))


@plant("leave a daemon behind")
def _left_behind(log: SoakLog) -> None:
    log.settings_at_end[1] = ObservedSetting("vm-2", TEAM, 2)


@plant("carry out an old order")
def _old_order(log: SoakLog) -> None:
    log.orders.append(AppliedOrder("e1", 3))


@plant("send work to a leaver")
def _work_to_leaver(log: SoakLog) -> None:
    log.engine_runs.append(EngineRun("e2", "c9", (5,), 6, 7.5))


@plant("cut a request by a stop")
def _cut_by_stop(log: SoakLog) -> None:
    log.planned_stops.append(PlannedStop("vm-1", 11.0, 13.0, 0))


@plant("lose a call by a stop")
def _call_lost_by_stop(log: SoakLog) -> None:
    lost = CallAttempt("r7", "", "lost", "", "", "vm-1", 19.0, 21.0)
    log.attempts.append(lost)


@plant("end a stop with an error")
def _stop_with_error(log: SoakLog) -> None:
    log.planned_stops.append(PlannedStop("vm-3", 30.0, 31.0, -9))


@plant("answer no call")
def _no_calls(log: SoakLog) -> None:
    log.attempts = [CallAttempt("r1", "k1", "not_run")]
    log.service_runs.clear()


@plant("answer no caller")
def _no_answers(log: SoakLog) -> None:
    log.answers = log.answers[2:]


@plant("accept no setting")
def _no_settings(log: SoakLog) -> None:
    log.accepted.clear()
