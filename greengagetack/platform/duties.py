"""greengagetack.platform.duties: the platform's API for usage reports and scaling."""

import asyncio
from collections.abc import Mapping
from typing import Any

import msgspec
from loguru import logger

from greengagetack.coordination.duty_api import DutyEnd, DutyTerms, ReplicaOrder
from greengagetack.http1.connection import open_connection
from greengagetack.http1.limits import ResponseLimits
from greengagetack.http1.message import ConnectFailed, ExchangeError, Request
from greengagetack.http1.pool import Pool
from greengagetack.platform import wire
from greengagetack.world import Address

__all__ = ["PlatformDutyApi"]

CONNECT_TIMEOUT_S = 0.5
CALL_TIMEOUT_S = 1.5
MAX_RESPONSE_BYTES = 262_144
MAX_LOGGED_BYTES = 200
ENDS = {200: DutyEnd.ACCEPTED, 409: DutyEnd.CONFLICT, 429: DutyEnd.LIMITED}


class PlatformDutyApi:
    """Implements `DutyApi` for the platform's API."""

    def __init__(self, address: Address, limits: ResponseLimits | None = None) -> None:
        self._address = address
        self._limits = limits or ResponseLimits()
        self._pool = Pool(CONNECT_TIMEOUT_S, self._limits)

    async def report_usage(
        self, window: int, counts: Mapping[str, int], terms: DutyTerms
    ) -> DutyEnd:
        """Report each customer's requests of a window."""
        return await self._call(
            b"/usage", {"window": window, "counts": dict(counts)}, terms
        )

    async def order_replicas(self, order: ReplicaOrder, terms: DutyTerms) -> DutyEnd:
        """Order the number of replicas of a service in a zone."""
        fields: dict[str, Any] = {
            "service": order.service,
            "zone": order.availability_zone,
            "target_groups": order.replicas,
        }
        if order.is_spot:
            fields["spot"] = True
        return await self._call(b"/scale", fields, terms)

    async def is_reachable(self) -> bool:
        """Return whether the API accepts a connection from this VM now."""
        try:
            connection = await open_connection(
                self._address, wire.REQUEST_ID, CONNECT_TIMEOUT_S, self._limits
            )
        except ConnectFailed:
            return False
        connection.close()
        return True

    async def _call(
        self, target: bytes, fields: dict[str, Any], terms: DutyTerms
    ) -> DutyEnd:
        """Send one call; opening a connection takes time, in which a lease may end."""
        headers = (
            (b"host", str(self._address).encode()),
            (b"content-type", b"application/json"),
            (wire.DUTY_HOLDER, terms.holder.encode()),
            (wire.FENCE_TOKEN, b"%d" % terms.fence),
        )
        request = Request(b"POST", target, headers, msgspec.json.encode(fields))
        is_sent = False
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                async with self._pool.connection(self._address) as connection:
                    if not terms.may_send():
                        return DutyEnd.NOT_SENT
                    is_sent = True
                    head = await connection.send(request)
                    body = await connection.read_all(MAX_RESPONSE_BYTES)
        except (ExchangeError, TimeoutError) as error:
            end = DutyEnd.UNKNOWN if is_sent else DutyEnd.NOT_SENT
            logger.info(
                "duties: call failed",
                target=target.decode(),
                end=end.value,
                reason=repr(error),
            )
            return end
        end = ENDS.get(head.status, DutyEnd.REFUSED)
        if end is not DutyEnd.ACCEPTED:
            logger.info(
                "duties: call refused",
                target=target.decode(),
                status=head.status,
                body=body[:MAX_LOGGED_BYTES].decode(errors="replace"),
            )
        return end
