"""greengagetack.platform.replica: the HTTP protocol of the platform's replicas."""

import asyncio
import math
from collections.abc import Callable
from typing import Any

import msgspec
from loguru import logger

from greengagetack.gateway.call import Call, ExecutionStatus
from greengagetack.http1.message import ExchangeError, Request, ResponseHead, header
from greengagetack.http1.pool import Pool
from greengagetack.platform import wire
from greengagetack.platform.identity import with_identity
from greengagetack.replicas.replica import Replica
from greengagetack.weights.orders import EngineReport, LoadMode, LoadOrder, OrderEnd

__all__ = ["PlatformDialect", "PlatformOrderSender"]

# Headers that apply to a single connection, or that `build_request` sets itself.
DROPPED_HEADERS = frozenset(
    {
        b"connection",
        b"content-length",
        b"expect",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        wire.REQUEST_ID,
        wire.DEADLINE,
        wire.EXPECT_INSTANCE,
        wire.LAST_EVENT_ID,
    }
)
MISDIRECTED_STATUS = 421
ORDER_TIMEOUT_S = 0.8
REPORT_TIMEOUT_S = 0.6
MAX_RESPONSE_BYTES = 262_144
LOAD_MODE_NAMES = {LoadMode.RETAIN: "retain", LoadMode.WAIT: "wait"}
ORDER_ENDS = {
    200: OrderEnd.ALREADY_SO,
    202: OrderEnd.ACCEPTED,
    409: OrderEnd.CONFLICT,
    412: OrderEnd.FENCED,
    421: OrderEnd.REFUSED,
    400: OrderEnd.REFUSED,
}


def announces_leaving(head: ResponseHead) -> bool:
    """Whether the header of a leaving replica is set."""
    return header(head.headers, wire.SERVER_LEAVING) == b"1"


class PlatformDialect:
    """Implements `ReplicaDialect` for the platform's replicas."""

    def build_request(
        self,
        call: Call,
        replica: Replica,
        remaining_ms: float | None,
        after_event: str | None = None,
    ) -> Request:
        """Return the request for one replica, with the remaining time as deadline."""
        identified = with_identity(call.headers, call.customer, call.urgency)
        headers = [pair for pair in identified if pair[0] not in DROPPED_HEADERS]
        headers.append((wire.REQUEST_ID, call.request_id.encode()))
        headers.append((wire.EXPECT_INSTANCE, replica.replica_id.encode()))
        if remaining_ms is not None:
            headers.append((wire.DEADLINE, b"%d" % max(1, int(remaining_ms))))
        resume_after = after_event or header(call.headers, wire.LAST_EVENT_ID)
        if isinstance(resume_after, str):
            resume_after = resume_after.encode()
        if resume_after:
            headers.append((wire.LAST_EVENT_ID, resume_after))
        return Request(call.method, call.target, tuple(headers), call.body)

    def execution_status(self, head: ResponseHead) -> ExecutionStatus:
        """Return whether the replica ran the request."""
        if head.status == MISDIRECTED_STATUS:
            return ExecutionStatus.OTHER_REPLICA
        if header(head.headers, wire.NOT_EXECUTED) is not None:
            return ExecutionStatus.NOT_RUN
        return ExecutionStatus.RAN

    def is_genuine(self, head: ResponseHead) -> bool:
        """Whether the response carries the seal header that replicas set."""
        return header(head.headers, wire.RESPONSE_SEAL) is not None

    def score(self, head: ResponseHead) -> str:
        """Return the seal, which is also the score of a reward call."""
        return (header(head.headers, wire.RESPONSE_SEAL) or b"").decode("latin-1")

    def is_leaving(self, head: ResponseHead) -> bool:
        """Whether the replica announces that it leaves."""
        return announces_leaving(head)

    def rate_limit_per_s(self, head: ResponseHead) -> float | None:
        """Return the requests a second that the replica takes from all VMs together."""
        value = header(head.headers, wire.SERVER_LIMIT)
        return None if value is None else _parse_rate(value)

    def weight_version(self, head: ResponseHead) -> int | None:
        """Return the weight version that the response's headers name."""
        return _parse_version(header(head.headers, wire.WEIGHT_VERSIONS))

    def event_version(self, fields: tuple[tuple[str, str], ...]) -> int | None:
        """Return the weight version that a stream event switches to, if any."""
        for name, value in fields:
            if name == wire.WEIGHT_VERSIONS.decode():
                return _parse_version(value.encode())
        return None


