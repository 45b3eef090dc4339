"""greengagetack.keeper.orders: orders to the engines that this VM keeps."""

from loguru import logger

from greengagetack.daemons.role import Services
from greengagetack.engines.state import Order, OrderKind
from greengagetack.errors import (
    CodedError,
    Conflict,
    EndpointFailed,
    InvalidRequest,
    OwnerUnavailable,
)
from greengagetack.keeper.gate import EngineGate
from greengagetack.leases.decisions import may_send_order
from greengagetack.weights.messages import OrderEndpoint, ReplicaState
from greengagetack.world import Endpoint, Fencing

__all__ = ["send_order"]

NOT_KEEPER_RETRY_S = 0.5


def _fencing_number(services: Services, endpoint: Endpoint) -> int:
    """Return the fencing number for an order.

    Raises
    ------
    Conflict
        If this VM is not the endpoint's keeper.
    OwnerUnavailable
        If the endpoint ignores fencing numbers and this VM does not hold the
        keeper lease, so that it may not be the only keeper.
    """
    directory = services.directory
    number = directory.fencing_number(endpoint.endpoint_id)
    if number is None:
        raise Conflict(f"this VM does not keep {endpoint.endpoint_id}")
    checks_fencing = endpoint.fencing is Fencing.CHECKED
    lease_held = directory.holds_keeper_lease(endpoint.endpoint_id)
    if not may_send_order(True, checks_fencing, lease_held):
        raise OwnerUnavailable(
            f"{endpoint.endpoint_id} ignores fencing numbers and this VM does not "
            "hold its keeper lease",
            NOT_KEEPER_RETRY_S,
        )
    return number


async def send_order(
    services: Services, gate: EngineGate, request: OrderEndpoint
) -> ReplicaState:
    """Send an order to the engine and return the versions read back from it.

    The answer to the order itself is not relied on, because it may be lost although
    the engine has carried out the order.

    Raises
    ------
    CodedError
        If the order may not be sent, or the read-back does not show its effect.
    """
    endpoint = gate.endpoint
    try:
        kind = OrderKind(request.kind)
    except ValueError:
        raise InvalidRequest(f"unknown kind of order: {request.kind!r}") from None
    number = _fencing_number(services, endpoint)
    order = Order(kind, number, request.model, request.version)
    failure: CodedError | None = None
    try:
        await gate.adapter.send_order(order)
    except Conflict as error:
        raise Conflict(
            f"{endpoint.endpoint_id} rejected fencing number {number}: {error.reason}"
        ) from error
    except CodedError as error:
        failure = error
    await gate.versions.refresh()
    versions = gate.versions.state and gate.versions.state.versions(request.model)
    if not versions:
        raise EndpointFailed(f"{endpoint.endpoint_id} does not serve {request.model}")
    active, prefetched = versions.active, versions.prefetched
    has_taken_effect = request.version in (active, *prefetched)
    if kind is OrderKind.ACTIVATE:
        has_taken_effect = active == request.version
    if not has_taken_effect:
        raise failure or EndpointFailed(
            f"{endpoint.endpoint_id} reports active version {active} after the order"
        )
    logger.info(
        "keeper: order {} of version {} took effect at {}",
        kind.value,
        request.version,
        endpoint.endpoint_id,
    )
    gate.wake_dispatch()
    return ReplicaState(endpoint.endpoint_id, active, prefetched)
