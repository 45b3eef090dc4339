"""greengagetack.engines.plain: adapter for plain HTTP services."""

from greengagetack.engines.base import EngineAdapter, adapter
from greengagetack.errors import EndpointRefused
from greengagetack.keeper.messages import CallService, Header, ServiceAnswer

__all__ = ["PlainAdapter"]

NOT_RUN_HEADER = "x-not-run"
DEFAULT_RETRY_S = 1.0
LEAVING_TIMEOUT_S = 2.0

# Hop-by-hop headers, which are not forwarded.
CONNECTION_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "host",
        "keep-alive",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


@adapter("plain")
class PlainAdapter(EngineAdapter):
    """Forwards calls to a service without retries."""

    async def call(self, request: CallService) -> ServiceAnswer:
        """Send one plain HTTP call, without retries.

        Raises
        ------
        EndpointRefused
            If no connection was made or the service reports that it did not run
            the call.
        EndpointFailed
            If the call was sent but no complete answer arrived.
        """
        headers = {
            header.name: header.value
            for header in request.headers
            if header.name.lower() not in CONNECTION_HEADERS
        }
        answer = await self.http.request(
            request.method,
            "/" + request.path.lstrip("/"),
            request.time_left_s,
            request.body,
            headers,
            never_resend=True,
        )
        if answer.status == 503 and answer.header(NOT_RUN_HEADER) == "true":
            raise EndpointRefused(
                f"{self.endpoint.endpoint_id} refused the call before running it",
                DEFAULT_RETRY_S,
            )
        return ServiceAnswer(
            status=answer.status,
            headers=tuple(
                Header(name, value)
                for name, value in answer.headers
                if name.lower() not in CONNECTION_HEADERS
            ),
            body=answer.body,
        )

    async def is_leaving(self) -> bool:
        """Return whether the service reports that it is leaving."""
        answer = await self.http.request("GET", "/healthz", LEAVING_TIMEOUT_S)
        return answer.status == 503 and b"leaving" in answer.body
