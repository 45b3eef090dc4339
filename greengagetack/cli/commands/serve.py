"""greengagetack.cli.commands.serve: ``greengagetack serve``."""

import importlib

import click

from greengagetack.cli.exits import handle_errors
from greengagetack.cli.registry import command
from greengagetack.settings.parse import load_vm_settings

__all__ = ["serve"]


@command
@click.command()
@click.option(
    "--settings",
    "settings_path",
    required=True,
    type=click.Path(dir_okay=False),
    help="Settings file of this daemon (JSON with comments).",
)
@handle_errors
def serve(settings_path: str) -> None:
    """Run a daemon until SIGTERM, then finish requests in flight."""
    load_vm_settings(settings_path)
    # Imported here so that the other commands start faster.
    daemon = importlib.import_module("greengagetack.daemons.main")
    raise SystemExit(daemon.run(settings_path))
