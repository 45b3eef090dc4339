"""greengagetack.calls.messages: keyed calls and their records."""

from dataclasses import dataclass

from greengagetack.keeper.messages import CallService, ServiceAnswer
from greengagetack.leases.decisions import CallState
from greengagetack.peers.codec import message

__all__ = ["CallRecord", "KeyedCall"]


@message("keyed-call")
@dataclass(frozen=True, slots=True)
class KeyedCall:
    """A non-idempotent call with a key that identifies it across retries.

    `fingerprint` identifies the content; the same key with different content is
    a conflict. With `is_first_attempt` the caller guarantees that there was no
    earlier attempt with this key.
    """

    key: str
    fingerprint: str
    is_first_attempt: bool
    call: CallService


@dataclass(frozen=True, slots=True)
class CallRecord:
    """The state of a key as stored by the owner and backup of its shard.

    `written_wall_s` is in seconds since the Unix epoch.
    """

    state: CallState
    fingerprint: str
    written_wall_s: float
    answer: ServiceAnswer | None = None
