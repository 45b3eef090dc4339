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
from greengagetack.leases.decisions import may_give_order
from greengagetack.weights.messages import OrderEndpoint, ReplicaState
from greengagetack.world import Endpoint, Fencing

__all__ = ["give_order"]

NOT_KEEPER_RETRY_S = 0.5


def _fencing_number(services: Services, endpoint: Endpoint) -> int:
    """Return the number for an order.

    Raises
    ------
    Conflict
        If this VM is not the endpoint's keeper.
    OwnerUnavailable
        If the endpoint ignores fencing numbers and this VM is not surely its
        only keeper.
    """
    directory = services.directory
    number = directory.fencing_number(endpoint.endpoint_id)
    if number is None:
        raise Conflict(f"this VM does not keep {endpoint.endpoint_id}")
    checks = endpoint.fencing is Fencing.CHECKED
    surely_held = directory.holds_keeper_lease(endpoint.endpoint_id)
    if not may_give_order(True, checks, surely_held):
        raise OwnerUnavailable(
            f"{endpoint.endpoint_id} takes any order and this VM is not sure "
            "to be its only keeper",
            NOT_KEEPER_RETRY_S,
        )
    return number


async def give_order(
    services: Services, gate: EngineGate, request: OrderEndpoint
) -> ReplicaState:
    """Give an order and return what is read back from the engine.

    The answer to the order itself is not trusted: it may be lost, and the
    order carried out nevertheless.

    Raises
    ------
    CodedError
        If the order may not be given, or the read-back does not show its effect.
    """
    endpoint = gate.endpoint
    try:
        kind = OrderKind(request.kind)
    except ValueError:
        raise InvalidRequest(f"there is no order {request.kind!r}") from None
    number = _fencing_number(services, endpoint)
    order = Order(kind, number, request.model, request.version)
    failure: CodedError | None = None
    try:
        await gate.adapter.give_order(order)
    except Conflict as error:
        raise Conflict(
            f"{endpoint.endpoint_id} refuses fencing number {number}: {error.reason}"
        ) from error
    except CodedError as error:
        failure = error
    await gate.versions.refresh()
    versions = gate.versions.state and gate.versions.state.versions(request.model)
    if not versions:
        raise EndpointFailed(f"{endpoint.endpoint_id} does not serve {request.model}")
    active, prefetched = versions.active, versions.prefetched
    done = request.version in (active, *prefetched)
    if kind is OrderKind.ACTIVATE:
        done = active == request.version
    if not done:
        raise failure or EndpointFailed(
            f"{endpoint.endpoint_id} shows version {active} after the order"
        )
    logger.info(
        "keeper: {} of version {} at {}",
        kind.value,
        request.version,
        endpoint.endpoint_id,
    )
    gate.wake()
    return ReplicaState(endpoint.endpoint_id, active, prefetched)
