"""greengagetack.calls.messages: keyed calls and their records."""

from dataclasses import dataclass

from greengagetack.keeper.messages import CallService, ServiceAnswer
from greengagetack.leases.decisions import CallState
from greengagetack.peers.codec import message

__all__ = ["CallRecord", "KeyedCall"]


@message("keyed-call")
@dataclass(frozen=True, slots=True)
class KeyedCall:
    """A non-idempotent call under a key that names it across repeats.

    `fingerprint` identifies the content; the same key with other content is a
    conflict. `is_first_attempt` is the caller's word that no earlier attempt
    with this key exists.
    """

    key: str
    fingerprint: str
    is_first_attempt: bool
    call: CallService


@dataclass(frozen=True, slots=True)
class CallRecord:
    """What the pair of a shard remembers about a key.

    `written_wall_s` is in seconds since the epoch.
    """

    state: CallState
    fingerprint: str
    written_wall_s: float
    answer: ServiceAnswer | None = None