def _parse_version(value: bytes | None) -> int | None:
    if value is None or not value.strip().isdigit():
        return None
    return int(value)


def _parse_rate(value: bytes) -> float | None:
    try:
        rate_per_s = float(value)
    except ValueError:
        rate_per_s = math.nan
    if math.isfinite(rate_per_s) and rate_per_s >= 0:
        return rate_per_s
    logger.warning("replicas: ignoring an invalid rate limit {}", value[:40])
    return None


class _ModelState(msgspec.Struct, frozen=True):
    name: str
    version: int


class _Report(msgspec.Struct, frozen=True):
    models: tuple[_ModelState, ...] = ()
    # Whether an order is in progress.
    busy: bool = False
    # Number of orders accepted.
    sequence: int = 0


class PlatformOrderSender:
    """Implements `OrderSender` for the platform's replicas."""

    def __init__(self, pool: Pool) -> None:
        self._pool = pool

    async def send(
        self, replica: Replica, order: LoadOrder, may_send: Callable[[], bool]
    ) -> OrderEnd:
        """Send one order and return its outcome.

        Opening a connection takes time, in which the right to order may run out.
        """
        order_fields: dict[str, Any] = {
            "operation": "version",
            "model": order.model,
            "version": order.version,
            "mode": LOAD_MODE_NAMES[order.mode],
            "holder": order.holder,
            "fence": order.fence,
        }
        if order.expected_orders is not None:
            # The replica carries the order out only if it has accepted this many.
            order_fields["precondition"] = order.expected_orders
        request = self._build_request(
            b"POST", b"/order", replica, msgspec.json.encode(order_fields)
        )
        try:
            async with asyncio.timeout(ORDER_TIMEOUT_S):
                async with self._pool.connection(replica.address) as connection:
                    if not may_send():
                        return OrderEnd.NOT_SENT
                    head = await connection.send(request)
                    body = await connection.read_all(MAX_RESPONSE_BYTES)
        except TimeoutError:
            return OrderEnd.UNKNOWN
        except ExchangeError as error:
            return OrderEnd.UNKNOWN if error.sent else OrderEnd.REFUSED
        end = ORDER_ENDS.get(head.status, OrderEnd.UNKNOWN)
        if end not in (OrderEnd.ACCEPTED, OrderEnd.ALREADY_SO):
            logger.info(
                "weights: order refused",
                replica=replica.replica_id,
                status=head.status,
                body=body[:200].decode(errors="replace"),
            )
        return end

    async def report(self, replica: Replica) -> EngineReport | None:
        """Return the replica's state, None if it sends no valid report."""
        request = self._build_request(b"GET", b"/report", replica, b"")
        try:
            async with asyncio.timeout(REPORT_TIMEOUT_S):
                async with self._pool.connection(replica.address) as connection:
                    head = await connection.send(request)
                    body = await connection.read_all(MAX_RESPONSE_BYTES)
            if head.status != 200:
                return None
            report = msgspec.json.decode(body, type=_Report)
        except (
            ExchangeError,
            TimeoutError,
            msgspec.MsgspecError,
            RecursionError,
        ) as error:
            logger.info(
                "weights: no valid report from replica",
                replica=replica.replica_id,
                reason=repr(error),
            )
            return None
        versions = {model.name: model.version for model in report.models}
        return EngineReport(
            versions, report.busy, report.sequence, announces_leaving(head)
        )

    def _build_request(
        self, method: bytes, target: bytes, replica: Replica, body: bytes
    ) -> Request:
        headers = (
            (b"host", str(replica.address).encode()),
            (b"content-type", b"application/json"),
            (wire.EXPECT_INSTANCE, replica.replica_id.encode()),
        )
        return Request(method, target, headers, body)
