"""greengagetack.membership.assignment: assigns a keeper VM to each endpoint."""

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
    """Return the VM identifier of each endpoint's keeper, by endpoint.

    An endpoint stays with its keeper while that VM is a live member and keeps at most
    its even share, rounded up. Other endpoints go to members below their share,
    preferring those in the endpoint's availability zone, then by rendezvous order.

    Parameters
    ----------
    endpoints : tuple of Endpoint
        All endpoints of the settings.
    members : tuple of Vm
        The members of the cell; leaving members are assigned no endpoints.
    current : dict of str to str
        The present keepers, by endpoint.
    """
    live_members = {vm.vm_id: vm for vm in members if vm.state is VmState.LIVE}
    if not live_members:
        return {}
    share = math.ceil(len(endpoints) / len(live_members))
    chosen: dict[str, str] = {}
    kept_count: Counter[str] = Counter()
    for endpoint in endpoints:
        keeper = current.get(endpoint.endpoint_id, "")
        if keeper not in live_members or kept_count[keeper] >= share:
            continue
        chosen[endpoint.endpoint_id] = keeper
        kept_count[keeper] += 1
    for endpoint in endpoints:
        if endpoint.endpoint_id in chosen:
            continue
        keeper = _best_keeper(endpoint, live_members, kept_count, share)
        chosen[endpoint.endpoint_id] = keeper
        kept_count[keeper] += 1
    return chosen


def _best_keeper(
    endpoint: Endpoint,
    live_members: dict[str, Vm],
    kept_count: Counter[str],
    share: int,
) -> str:
    below_share = [vm_id for vm_id in live_members if kept_count[vm_id] < share]
    same_zone = [
        vm_id
        for vm_id in below_share
        if live_members[vm_id].availability_zone == endpoint.availability_zone
    ]
    return rendezvous_order(endpoint.endpoint_id, tuple(same_zone or below_share))[0]
