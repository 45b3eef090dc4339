"""features.steps.http_bounds_steps: connection limits that change while open."""

import http.client
import socket
from contextlib import suppress

from behave import given, then, when
from behave.runner import Context
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from features.support.raw_http import ServedApp
from greengagetack.daemons.protocol import HttpBounds

CLOSE_TIMEOUT_S = 20.0
PARTIAL_REQUEST = b"GET / HTTP/1.1\r\nHost: te"
REQUEST_WITHOUT_END = b"GET / HTTP/1.1\r\nHost: test\r\n"


def _bounds(idle: str, header: str, size: str) -> HttpBounds:
    return HttpBounds(float(header), float(idle), int(size))


@given(
    "an HTTP server with limits of {idle} s idle, {header} s and {size} bytes per "
    "header block"
)
def step_server(context: Context, idle: str, header: str, size: str) -> None:
    async def answer(request: Request) -> Response:
        return Response(b"ok")

    context.bounds = _bounds(idle, header, size)
    app = Starlette(routes=[Route("/", answer)])
    context.served = ServedApp(app, lambda: context.bounds)
    context.add_cleanup(context.served.close)
    address = context.served.address
    context.connection = socket.create_connection((address.host, address.port))
    context.connection.settimeout(CLOSE_TIMEOUT_S)
    context.add_cleanup(context.connection.close)


def _exchange(connection: socket.socket, data: bytes) -> int:
    """Send bytes and return the status of the answer."""
    connection.sendall(data)
    answer = http.client.HTTPResponse(connection)
    answer.begin()
    answer.read()
    return answer.status


def _is_closed(connection: socket.socket, wait_s: float) -> bool:
    connection.settimeout(wait_s)
    with suppress(TimeoutError, ConnectionError):
        return connection.recv(1) == b""
    return False


@when("a connection has served a request and the limits change to {limits}")
def step_change(context: Context, limits: str) -> None:
    assert _exchange(context.connection, REQUEST_WITHOUT_END + b"\r\n") == 200
    idle, header, size = limits.replace(" s", "").split(", ")
    context.bounds = _bounds(idle, header, size)


@then("the server answers {sent} on the connection with {outcome}")
def step_answers(context: Context, sent: str, outcome: str) -> None:
    requests = {
        "a good body and a rest": REQUEST_WITHOUT_END + b"\r\n",
        "a good body": REQUEST_WITHOUT_END + b"\r\n",
        "half a head": PARTIAL_REQUEST,
        "a head of 300 bytes": REQUEST_WITHOUT_END + b"X-A: " + b"a" * 300,
    }
    status, end = outcome.split(", ")
    assert _exchange(context.connection, requests[sent]) == int(status)
    is_kept = end == "kept"
    wait_s = 0.2 if is_kept else CLOSE_TIMEOUT_S
    assert _is_closed(context.connection, wait_s) != is_kept


@when("a connection is opened and nothing is sent")
def step_silent(context: Context) -> None:
    return


@then("the connection is closed without an answer")
def step_closed(context: Context) -> None:
    assert _is_closed(context.connection, CLOSE_TIMEOUT_S)
