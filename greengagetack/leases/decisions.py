"""greengagetack.leases.decisions: pure decisions that code and model share.

No function here reads a clock, keeps state or does input or output, so that the
daemons and the specification in ``model/`` call the very same ones. Times are
seconds of the caller's own monotonic clock.
"""

import enum
from collections.abc import Collection

from greengagetack.errors import Outcome
from greengagetack.membership.table import ShardPair

__all__ = [
    "CallState",
    "KeyedAnswer",
    "WriteResult",
    "accept_fencing_number",
    "accept_version",
    "answer_of_epoch_without_record",
    "answer_to_keyed_call",
    "fresh_enough",
    "groups_to_deliver",
    "lease_expires_s",
    "may_act",
    "may_give_order",
    "may_repeat",
    "may_route_to",
    "may_stand_in",
    "may_stop",
    "may_take_lease",
    "may_write_next_pair",
    "next_pair",
    "pair_is_lost",
    "resolve_lost_write",
]


class WriteResult(enum.StrEnum):
    """What a read-back says about a write whose answer was lost."""

    APPLIED = "applied"
    NOT_APPLIED = "not_applied"
    CONFLICT = "conflict"
    UNDECIDED = "undecided"


class CallState(enum.StrEnum):
    """State of the record of a keyed call."""

    INTENT = "intent"
    DONE = "done"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class KeyedAnswer(enum.StrEnum):
    """What the owner of a key does with a call that names it."""

    RUN = "run"
    REPLAY = "replay"
    IN_PROGRESS = "in_progress"
    UNKNOWN = "unknown"


# Leases and epochs


def lease_expires_s(start_s: float, lease_s: float, margin_s: float = 0.0) -> float:
    """Return when a lease or promise ends.

    The holder counts from when it *sent* the renewal and passes its margin for
    clock drift (here or to `may_act`, not to both); the giver counts from when
    it gave the promise, without a margin, and so never ends first.
    """
    return start_s + lease_s - margin_s


def may_act(now_s: float, promise_until_s: float, margin_s: float = 0.0) -> bool:
    """Whether the holder may still act; it stops `margin_s` before the end.

    Call it again right before the effect, after every pause or wait.
    """
    return now_s < promise_until_s - margin_s


def may_take_lease(
    now_s: float, unchanged_since_s: float, lease_s: float, released: bool = False
) -> bool:
    """Whether another VM may take a lease object over by conditional update.

    `unchanged_since_s` is when this VM first read the object's present version
    on its own clock; clocks of VMs are never compared. A holder that `released`
    the lease need not be waited for.
    """
    return released or now_s >= unchanged_since_s + lease_s


def may_stand_in(now_s: float, started_s: float, longest_promise_s: float) -> bool:
    """Whether a new incarnation has waited out every promise of its former self."""
    return now_s >= started_s + longest_promise_s


def resolve_lost_write(
    found_version: int, found_change_id: str, expected_version: int, change_id: str
) -> WriteResult:
    """Return what became of a conditional write whose answer was lost.

    Parameters
    ----------
    found_version : int
        Version that the read-back found, 0 without an object.
    found_change_id : str
        Change identifier inside the object that was found.
    expected_version : int
        Version that the write named as its condition.
    change_id : str
        Change identifier of the write.

    Returns
    -------
    WriteResult
        After `NOT_APPLIED` the same write, under the same change identifier and
        condition, may be sent again: only one copy can take effect, and the
        object that comes with a refusal of the other is judged here once more.
        `UNDECIDED` means that later writes hide the trace of this one; a lease
        is then not held.
    """
    if found_version > 0 and found_change_id == change_id:
        return WriteResult.APPLIED
    if found_version == expected_version:
        return WriteResult.NOT_APPLIED
    if found_version <= expected_version + 1:
        return WriteResult.CONFLICT
    return WriteResult.UNDECIDED


# Owner and backup


def may_write_next_pair(
    pair: ShardPair,
    writer_vm_id: str,
    sealed_epoch: int,
    now_s: float,
    promises_until_s: float,
) -> bool:
    """Whether a VM may write the successor of a pair: seal, wait, then write.

    Parameters
    ----------
    pair : ShardPair
        The pair as read from the platform; the write is conditional on it.
    writer_vm_id : str
        The VM that would write; an outsider never may.
    sealed_epoch : int
        The epoch that the writer has sealed: an owner has stopped acting in it,
        a backup has stopped giving promises for it. 0 for none.
    now_s : float
        The writer's clock.
    promises_until_s : float
        End of the last promise that the writer gave. One that it holds itself
        ended with the seal. A writer that restarted does not know what it gave
        and passes its start plus the longest promise.
    """
    if writer_vm_id not in (pair.owner_vm_id, pair.backup_vm_id):
        return False
    if sealed_epoch != pair.epoch:
        return False
    return now_s >= promises_until_s


