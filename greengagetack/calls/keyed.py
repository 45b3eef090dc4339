"""greengagetack.calls.keyed: the owner of a key runs its call at most once."""

from collections.abc import Awaitable, Callable

import msgspec
from loguru import logger

from greengagetack.calls.messages import CallRecord, KeyedCall
from greengagetack.errors import (
    CallInProgress,
    CallOutcomeUnknown,
    CodedError,
    Conflict,
    Outcome,
    Overloaded,
    OwnerUnavailable,
)
from greengagetack.keeper.messages import CallService, ServiceAnswer
from greengagetack.leases.decisions import (
    CallState,
    KeyedAnswer,
    answer_to_keyed_call,
)
from greengagetack.membership.shards import ShardStore
from greengagetack.timer import Timer

__all__ = ["KeyedCalls", "record_key"]

CALL_KIND = "call"
IN_PROGRESS_RETRY_S = 0.5
OWNER_RETRY_S = 1.0
FULL_RETRY_S = 30.0
MAX_RECORDS_PER_SHARD = 4_096
MAX_RECORDED_ANSWER_BYTES = 16_384

SendOnce = Callable[[CallService], Awaitable[ServiceAnswer]]


def record_key(call: KeyedCall) -> str:
    """Return the key of a call's record, distinct between teams and services."""
    return f"{call.call.team}/{call.call.service}/{call.key}"


class KeyedCalls:
    """Runs keyed calls of the shards owned here.

    The intent is recorded at the backup before anything is sent, so that no
    later owner can take the key for new.

    Parameters
    ----------
    store : ShardStore
        Where records are kept.
    send : callable
        Sends a call to an endpoint; repeats it only while it surely did not run.
    retention_s : callable
        Returns for how many seconds an ended call is remembered.
    timer : Timer
        Clock.
    """

    def __init__(
        self,
        store: ShardStore,
        send: SendOnce,
        retention_s: Callable[[], float],
        timer: Timer,
    ) -> None:
        self._store = store
        self._send = send
        self._retention_s = retention_s
        self._timer = timer
        self._running: set[str] = set()

    async def run(self, call: KeyedCall) -> ServiceAnswer:
        """Run a keyed call, or return what its key was answered before.

        Raises
        ------
        OwnerUnavailable
            If this VM may not act for the key now; nothing was run.
        Conflict
            If the key was used with other content.
        CallInProgress
            If the call is running.
        CallOutcomeUnknown
            If it may have run and no answer is known.
        CodedError
            If it surely did not run.
        """
        key = record_key(call)
        shard = self._store.shard_of(key)
        if not self._store.may_act(shard):
            raise OwnerUnavailable("the key's owner cannot act now", OWNER_RETRY_S)
        record = self._read(shard, key)
        if record is not None and record.fingerprint != call.fingerprint:
            raise Conflict("the key was used with other content")
        decision = answer_to_keyed_call(
            record.state if record is not None else None,
            key in self._running,
            self._store.epoch_started_fresh(shard),
            call.is_first_attempt,
        )
        if decision is KeyedAnswer.IN_PROGRESS or key in self._running:
            raise CallInProgress("a call with this key is running", IN_PROGRESS_RETRY_S)
        if decision is KeyedAnswer.REPLAY and record is not None:
            return self._recorded_answer(record)
        if decision is KeyedAnswer.RUN:
            return await self._run_new(shard, key, call)
        raise CallOutcomeUnknown("an earlier call with this key may have run")

    def _read(self, shard: int, key: str) -> CallRecord | None:
        value = self._store.get(shard, CALL_KIND, key)
        if value is None:
            return None
        return msgspec.msgpack.decode(value, type=CallRecord)

    def _recorded_answer(self, record: CallRecord) -> ServiceAnswer:
        if record.answer is None:
            raise CallOutcomeUnknown(
                "the call ran, but its answer was too large to be kept"
            )
        return record.answer

    async def _run_new(self, shard: int, key: str, call: KeyedCall) -> ServiceAnswer:
        if len(self._store.records(shard, CALL_KIND)) >= MAX_RECORDS_PER_SHARD:
            raise Overloaded("too many keys are remembered", FULL_RETRY_S)
        self._running.add(key)
        try:
            await self._write_intent(shard, key, call)
            return await self._send_recorded(shard, key, call)
        finally:
            self._running.discard(key)

    async def _write_intent(self, shard: int, key: str, call: KeyedCall) -> None:
        """Record the intent at both VMs; nothing has been sent when it fails."""
        try:
            await self._write(shard, key, call, CallState.INTENT)
        except CodedError as error:
            await self._write_last(shard, key, call, CallState.NOT_RUN)
            raise OwnerUnavailable(
                f"the intent could not be recorded: {error.reason}",
                error.retry_after_s or OWNER_RETRY_S,
            ) from error
        if not self._store.may_act(shard):
            await self._write_last(shard, key, call, CallState.NOT_RUN)
            raise OwnerUnavailable("the key's owner changed", OWNER_RETRY_S)

    async def _send_recorded(
        self, shard: int, key: str, call: KeyedCall
    ) -> ServiceAnswer:
        try:
            answer = await self._send(call.call)
        except CodedError as error:
            not_run = error.outcome is Outcome.NOT_RUN
            state = CallState.NOT_RUN if not_run else CallState.UNKNOWN
            await self._write_last(shard, key, call, state)
            if not_run:
                raise
            raise CallOutcomeUnknown(
                f"the call may have run: {error.reason}"
            ) from error
        await self._write_last(shard, key, call, CallState.DONE, answer)
        return answer

    async def _write_last(
        self,
        shard: int,
        key: str,
        call: KeyedCall,
        state: CallState,
        answer: ServiceAnswer | None = None,
    ) -> None:
        """Record how a call ended; a lost record leaves the intent, never more."""
        try:
            await self._write(shard, key, call, state, answer)
        except CodedError as error:
            logger.warning("calls: end of a call not recorded: {}", error.reason)

    async def _write(
        self,
        shard: int,
        key: str,
        call: KeyedCall,
        state: CallState,
        answer: ServiceAnswer | None = None,
    ) -> None:
        kept = answer
        if answer is not None and len(answer.body) > MAX_RECORDED_ANSWER_BYTES:
            kept = None
        record = CallRecord(state, call.fingerprint, self._timer.wall_s(), kept)
        value = msgspec.msgpack.encode(record)
        await self._store.put(shard, CALL_KIND, key, value, need_backup=True)

    async def forget_old(self, shard_count: int) -> None:
        """Delete records of ended calls that are past their retention."""
        oldest_s = self._timer.wall_s() - self._retention_s()
        for shard in range(shard_count):
            if not self._store.may_act(shard):
                continue
            for item in self._store.records(shard, CALL_KIND):
                record = msgspec.msgpack.decode(item.value, type=CallRecord)
                if record.written_wall_s > oldest_s or item.key in self._running:
                    continue
                await self._store.put(
                    shard, CALL_KIND, item.key, b"", need_backup=False
                )
