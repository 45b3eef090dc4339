"""greengagetack.coordination.zone_relay: which daemons follow on behalf of a zone."""

from collections.abc import Iterable

import xxhash

from greengagetack.coordination.messages import Member

__all__ = ["zone_candidates"]

# A zone with at most this many listed daemons has no relay: its daemons follow the
# dispatcher, which they load less than a relay's additional hop would delay them.
MAX_DAEMONS_WITHOUT_RELAY = 8
# The second one is followed while the first one does not answer.
CANDIDATES = 2


def zone_candidates(
    members: Iterable[Member], zone: str, dispatcher_node: str
) -> tuple[Member, ...]:
    """Return the daemons that a zone's other daemons follow, the first one first.

    Faster VMs rank first and the dispatcher last, as it already serves the relays of
    all zones. The order of equal VMs depends on a hash. Small zones have none.
    """
    listed = [member for member in members if member.availability_zone == zone]
    if len(listed) <= MAX_DAEMONS_WITHOUT_RELAY:
        return ()

    def sort_key(member: Member) -> tuple[bool, float, int]:
        digest = xxhash.xxh64_intdigest(f"relay/{zone}/{member.node}".encode())
        return member.node == dispatcher_node, -member.cores, digest

    return tuple(sorted(listed, key=sort_key)[:CANDIDATES])
