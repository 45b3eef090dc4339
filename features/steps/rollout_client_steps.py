"""features.steps.rollout_client_steps: a trainer's client and torn answers."""

import asyncio

from behave import given, then, when
from behave.runner import Context

from greengagetack.peers.node import listening_socket
from greengagetack.rollouts.client import RolloutClient, StepRequest
from greengagetack.world import Address

WHOLE = b'{"groups":[{"group_id":4,"samples":[]}],"missing_groups":0}'
HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
TORN = {
    "before the head": b"",
    "in the head": HEAD,
    "in a chunk's length": CHUNKED + b"1",
    "in a chunk": CHUNKED + b"20\r\n" + WHOLE[:10],
    "between chunks": CHUNKED + b"a\r\n" + WHOLE[:10] + b"\r\n",
    "in a body of a known length": HEAD + b"Content-Length: 90\r\n\r\n" + WHOLE[:10],
}


@given("a rollout server whose first answer breaks off {where}")
def step_server(context: Context, where: str) -> None:
    context.torn_answer = TORN[where]


@when("a trainer's client fetches from the rollout server")
def step_fetch(context: Context) -> None:
    context.fetched, context.retries = asyncio.run(fetch(context.torn_answer))


async def fetch(torn: bytes) -> tuple[tuple[int, ...], int]:
    """Serve one torn answer, then whole ones; return the groups and retries."""
    answers = [torn]

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        head = await reader.readuntil(b"\r\n\r\n")
        length = int(head.lower().partition(b"content-length:")[2].split()[0])
        await reader.readexactly(length)
        whole = HEAD + f"Content-Length: {len(WHOLE)}\r\n\r\n".encode() + WHOLE
        writer.write(answers.pop() if answers else whole)
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


@then("it gets the group by retrying")
def step_got(context: Context) -> None:
    assert context.fetched == (4,), context.fetched
    assert context.retries >= 1, context.retries
