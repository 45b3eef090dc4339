"""features.support.http_calls: calls an ASGI application without sockets."""

import json
from dataclasses import dataclass
from typing import Any

from starlette.applications import Starlette

__all__ = ["ApplicationAnswer", "call_application"]


@dataclass(frozen=True)
class ApplicationAnswer:
    """Status and body of a response."""

    status: int
    body: bytes

    def json(self) -> Any:
        """Decode the body as JSON."""
        return json.loads(self.body)


async def call_application(
    app: Starlette, method: str, path: str, token: str, body: bytes = b""
) -> ApplicationAnswer:
    """Send one request to an application and return the complete response."""
    sent: list[Any] = []
    headers = [
        (b"authorization", f"Bearer {token}".encode()),
        (b"content-type", b"application/json"),
        (b"content-length", str(len(body)).encode()),
    ]
    scope = {
        "type": "http",
        "method": method,
        "path": path,
        "query_string": b"",
        "headers": headers,
    }

    async def receive() -> Any:
        return {"type": "http.request", "body": body, "more_body": False}

    async def send(event: Any) -> None:
        sent.append(event)

    await app(scope, receive, send)
    parts = [event.get("body", b"") for event in sent[1:]]
    return ApplicationAnswer(sent[0]["status"], b"".join(parts))
