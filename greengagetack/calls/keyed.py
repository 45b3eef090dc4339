"""greengagetack.calls.keyed: at-most-once execution of keyed calls."""

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
TOO_MANY_RECORDS_RETRY_S = 30.0
MAX_RECORDS_PER_SHARD = 4_096
MAX_RECORDED_ANSWER_BYTES = 16_384

SendOnce = Callable[[CallService], Awaitable[ServiceAnswer]]


def record_key(call: KeyedCall) -> str:
    """Return the key of a call's record, unique across teams and services."""
    return f"{call.call.team}/{call.call.service}/{call.key}"


class KeyedCalls:
    """Runs the keyed calls of the shards that this VM owns.

    The intent is recorded at the backup before anything is sent, so that no
    later owner can treat the key as new.

    Parameters
    ----------
    store : ShardStore
        Stores the records of calls.
    send : callable
        Sends a call to an endpoint; repeats it only if it certainly did not run.
    retention_s : callable
        Returns for how many seconds the record of an ended call is kept.
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
        """Run a keyed call, or return the recorded answer of its key.

        Raises
        ------
        OwnerUnavailable
            If this VM may not act as the key's owner now; nothing was run.
        Conflict
            If the key was already used with different content.
        CallInProgress
            If the call is running.
        CallOutcomeUnknown
            If the call may have run and no answer is known.
        CodedError
            If the call certainly did not run.
        """
        key = record_key(call)
        shard = self._store.shard_of(key)
        if not self._store.may_act(shard):
            raise OwnerUnavailable("the owner of the key cannot act now", OWNER_RETRY_S)
        record = self._read_record(shard, key)
        if record is not None and record.fingerprint != call.fingerprint:
            raise Conflict("the key was already used with different content")
        decision = answer_to_keyed_call(
            record.state if record is not None else None,
            key in self._running,
            self._store.may_lack_records(shard),
            call.is_first_attempt,
        )
        if decision is KeyedAnswer.IN_PROGRESS or key in self._running:
            raise CallInProgress("a call with this key is running", IN_PROGRESS_RETRY_S)
        if decision is KeyedAnswer.REPLAY and record is not None:
            return self._recorded_answer(record)
        if decision is KeyedAnswer.RUN:
            return await self._run_new(shard, key, call)
        raise CallOutcomeUnknown("an earlier call with this key may have run")

    def _read_record(self, shard: int, key: str) -> CallRecord | None:
        value = self._store.get(shard, CALL_KIND, key)
        if value is None:
            return None
        return msgspec.msgpack.decode(value, type=CallRecord)

    def _recorded_answer(self, record: CallRecord) -> ServiceAnswer:
        if record.answer is None:
            raise CallOutcomeUnknown(
                "the call ran, but its answer was too large to be recorded"
            )
        return record.answer

    async def _run_new(self, shard: int, key: str, call: KeyedCall) -> ServiceAnswer:
        if len(self._store.records(shard, CALL_KIND)) >= MAX_RECORDS_PER_SHARD:
            raise Overloaded(
                "too many calls are recorded in the shard of this key",
                TOO_MANY_RECORDS_RETRY_S,
            )
        self._running.add(key)
        try:
            await self._write_intent(shard, key, call)
            return await self._send_recorded(shard, key, call)
        finally:
            self._running.discard(key)

    async def _write_intent(self, shard: int, key: str, call: KeyedCall) -> None:
        """Record the intent at owner and backup; after an error nothing was sent."""
        try:
            await self._write_record(shard, key, call, CallState.INTENT)
        except CodedError as error:
            await self._record_outcome(shard, key, call, CallState.NOT_RUN)
            raise OwnerUnavailable(
                f"the intent could not be recorded: {error.reason}",
                error.retry_after_s or OWNER_RETRY_S,
            ) from error
        if not self._store.may_act(shard):
            await self._record_outcome(shard, key, call, CallState.NOT_RUN)
            raise OwnerUnavailable("the owner of the key changed", OWNER_RETRY_S)

    async def _send_recorded(
        self, shard: int, key: str, call: KeyedCall
    ) -> ServiceAnswer:
        try:
            answer = await self._send(call.call)
        except CodedError as error:
            not_run = error.outcome is Outcome.NOT_RUN
            state = CallState.NOT_RUN if not_run else CallState.UNKNOWN
            await self._record_outcome(shard, key, call, state)
            if not_run:
                raise
            raise CallOutcomeUnknown(
                f"the call may have run: {error.reason}"
            ) from error
        await self._record_outcome(shard, key, call, CallState.DONE, answer)
        return answer

    async def _record_outcome(
        self,
        shard: int,
        key: str,
        call: KeyedCall,
        state: CallState,
        answer: ServiceAnswer | None = None,
    ) -> None:
        """Record the end of a call; if that fails, the intent stays recorded."""
        try:
            await self._write_record(shard, key, call, state, answer)
        except CodedError as error:
            logger.warning("calls: outcome of a call not recorded: {}", error.reason)

    async def _write_record(
        self,
        shard: int,
        key: str,
        call: KeyedCall,
        state: CallState,
        answer: ServiceAnswer | None = None,
    ) -> None:
        recorded_answer = answer
        if answer is not None and len(answer.body) > MAX_RECORDED_ANSWER_BYTES:
            recorded_answer = None
        record = CallRecord(
            state, call.fingerprint, self._timer.wall_s(), recorded_answer
        )
        value = msgspec.msgpack.encode(record)
        await self._store.put(shard, CALL_KIND, key, value, need_backup=True)

    async def delete_expired(self, shard_count: int) -> None:
        """Delete the records of ended calls after their retention time."""
        oldest_kept_s = self._timer.wall_s() - self._retention_s()
        for shard in range(shard_count):
            if not self._store.may_act(shard):
                continue
            for item in self._store.records(shard, CALL_KIND):
                record = msgspec.msgpack.decode(item.value, type=CallRecord)
                if record.written_wall_s > oldest_kept_s or item.key in self._running:
                    continue
                await self._store.put(
                    shard, CALL_KIND, item.key, b"", need_backup=False
                )