def pair_is_lost(
    now_s: float, both_gone_since_s: float, longest_promise_s: float
) -> bool:
    """Whether the lead may move a shard whose owner and backup are both gone.

    `both_gone_since_s` is when the VM list first showed neither of them.
    """
    return now_s >= both_gone_since_s + longest_promise_s


def next_pair(pair: ShardPair, usable_vm_ids: tuple[str, ...]) -> ShardPair | None:
    """Return the successor of a pair, None if its records would be lost.

    Members of the present pair come first, as they hold the records, an owner
    before a backup; `usable_vm_ids` lists who may serve, preferred ones first
    (another availability zone than the owner's); a VM that leaves is not listed.
    """
    kept = [
        vm_id
        for vm_id in (pair.owner_vm_id, pair.backup_vm_id)
        if vm_id and vm_id in usable_vm_ids
    ]
    if not kept:
        return None
    others = [vm_id for vm_id in usable_vm_ids if vm_id not in kept]
    members = [*kept, *others, ""]
    return ShardPair(pair.shard, pair.epoch + 1, members[0], members[1])


# Endpoints


def accept_fencing_number(current: int, offered: int) -> bool:
    """Whether an endpoint that checks takes an order with a fencing number."""
    return offered >= current


def may_give_order(
    is_keeper: bool, endpoint_checks: bool, lease_surely_held: bool
) -> bool:
    """Whether a VM may send an order to an endpoint.

    Where the endpoint refuses older fencing numbers, being the keeper by the
    newest known table is enough; elsewhere the keeper needs a lease that began
    after the former keeper's had surely ended.
    """
    if not is_keeper:
        return False
    return endpoint_checks or lease_surely_held


def may_route_to(leaving: bool, version_known: int, oldest_version: int) -> bool:
    """Whether new work may be sent to an endpoint."""
    return not leaving and version_known >= oldest_version


def may_stop(in_flight: int, accepts_new: bool) -> bool:
    """Whether a draining process may exit."""
    return in_flight == 0 and not accepts_new


# Calls


def may_repeat(outcome: Outcome, idempotent: bool) -> bool:
    """Whether a request may be sent again after `outcome`."""
    return idempotent or outcome is Outcome.NOT_RUN


def answer_of_epoch_without_record(
    started_fresh: bool, surely_first_attempt: bool
) -> KeyedAnswer:
    """Return the answer for a key without a record in the shard's epoch.

    Where records of earlier epochs may be lost (`started_fresh`), only a call
    that is surely the key's first attempt may run.
    """
    if started_fresh and not surely_first_attempt:
        return KeyedAnswer.UNKNOWN
    return KeyedAnswer.RUN


def answer_to_keyed_call(
    state: CallState | None,
    running_here: bool,
    started_fresh: bool,
    surely_first_attempt: bool = False,
) -> KeyedAnswer:
    """Return what the owner does with a keyed call.

    Parameters
    ----------
    state : CallState or None
        State of the key's record, None without one.
    running_here : bool
        Whether this incarnation of this owner has the call in flight.
    started_fresh : bool
        Whether records of earlier epochs may have been lost.
    surely_first_attempt : bool
        Whether no earlier attempt with this key can exist.
    """
    if state is None:
        return answer_of_epoch_without_record(started_fresh, surely_first_attempt)
    if state is CallState.NOT_RUN:
        return KeyedAnswer.RUN
    if state is CallState.DONE:
        return KeyedAnswer.REPLAY
    if state is CallState.INTENT and running_here:
        return KeyedAnswer.IN_PROGRESS
    return KeyedAnswer.UNKNOWN


# Versions and delivery


def accept_version(current: int, offered: int) -> bool:
    """Whether an offered version of an object replaces the one in force."""
    return offered > current


def fresh_enough(
    oldest_version: int, trainer_version: int, staleness_bound: int
) -> bool:
    """Whether a sample is within its trainer's staleness bound.

    `oldest_version` is the oldest of the versions that made the sample's
    tokens. Asked at routing, at completion and at delivery.
    """
    return trainer_version - oldest_version <= staleness_bound


def groups_to_deliver(
    finished: Collection[int], held_by_trainer: Collection[int]
) -> tuple[int, ...]:
    """Return finished group numbers that the trainer does not hold, ascending."""
    return tuple(sorted(set(finished).difference(held_by_trainer)))
