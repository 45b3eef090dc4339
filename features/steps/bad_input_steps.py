"""features.steps.bad_input_steps: invalid requests to running daemons."""

from typing import Any

from behave import given, then, when
from behave.runner import Context

from features.support.deployments import address_of, effects_of, shared_deployment
from features.support.raw_http import request_bytes, send_raw

VALID_BODY = b'{"model": "summary", "prompt": "p", "max_tokens": 4}'
COMPLETIONS = "/v1/completions"
BOOKING = b'{"box": "7", "crew": "a"}'
PART_PAUSE_S = 8.0


@given("running daemons for invalid requests")
def step_daemons(context: Context) -> None:
    context.deployment = shared_deployment()
    context.address = address_of(context.deployment.entries()[0])
    context.effects = effects_of(context.deployment)


def headers_of(context: Context, sender: str) -> dict[str, str]:
    if sender == "nobody":
        return {}
    if sender == "stranger":
        return {"Authorization": "Bearer ggt_stranger"}
    if sender == "operator":
        return dict(context.deployment.operator_headers())
    return dict(context.deployment.team_headers(sender))


@when("the client {sender:w} sends the request {call}")
def step_call(context: Context, sender: str, call: str) -> None:
    method, path, *body = call.split(" ", 2)
    headers = headers_of(context, sender)
    if method == "PUT":
        headers["If-Match"] = '"1"'
    data = body[0].encode() if body else b""
    request = request_bytes(method, path, data, headers)
    context.answer = send_raw(context.address, [request])


def parts_of(fault: str, headers: dict[str, str]) -> list[bytes]:
    whole = request_bytes("POST", COMPLETIONS, VALID_BODY, headers)
    many = {**headers, **{f"X-{number}": "1" for number in range(80)}}
    nested = b'{"model": ' + b"[" * 2_000 + b"]" * 2_000 + b"}"
    bad_request_id = {**headers, "X-Request-Id": "a b"}
    path = "/services/booking/bookings%0d%0aX-Evil:%201"
    declared_length = request_bytes(
        "POST", COMPLETIONS, b"", {**headers, "Content-Length": "1"}
    )
    kinds: dict[str, list[bytes]] = {
        "an oversized body": [declared_length.replace(b": 1\r\n", b": 99999999\r\n")],
        "deep nesting": [request_bytes("POST", COMPLETIONS, nested, headers)],
        "too many headers": [request_bytes("POST", COMPLETIONS, VALID_BODY, many)],
        "a body that stalls": [whole[:-9], whole[-9:]],
        "a body cut off by a half-close": [whole[:-9]],
        "a head cut off by a half-close": [whole[:40]],
        "a booking with a line break in its path": [
            request_bytes("POST", path, BOOKING, headers)
        ],
        "a bad request identifier": [
            request_bytes("POST", COMPLETIONS, VALID_BODY, bad_request_id)
        ],
    }
    return kinds[fault]


@when("a client sends a request with {fault}")
def step_fault(context: Context, fault: str) -> None:
    parts = parts_of(fault, headers_of(context, "quetzal"))
    half_close = "half-close" in fault
    context.answer = send_raw(
        context.address, parts, PART_PAUSE_S, half_close=half_close
    )


@then('the daemon answers {status:d} {code} with a reason containing "{part}"')
def step_refused(context: Context, status: int, code: str, part: str) -> None:
    answer = context.answer
    assert answer.status == status, (answer.status, answer.body)
    error: Any = answer.json()["error"]
    assert error["code"] == code, error
    assert part in error["reason"], error
    assert error["outcome"] == "not_run", error
    assert error["remedy"], error


@then("the invalid request has changed and run nothing")
def step_no_effect(context: Context) -> None:
    after = effects_of(context.deployment)
    assert after == context.effects, (context.effects, after)


@then("the valid request is answered")
def step_valid(context: Context) -> None:
    assert context.answer.status == 200, context.answer
    text = context.answer.json()["choices"][0]["text"]
    assert text.split()[0].startswith("tok0"), text
    after = effects_of(context.deployment)
    assert after.engine_runs == context.effects.engine_runs + 1, after


@then("the service received box {box}")
def step_box(context: Context, box: str) -> None:
    assert context.answer.status == 200, context.answer
    assert context.answer.json()["box"] == box, context.answer.json()
