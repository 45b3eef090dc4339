"""greengagetack.engines.plain: plain services behind HTTP."""

from greengagetack.engines.base import EngineAdapter, adapter
from greengagetack.errors import EndpointRefused
from greengagetack.keeper.messages import CallService, Header, ServiceAnswer

__all__ = ["PlainAdapter"]

NOT_RUN_HEADER = "x-not-run"
DEFAULT_RETRY_S = 1.0
LEAVING_TIMEOUT_S = 2.0

# Headers that belong to one connection and are not passed on.
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
    """Passes a call on to a service, once."""

    async def call(self, request: CallService) -> ServiceAnswer:
        """Send one plain HTTP call, once.

        Raises
        ------
        EndpointRefused
            If no connection was made or the service says that it did not run.
        EndpointFailed
            If the call was sent and no whole answer came.
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
            once=True,
        )
        if answer.status == 503 and answer.header(NOT_RUN_HEADER) == "true":
            raise EndpointRefused(
                f"{self.endpoint.endpoint_id} refused before running", DEFAULT_RETRY_S
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
        """Return whether the service says that it is leaving."""
        answer = await self.http.request("GET", "/healthz", LEAVING_TIMEOUT_S)
        return answer.status == 503 and b"leaving" in answer.body
