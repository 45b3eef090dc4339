"""greengagetack.daemons.main: runs one daemon from its settings file."""

import asyncio
import json
import signal
import sys
import uuid
from collections.abc import Iterator
from contextlib import contextmanager

import uvicorn
from loguru import logger

from greengagetack.daemons.application import build_application
from greengagetack.daemons.assembly import Daemon
from greengagetack.daemons.protocol import bounded_config
from greengagetack.errors import CodedError
from greengagetack.observability.logs import configure_logs
from greengagetack.peers.node import listening_socket
from greengagetack.settings.parse import load_vm_settings
from greengagetack.settings.schema import VmSettings
from greengagetack.world import Address

__all__ = ["HttpServer", "main", "run"]

HTTP_BACKLOG = 1_024
STOP_GRACE_S = 600
USAGE_EXIT_CODE = 2


class HttpServer(uvicorn.Server):
    """Leaves signals to the daemon, which drains before the server stops."""

    @contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Capture nothing."""
        yield


async def _serve(settings: VmSettings) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    peer_listener = listening_socket(settings.peer)
    http_listener = listening_socket(settings.http)
    peer = Address(*peer_listener.getsockname())
    http = Address(*http_listener.getsockname())
    daemon = Daemon(settings, peer, http, incarnation=uuid.uuid4().hex)
    await daemon.start(peer_listener)
    server = HttpServer(
        bounded_config(
            build_application(daemon),
            timeout_graceful_shutdown=STOP_GRACE_S,
            backlog=HTTP_BACKLOG,
        )
    )
    serving = asyncio.create_task(server.serve(sockets=[http_listener]))
    ready = {
        "ready": True,
        "vm_id": settings.vm_id,
        "http": str(http),
        "peer": str(peer),
    }
    print(json.dumps(ready), flush=True)
    await stop.wait()
    logger.info("daemon: stopping")
    await daemon.hand_over()
    server.should_exit = True
    await serving
    await daemon.drain()
    await daemon.close()
    logger.info("daemon: stopped")


def run(path: str) -> None:
    """Run the daemon of a settings file until SIGTERM.

    Raises
    ------
    InvalidSettings
        If the file has faults; the error lists all of them.
    """
    settings = load_vm_settings(path)
    configure_logs(settings.vm_id, settings.log.level, settings.log.as_json)
    asyncio.run(_serve(settings))


def main() -> int:
    """Run the daemon of the settings file that ``--settings`` names."""
    arguments = sys.argv[1:]
    if len(arguments) != 2 or arguments[0] != "--settings":
        print("usage: python -m greengagetack.daemons.main --settings FILE")
        return USAGE_EXIT_CODE
    try:
        run(arguments[1])
    except CodedError as error:
        print(f"{error.code}: {error.reason}\n{error.remedy}", file=sys.stderr)
        return USAGE_EXIT_CODE
    return 0


if __name__ == "__main__":
    sys.exit(main())
