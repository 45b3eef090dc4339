"""features.steps.rollout_client_steps: a trainer's client and truncated responses."""

import asyncio

from behave import given, then, when
from behave.runner import Context

from greengagetack.peers.node import listening_socket
from greengagetack.rollouts.client import RolloutClient, StepRequest
from greengagetack.world import Address

BODY = b'{"groups":[{"group_id":4,"samples":[]}],"missing_groups":0}'
HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
TRUNCATED_RESPONSES = {
    "before the head": b"",
    "in the head": HEAD,
    "in a chunk's length": CHUNKED + b"1",
    "in a chunk": CHUNKED + b"20\r\n" + BODY[:10],
    "between chunks": CHUNKED + b"a\r\n" + BODY[:10] + b"\r\n",
    "in a body of a known length": HEAD + b"Content-Length: 90\r\n\r\n" + BODY[:10],
}


@given("a rollout server whose first response is truncated {where}")
def step_server(context: Context, where: str) -> None:
    context.truncated_response = TRUNCATED_RESPONSES[where]


@when("a trainer's client fetches from the rollout server")
def step_fetch(context: Context) -> None:
    context.fetched, context.retries = asyncio.run(fetch(context.truncated_response))


async def fetch(truncated: bytes) -> tuple[tuple[int, ...], int]:
    """Serve a truncated response, then complete ones; return groups and retries."""
    truncated_responses = [truncated]

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        head = await reader.readuntil(b"\r\n\r\n")
        length = int(head.lower().partition(b"content-length:")[2].split()[0])
        await reader.readexactly(length)
        complete = HEAD + f"Content-Length: {len(BODY)}\r\n\r\n".encode() + BODY
        writer.write(truncated_responses.pop() if truncated_responses else complete)
        await writer.drain()
        writer.close()

    listener = listening_socket(Address("127.0.0.1", 0))
    port = listener.getsockname()[1]
    server = await asyncio.start_server(serve, sock=listener)
    client = RolloutClient((f"http://127.0.0.1:{port}",), "token")
    try:
        async with asyncio.timeout(20.0):
            answer = await client.fetch_once(StepRequest("j", 1, {}), 1, set(), 1.0)
    finally:
        await client.close()
        server.close()
    return tuple(group.group_id for group in answer.groups), client.retries


@then("it receives the group by retrying")
def step_received(context: Context) -> None:
    assert context.fetched == (4,), context.fetched
    assert context.retries >= 1, context.retries
