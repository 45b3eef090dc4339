"""Case 9: streams of nearly full replicas are sent to more of them than allowed."""

from review.rig.deployment import CannotRun, Deployment, Record, run_case
from review.rig.slowing import Streams, Work, check_replicas, slowing_replicas, start

REPLICAS = 6
DAEMONS = 3
WORK = Work(events=8, first_s=0.0, event_s=0.15, pause_s=0.05)
USUAL_CLIENTS = 6
# Seven at each replica on average; they have eight slots.
NEARLY_FULL_CLIENTS = 42
DIRECT_LOAD_S = 2.0
LOAD_S = 12.0
MAX_ATTEMPTS = 2
# More requests than these break the rule.
MAX_REQUESTS = 3


def case(record: Record, is_disrupted: bool) -> str:
    """Open streams; return how BUDGET was broken."""
    with Deployment() as deployment:
        start(deployment, REPLICAS, WORK, DAEMONS)
        clients = NEARLY_FULL_CLIENTS if is_disrupted else USUAL_CLIENTS
        check_replicas(deployment, record, clients, DIRECT_LOAD_S)
        record.add(f"{clients} clients open streams at edge-1")
        address = deployment.address_of("edge-1", "front")
        streams = Streams("chat", address, clients, LOAD_S)
        streams.wait()
        ran_at = {
            name: replica.ran_ids
            for name, replica in slowing_replicas(deployment).items()
        }
    over = most = 0
    for stream in streams.all:
        names = [name for name, ids in ran_at.items() if stream.request_id in ids]
        is_over = len(names) > MAX_ATTEMPTS
        over += is_over
        most = max(most, len(names))
        record.add(
            f"{stream.request_id}: {stream.events} events, {stream.end}; ran on "
            f"{', '.join(names) or 'none'}" + (" (over its limit)" if is_over else "")
        )
    if not most:
        raise CannotRun("no stream has run")
    if over <= MAX_REQUESTS:
        return ""
    return (
        f"BUDGET: {over} of {len(streams.all)} requests ran on more than "
        f"{MAX_ATTEMPTS} replicas in one client attempt, {most} at most"
    )


if __name__ == "__main__":
    run_case(__file__, case)
