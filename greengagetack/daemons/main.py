"""greengagetack.daemons.main: command that runs a daemon from its settings file."""

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
SHUTDOWN_TIMEOUT_S = 600
USAGE_EXIT_CODE = 2


class HttpServer(uvicorn.Server):
    """Doesn't handle signals; the daemon does, so that it drains before stopping."""

    @contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Install no signal handlers."""
        yield


async def _serve(settings: VmSettings) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    peer_listener = listening_socket(settings.peer)
    http_listener = listening_socket(settings.http)
    peer = Address(*peer_listener.getsockname())
    http = Address(*http_listener.getsockname())
    daemon = Daemon(settings, peer, http, incarnation=uuid.uuid4().hex)
    await daemon.start(peer_listener)
    server = HttpServer(
        bounded_config(
            build_application(daemon),
            timeout_graceful_shutdown=SHUTDOWN_TIMEOUT_S,
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
    """Run the daemon of a settings file until SIGTERM or SIGINT.

    Raises
    ------
    InvalidSettings
        If the file is invalid; the error lists all problems.
    """
    settings = load_vm_settings(path)
    configure_logs(settings.vm_id, settings.log.level, settings.log.as_json)
    asyncio.run(_serve(settings))


def main() -> int:
    """Run the daemon with the settings file given by ``--settings``."""
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
