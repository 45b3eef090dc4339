"""features.support.standins: a small blocking HTTP client for stand-ins."""

import http.client
import json
import time
from collections.abc import Callable, Iterator
from typing import Any
from urllib.parse import urlsplit

from behave.runner import Context

from standins.processes import Process, ProcessGroup

__all__ = [
    "Answer",
    "EventStream",
    "call",
    "stand_in_process",
    "start_stand_in",
    "wait_until",
]

CALL_TIMEOUT_S = 20.0
WAIT_TIMEOUT_S = 20.0


class Answer:
    """Status, headers and decoded body of an answer."""

    def __init__(self, response: http.client.HTTPResponse) -> None:
        self.status = response.status
        self.headers = response.headers
        body = response.read()
        is_json = "json" in response.headers.get("content-type", "")
        self.body: Any = json.loads(body) if is_json else body


class EventStream:
    """A streamed answer, read event by event."""

    def __init__(
        self, url: str, body: dict[str, Any], timeout_s: float = CALL_TIMEOUT_S
    ) -> None:
        self._connection = connect(url, timeout_s)
        send(self._connection, "POST", "/v1/completions", {"stream": True, **body}, {})
        self._response = self._connection.getresponse()
        self.status = self._response.status

    def events(self) -> Iterator[dict[str, Any]]:
        """Yield the events until ``[DONE]``."""
        while line := self._response.readline():
            text = line.decode().strip()
            if text == "data: [DONE]":
                return
            if text.startswith("data: "):
                yield json.loads(text.removeprefix("data: "))

    def close(self) -> None:
        """Close the stream and its connection."""
        self._response.close()
        self._connection.close()


def connect(url: str, timeout_s: float) -> http.client.HTTPConnection:
    """Return a connection to a base URL."""
    parts = urlsplit(url)
    assert parts.hostname is not None
    return http.client.HTTPConnection(parts.hostname, parts.port, timeout=timeout_s)


def send(
    connection: http.client.HTTPConnection,
    method: str,
    path: str,
    body: Any,
    headers: dict[str, str],
) -> None:
    """Send a request with a JSON body."""
    data = None if body is None else json.dumps(body).encode()
    connection.request(method, path, data, headers)


def call(
    url: str,
    method: str,
    path: str,
    body: Any = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = CALL_TIMEOUT_S,
) -> Answer:
    """Send one request on a new connection and return its answer."""
    connection = connect(url, timeout_s)
    try:
        send(connection, method, path, body, headers or {})
        return Answer(connection.getresponse())
    finally:
        connection.close()


def start_stand_in(context: Context, kind: str, options: str, name: str) -> Process:
    """Start a stand-in that is stopped after the scenario."""
    if not hasattr(context, "stand_ins"):
        context.group = ProcessGroup()
        context.stand_ins = {}
        context.add_cleanup(context.group.close)
    process = context.group.start_stand_in(kind, *options.split(), name=name)
    context.stand_ins[name] = process
    return process


def stand_in_process(context: Context, name: str) -> Process:
    """Return the process of the stand-in with a name."""
    process = context.stand_ins[name]
    assert isinstance(process, Process)
    return process


def wait_until(condition: Callable[[], Any], timeout_s: float = WAIT_TIMEOUT_S) -> Any:
    """Poll until the condition is truthy and return its value."""
    deadline_s = time.monotonic() + timeout_s
    while time.monotonic() < deadline_s:
        found = condition()
        if found:
            return found
        time.sleep(0.02)
    raise AssertionError("the condition was not met in time")
