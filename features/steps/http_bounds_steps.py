"""features.steps.http_bounds_steps: bounds on connections that change while open."""

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

LIMIT_S = 20.0
HALF_A_HEAD = b"GET / HTTP/1.1\r\nHost: te"
WHOLE_HEAD = b"GET / HTTP/1.1\r\nHost: test\r\n"


def _bounds(idle: str, header: str, size: str) -> HttpBounds:
    return HttpBounds(float(header), float(idle), int(size))


@given(
    "an HTTP server that gives a connection {idle} s of rest, {header} s and {size} "
    "bytes a head"
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
    context.connection.settimeout(LIMIT_S)
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


@when("a connection has had a good answer and the bounds change to {bounds}")
def step_change(context: Context, bounds: str) -> None:
    assert _exchange(context.connection, WHOLE_HEAD + b"\r\n") == 200
    idle, header, size = bounds.replace(" s", "").split(", ")
    context.bounds = _bounds(idle, header, size)


@then("the connection meets {sent} with {outcome}")
def step_meets(context: Context, sent: str, outcome: str) -> None:
    requests = {
        "a good body and a rest": WHOLE_HEAD + b"\r\n",
        "a good body": WHOLE_HEAD + b"\r\n",
        "half a head": HALF_A_HEAD,
        "a head of 300 bytes": WHOLE_HEAD + b"X-A: " + b"a" * 300,
    }
    status, end = outcome.split(", ")
    assert _exchange(context.connection, requests[sent]) == int(status)
    is_kept = end == "kept"
    wait_s = 0.2 if is_kept else LIMIT_S
    assert _is_closed(context.connection, wait_s) != is_kept


@when("a connection is opened and nothing is sent")
def step_silent(context: Context) -> None:
    return


@then("the connection is closed without an answer")
def step_closed(context: Context) -> None:
    assert _is_closed(context.connection, LIMIT_S)
