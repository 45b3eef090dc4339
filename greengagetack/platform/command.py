"""greengagetack.platform.command: the command that runs the daemon of this VM."""

import asyncio
import dataclasses
import logging
import signal
import sys
from typing import Any, Protocol

import click
from loguru import logger

from greengagetack.errors import CodedError
from greengagetack.observability.logs import configure_structured_logs
from greengagetack.platform.settings import METRICS_PORT, VmFacts, load_vm_facts
from greengagetack.replicas.zone_cost import (
    DEFAULT_HOP_MS,
    DEFAULT_MS_PER_KB,
    ZoneCost,
)
from greengagetack.signals import STOP_SIGNALS, EarlySignals

__all__ = ["run_command"]

USAGE_EXIT_CODE = 2


class _Daemon(Protocol):
    async def run(self) -> None:
        """Serve until stopped."""

    def stop(self) -> None:
        """Start the shutdown."""

    def reload(self) -> None:
        """Handle a change of the settings file."""


def _make_daemon(facts: VmFacts) -> _Daemon:
    # Imported lazily: a VM that serves no clients does not load the HTTP server.
    if facts.front is None:
        from greengagetack.platform.storage import StorageDaemon

        return StorageDaemon(facts)
    from greengagetack.platform.daemon import EdgeDaemon

    return EdgeDaemon(facts)


def _log_loop_error(loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
    """Log an exception that no task awaits."""
    logger.error(
        "daemon: unhandled error in the event loop: {}",
        context["message"],
        reason=repr(context.get("exception")),
    )


async def _run(facts: VmFacts, signals: EarlySignals) -> None:
    daemon = _make_daemon(facts)
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(_log_loop_error)
    handlers = dict.fromkeys(STOP_SIGNALS, daemon.stop)
    signals.hand_over(loop, {**handlers, signal.SIGHUP: daemon.reload})
    if signals.is_stop_requested:
        logger.info("daemon: stopped before it has started")
        return
    await daemon.run()


@click.command()
@click.option("--settings", default="", help="Settings file instead of the platform's.")
@click.option("--metrics-port", default=METRICS_PORT, show_default=True)
@click.option(
    "--zone-hop-ms",
    default=DEFAULT_HOP_MS,
    show_default=True,
    type=click.FloatRange(min=0.0),
    help="Delay of the way to another availability zone and back, in milliseconds.",
)
@click.option(
    "--zone-ms-per-kb",
    default=DEFAULT_MS_PER_KB,
    show_default=True,
    type=click.FloatRange(min=0.0),
    help="Additional wait that is accepted to keep one KB inside the zone.",
)
@click.pass_obj
def run_command(
    signals: EarlySignals,
    settings: str,
    metrics_port: int,
    zone_hop_ms: float,
    zone_ms_per_kb: float,
) -> None:
    """Run the daemon of this VM until it is stopped."""
    try:
        facts = load_vm_facts(settings or None)
    except CodedError as error:
        click.echo(f"{error.code}: {error.reason}\n{error.remedy}", err=True)
        sys.exit(USAGE_EXIT_CODE)
    facts = dataclasses.replace(
        facts,
        metrics_port=metrics_port,
        zone_cost=ZoneCost(zone_hop_ms, zone_ms_per_kb),
    )
    configure_structured_logs(facts.node)
    # uvicorn logs a traceback for each stream that the daemon interrupts on
    # purpose; the parts of the daemon log their own errors.
    logging.getLogger("uvicorn.error").setLevel(logging.CRITICAL)
    try:
        asyncio.run(_run(facts, signals))
    except asyncio.CancelledError:
        logger.info("daemon: cancelled")
