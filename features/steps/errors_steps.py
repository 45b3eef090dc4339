"""features.steps.errors_steps: errors sent between daemons."""

from behave import then, when
from behave.runner import Context

from greengagetack.errors import error_from_code
from greengagetack.peers.codec import Frame, FrameKind, FrameReader, encode_frame
from greengagetack.peers.messages import failure_from_error


@when('the error {code} with the reason "{reason}" is sent over a link')
def step_send(context: Context, code: str, reason: str) -> None:
    failure = failure_from_error(error_from_code(code, reason))
    data = encode_frame(Frame(FrameKind.FAILURE, 1, failure))
    (frame,) = FrameReader().feed(data)
    context.arrived = frame.body.to_error()
    context.sent_code = code


@then("it arrives as {code} with status {status:d} and outcome {outcome}")
def step_arrives(context: Context, code: str, status: int, outcome: str) -> None:
    expected = "internal_error" if code == "no_such_code" else code
    assert context.arrived.code == expected
    assert context.arrived.http_status == status
    assert context.arrived.outcome.value == outcome
