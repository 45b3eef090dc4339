"""features.steps.http_limits_steps: limits of HTTP requests."""

import http.client
import json
from dataclasses import dataclass
from typing import Any

from behave import given, then, when
from behave.runner import Context
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from features.support.raw_http import ServedApp, request_bytes, send_raw
from greengagetack.daemons import protocol
from greengagetack.daemons.limits import HttpLimits, LimitsMiddleware, read_json
from greengagetack.daemons.responses import EXCEPTION_HANDLERS, json_response
from greengagetack.errors import Overloaded

SMALL_LIMITS = HttpLimits(
    path_bytes=200,
    query_bytes=200,
    header_count=16,
    header_bytes=2_000,
    body_bytes=2_000,
    body_pause_s=0.3,
    body_s=0.6,
)
VALID_BODY = b'{"name": "n", "count": 3}'
REQUEST_ID_HEADERS = {"X-Request-Id": "van-7"}


@dataclass(frozen=True)
class Order:
    """A message that the test server accepts."""

    name: str
    count: int = 0
    inner: Any = None


@given("an HTTP server with small limits")
def step_server(context: Context) -> None:
    accepted: list[Order] = []

    async def accept(request: Request) -> Response:
        accepted.append(await read_json(request, Order, 1_500))
        return json_response({"ok": True})

    async def fail(request: Request) -> Response:
        raise KeyError("secret")

    async def refuse(request: Request) -> Response:
        raise Overloaded("the queue is full", 2.2)

    routes = [
        Route("/take", accept, methods=["POST"]),
        Route("/fail", fail),
        Route("/busy", refuse),
    ]
    app = Starlette(routes=routes, exception_handlers=EXCEPTION_HANDLERS)
    original_s = protocol.HEADER_TIMEOUT_S
    protocol.HEADER_TIMEOUT_S = 0.5
    context.add_cleanup(setattr, protocol, "HEADER_TIMEOUT_S", original_s)
    context.accepted = accepted
    context.served = ServedApp(LimitsMiddleware(app, SMALL_LIMITS))
    context.add_cleanup(context.served.close)


def chunked_request(total: int) -> bytes:
    head = request_bytes(
        "POST", "/take", b"", {"Transfer-Encoding": "chunked", "Content-Length": ""}
    ).replace(b"Content-Length: \r\n", b"")
    return head + b"%x\r\n" % total + b"x" * total + b"\r\n0\r\n\r\n"


def post_request(body: bytes) -> list[bytes]:
    return [request_bytes("POST", "/take", body, REQUEST_ID_HEADERS)]


def parts_of(kind: str) -> list[bytes]:
    bodies = {
        "a good body": VALID_BODY,
        "malformed JSON": b'{"name": ',
        "an empty body": b"",
        "a duplicate key": b'{"name": "a", "name": "b"}',
        "an unknown key": b'{"name": "a", "cuont": 1}',
        "a number as text": b'{"name": "a", "count": "1"}',
        "a huge number": b'{"name": "a", "count": 1' + b"0" * 400 + b"}",
        "not a number": b'{"name": "a", "count": NaN}',
        "half a surrogate pair": b'{"name": "\\ud800"}',
        "bytes that are no UTF-8": b'{"name": "\xff"}',
        "deep nesting": b'{"name": "a", "inner": ' + b"[" * 40 + b"]" * 40 + b"}",
        "very deep nesting": b"[" * 1_400,
    }
    if kind in bodies:
        return post_request(bodies[kind])
    whole = request_bytes("POST", "/take", VALID_BODY)
    many = {f"X-{number}": "1" for number in range(30)}
    requests = {
        "a declared oversized body": [request_bytes("POST", "/take", b"x" * 3_000)],
        "a chunked oversized body": [chunked_request(3_000)],
        "too many headers": [request_bytes("POST", "/take", VALID_BODY, many)],
        "endless headers": [b"GET / HTTP/1.1\r\n"] + [b"A: " + b"x" * 20_000] * 8,
        "a long path": [request_bytes("GET", "/" + "a" * 300)],
        "a long query": [request_bytes("GET", "/busy?" + "a" * 300)],
        "a slow body": [whole[:-5], whole[-5:]],
        "a trickling body": [whole[:-20], *[b" "] * 20],
        "slow headers": [whole[:10], whole[10:]],
        "a connection half-closed in the body": [whole[:-5]],
        "a connection half-closed in the head": [whole[:30]],
        "bytes that are no HTTP": [b"\x16\x03\x01hello\r\n\r\n"],
        "a negative length": [
            request_bytes("POST", "/take", VALID_BODY, {"Content-Length": "-5"})
        ],
        "a bad request identifier": [
            request_bytes("POST", "/take", VALID_BODY, {"X-Request-Id": "a b\tc"})
        ],
        "an unknown path": [request_bytes("GET", "/nothing")],
        "an unknown method": [request_bytes("DELETE", "/take")],
        "a handler that fails": [request_bytes("GET", "/fail")],
        "a handler that is busy": [request_bytes("GET", "/busy")],
    }
    return requests[kind]


PART_PAUSES_S = {"a slow body": 2.0, "a trickling body": 0.1, "slow headers": 3.0}


@when("the limited server is tested with {kind} and then a good body on one connection")
def step_test_twice(context: Context, kind: str) -> None:
    address = context.served.address
    connection = http.client.HTTPConnection(address.host, address.port, timeout=20)
    connection.request("POST", "/take", body=b"{")
    assert connection.getresponse().read()
    connection.request("POST", "/take", body=VALID_BODY)
    answer = connection.getresponse()
    context.answer = type("Answer", (), {"status": answer.status})
    answer.read()
    connection.close()


@when("the limited server is tested with {kind}")
def step_test(context: Context, kind: str) -> None:
    context.answer = send_raw(
        context.served.address,
        parts_of(kind),
        PART_PAUSES_S.get(kind, 0.0),
        half_close="half-closed" in kind,
    )


@then("the limited server answers {status:d} with code {code} and accepts nothing")
def step_refused(context: Context, status: int, code: str) -> None:
    answer = context.answer
    assert answer.status == status, (answer.status, answer.body)
    error = answer.json()["error"]
    assert error["code"] == code, error
    assert error["reason"] and error["remedy"], error
    # It is unknown what the handler did before it failed.
    outcome = "unknown" if code == "internal_error" else "not_run"
    assert error["outcome"] == outcome, error
    assert "secret" not in json.dumps(error)
    assert context.accepted == []


@then("the limited server answers 200 and accepts one body")
def step_accepted(context: Context) -> None:
    assert context.answer.status == 200
    assert context.accepted == [Order("n", 3)]


@then("the response carries the client's request identifier")
def step_request_id(context: Context) -> None:
    assert context.answer.headers["x-request-id"] == "van-7"


@then("the limited server answers with Retry-After {seconds} and a remedy")
def step_retry(context: Context, seconds: str) -> None:
    assert context.answer.headers["retry-after"] == seconds
    error = context.answer.json()["error"]
    assert error["retry_after_s"] == 2.2
    assert error["remedy"]
    assert error["request_id"] == context.answer.headers["x-request-id"]
