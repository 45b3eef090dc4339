"""features.steps.peer_tls_steps: mutual TLS on peer links."""

import asyncio
import ssl
import tempfile
from dataclasses import replace
from pathlib import Path

from behave import given, then, when
from behave.runner import Context

from features.support.settings_cell import cancel_other_tasks
from features.support.throwaway_keys import Authority
from greengagetack.errors import CodedError
from greengagetack.peers.messages import Done
from greengagetack.peers.node import PeerNode, listening_socket
from greengagetack.peers.tls import BadTlsFiles, PeerTls, load_peer_tls
from greengagetack.timer import Timer
from greengagetack.world import Address
from standins.loops import BackgroundLoop

LOOPBACK = Address("127.0.0.1", 0)


def create_authorities(context: Context) -> None:
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.authority = Authority(Path(folder.name), "ours")
    context.other = Authority(Path(folder.name), "theirs")


@given("a daemon that requires certificates from peers")
def step_daemon(context: Context) -> None:
    create_authorities(context)
    context.loop = BackgroundLoop()
    context.add_cleanup(context.loop.close)
    context.add_cleanup(lambda: context.loop.run(cancel_other_tasks()))
    context.served = []
    context.address = context.loop.run(_serve(context))


async def _serve(context: Context) -> Address:
    tls = load_peer_tls(context.authority.issue("v1"))
    node = PeerNode("v1", "i1", Timer(1), tls.server, tls.client)

    async def answer(sender: str, body: Done) -> Done:
        context.served.append(sender)
        return Done()

    node.handle(Done, answer)
    listener = listening_socket(LOOPBACK)
    await node.start(listener)
    context.add_cleanup(lambda: context.loop.run(node.close()))
    return Address(*listener.getsockname())


def make_client_context(context: Context, credentials: str) -> ssl.SSLContext | None:
    if credentials == "no TLS at all":
        return None
    other_issued = context.other.issue("v2")
    issued = {
        "a certificate of the authority": context.authority.issue("v2"),
        "a certificate of another one": replace(
            other_issued, authority_file=str(context.authority.path)
        ),
        "an expired certificate": context.authority.issue("v3", expired=True),
        "TLS 1.2": context.authority.issue("v4"),
    }
    if credentials in issued:
        client = load_peer_tls(issued[credentials]).client
        assert client is not None
        if credentials == "TLS 1.2":
            client.minimum_version = ssl.TLSVersion.TLSv1_2
            client.maximum_version = ssl.TLSVersion.TLSv1_2
        return client
    client = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    client.check_hostname = False
    client.load_verify_locations(str(context.authority.path))
    return client


async def _ask(context: Context, tls: PeerTls) -> str:
    node = PeerNode("v2", "i2", Timer(2), None, tls.client)
    node.set_address("v1", context.address)
    try:
        answer = await asyncio.wait_for(node.request("v1", Done(), 4.0), 10.0)
    except CodedError as error:
        return error.code
    finally:
        await node.close()
    return "served" if answer == Done() else "no answer"


@when("a peer connects with {credentials}")
def step_connect(context: Context, credentials: str) -> None:
    tls = PeerTls(None, make_client_context(context, credentials))
    context.result = context.loop.run(_ask(context, tls))


@when("a peer that trusts another authority connects")
def step_distrust(context: Context) -> None:
    issued = context.authority.issue("v2")
    distrusting = replace(issued, authority_file=str(context.other.path))
    context.result = context.loop.run(_ask(context, load_peer_tls(distrusting)))


@then("the peer is {result}")
def step_result(context: Context, result: str) -> None:
    if result == "served":
        assert context.result == "served", context.result
        assert context.served == ["v2"]
        return
    assert context.result in ("peer_unreachable", "peer_lost"), context.result
    assert context.served == []


@when("peer TLS is configured with {files}")
def step_files(context: Context, files: str) -> None:
    create_authorities(context)
    issued = context.authority.issue("v1")
    changed = {
        "a missing file": replace(issued, certificate_file="/nowhere.pem"),
        "a key of another daemon": replace(
            issued, key_file=context.authority.issue("v2").key_file
        ),
    }
    context.error = None
    try:
        load_peer_tls(changed[files])
    except BadTlsFiles as error:
        context.error = error


@then("the configuration is refused with {code}")
def step_bad_files(context: Context, code: str) -> None:
    assert context.error is not None
    assert context.error.code == code
