"""greengagetack.membership.assignment: which VM keeps which endpoint."""

import math
from collections import Counter

from greengagetack.membership.table import rendezvous_order
from greengagetack.world import Endpoint, Vm, VmState

__all__ = ["assign_keepers"]


def assign_keepers(
    endpoints: tuple[Endpoint, ...],
    members: tuple[Vm, ...],
    current: dict[str, str],
) -> dict[str, str]:
    """Return the keeper's VM identifier for each endpoint, by endpoint.

    A keeper stays while it is a member that does not leave and keeps at most
    its even share, rounded up. Other endpoints go to members below their share,
    those in the endpoint's availability zone first, then by rendezvous order.

    Parameters
    ----------
    endpoints : tuple of Endpoint
        All endpoints of the settings.
    members : tuple of Vm
        The members of the cell; those that leave get nothing.
    current : dict of str to str
        The keepers so far, by endpoint.
    """
    live = {vm.vm_id: vm for vm in members if vm.state is VmState.LIVE}
    if not live:
        return {}
    share = math.ceil(len(endpoints) / len(live))
    chosen: dict[str, str] = {}
    load: Counter[str] = Counter()
    for endpoint in endpoints:
        keeper = current.get(endpoint.endpoint_id, "")
        if keeper not in live or load[keeper] >= share:
            continue
        chosen[endpoint.endpoint_id] = keeper
        load[keeper] += 1
    for endpoint in endpoints:
        if endpoint.endpoint_id in chosen:
            continue
        keeper = _best_keeper(endpoint, live, load, share)
        chosen[endpoint.endpoint_id] = keeper
        load[keeper] += 1
    return chosen


def _best_keeper(
    endpoint: Endpoint, live: dict[str, Vm], load: Counter[str], share: int
) -> str:
    below = [vm_id for vm_id in live if load[vm_id] < share]
    near = [
        vm_id
        for vm_id in below
        if live[vm_id].availability_zone == endpoint.availability_zone
    ]
    return rendezvous_order(endpoint.endpoint_id, tuple(near or below))[0]
