"""greengagetack.leases.decisions: pure decision functions shared by daemons and model.

No function here reads a clock, keeps state or does input or output, so that the
daemons and the specification in ``model/`` can call the same functions. Times are
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
    "answer_to_keyed_call",
    "answer_without_record",
    "former_promises_expired",
    "groups_to_deliver",
    "is_within_staleness_bound",
    "lease_expires_s",
    "may_act",
    "may_repeat",
    "may_route_to",
    "may_send_order",
    "may_stop",
    "may_take_lease",
    "may_write_next_pair",
    "next_pair",
    "pair_is_lost",
    "resolve_lost_write",
]


class WriteResult(enum.StrEnum):
    """Outcome of a write whose answer was lost, found by reading back."""

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
    """How the owner of a key handles a call with this key."""

    RUN = "run"
    REPLAY = "replay"
    IN_PROGRESS = "in_progress"
    UNKNOWN = "unknown"


# Leases and epochs


def lease_expires_s(start_s: float, lease_s: float, margin_s: float = 0.0) -> float:
    """Return when a lease or promise ends.

    The holder counts from when it *sent* the renewal and passes its margin for
    clock drift (here or to `may_act`, not to both). The grantor counts from when
    it granted the promise, without a margin, so the holder always stops first.
    """
    return start_s + lease_s - margin_s


def may_act(now_s: float, promise_until_s: float, margin_s: float = 0.0) -> bool:
    """Whether the holder may still act; it must stop `margin_s` before the end.

    To be called again directly before the effect, after every pause or wait.
    """
    return now_s < promise_until_s - margin_s


def may_take_lease(
    now_s: float, unchanged_since_s: float, lease_s: float, released: bool = False
) -> bool:
    """Whether another VM may take over a lease object by a conditional update.

    `unchanged_since_s` is when this VM first read the object's current version,
    on its own clock; clocks of VMs are never compared. A lease that its holder
    has `released` may be taken over at once.
    """
    return released or now_s >= unchanged_since_s + lease_s


def former_promises_expired(
    now_s: float, started_s: float, longest_promise_s: float
) -> bool:
    """Whether all promises of a VM's former incarnation have expired."""
    return now_s >= started_s + longest_promise_s


def resolve_lost_write(
    found_version: int, found_change_id: str, expected_version: int, change_id: str
) -> WriteResult:
    """Return the outcome of a conditional write whose answer was lost.

    Parameters
    ----------
    found_version : int
        Version found by reading back, 0 if there is no object.
    found_change_id : str
        Change identifier stored in that object.
    expected_version : int
        Version on which the write was conditional.
    change_id : str
        Change identifier of the write.

    Returns
    -------
    WriteResult
        After `NOT_APPLIED` the same write, with the same change identifier and
        condition, may be sent again: only one copy can take effect. If the other
        copy is refused, the object in the refusal is passed to this function
        again. `UNDECIDED` means that later writes have overwritten the evidence;
        a lease then counts as not held.
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
        The VM that would write; it must be a member of the pair.
    sealed_epoch : int
        The epoch that the writer has sealed, 0 for none: an owner has stopped
        acting in it, a backup has stopped granting promises for it.
    now_s : float
        The writer's clock.
    promises_until_s : float
        End of the last promise that the writer granted. A promise that it holds
        itself ended with the seal. After a restart, the writer has lost its record
        of granted promises and passes its start time plus the longest promise.
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

    `both_gone_since_s` is when the VM list first contained neither of them.
    """
    return now_s >= both_gone_since_s + longest_promise_s


def next_pair(pair: ShardPair, usable_vm_ids: tuple[str, ...]) -> ShardPair | None:
    """Return the successor of a pair, None if its records would be lost.

    Members of the current pair come first, as they hold the records, the owner
    before the backup. `usable_vm_ids` lists the VMs that may serve, in order of
    preference (first those in another availability zone than the owner); a VM
    that is leaving is not listed.
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
    """Whether an endpoint that checks fencing numbers accepts an order."""
    return offered >= current


def may_send_order(
    is_keeper: bool, endpoint_checks: bool, lease_surely_held: bool
) -> bool:
    """Whether a VM may send an order to an endpoint.

    If the endpoint refuses older fencing numbers, it suffices that the VM is the
    keeper in the newest known table. Otherwise the keeper needs a lease that
    began after the former keeper's lease had certainly ended.
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


def answer_without_record(started_fresh: bool, is_first_attempt: bool) -> KeyedAnswer:
    """Return the answer to a call whose key has no record in the shard's epoch.

    If records of earlier epochs may have been lost (`started_fresh`), only a
    call that is certainly the key's first attempt may run.
    """
    if started_fresh and not is_first_attempt:
        return KeyedAnswer.UNKNOWN
    return KeyedAnswer.RUN


def answer_to_keyed_call(
    state: CallState | None,
    is_running: bool,
    started_fresh: bool,
    is_first_attempt: bool = False,
) -> KeyedAnswer:
    """Return how the owner handles a keyed call.

    Parameters
    ----------
    state : CallState or None
        State of the key's record, None if there is no record.
    is_running : bool
        Whether this incarnation of this owner has the call in flight.
    started_fresh : bool
        Whether records of earlier epochs may have been lost.
    is_first_attempt : bool
        Whether there is certainly no earlier attempt with this key.
    """
    if state is None:
        return answer_without_record(started_fresh, is_first_attempt)
    if state is CallState.NOT_RUN:
        return KeyedAnswer.RUN
    if state is CallState.DONE:
        return KeyedAnswer.REPLAY
    if state is CallState.INTENT and is_running:
        return KeyedAnswer.IN_PROGRESS
    return KeyedAnswer.UNKNOWN


# Versions and delivery


def accept_version(current: int, offered: int) -> bool:
    """Whether an offered version of an object replaces the current one."""
    return offered > current


def is_within_staleness_bound(
    oldest_version: int, trainer_version: int, staleness_bound: int
) -> bool:
    """Whether a sample is within its trainer's staleness bound.

    `oldest_version` is the oldest version that generated any of the sample's
    tokens. Checked at routing, at completion and at delivery.
    """
    return trainer_version - oldest_version <= staleness_bound


def groups_to_deliver(
    finished: Collection[int], held_by_trainer: Collection[int]
) -> tuple[int, ...]:
    """Return finished group numbers that the trainer does not hold, ascending."""
    return tuple(sorted(set(finished).difference(held_by_trainer)))
