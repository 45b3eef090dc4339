"""greengagetack.cli.main: entry point of ``greengagetack``."""

import click

from greengagetack import __version__
from greengagetack.cli.registry import load_commands

__all__ = ["main"]

EXIT_CODES = """
\b
Exit codes:
  0   success
  1   settings diff: there are differences
  2   usage error
  3   invalid input; every fault is listed with its path
  4   conflict with a change made in the meantime
  5   the token is missing, invalid or belongs to another team
  6   the requested object does not exist
  7   the daemon is unreachable or temporarily unavailable; nothing was changed
  8   it is unknown whether the change was accepted
  9   accepted, but not yet in force on every daemon
  10  the daemon failed
"""


@click.group(epilog=EXIT_CODES)
@click.version_option(__version__, prog_name="greengagetack")
def main() -> None:
    """Run and operate greengagetack, a rollout service."""


for _command in load_commands().values():
    main.add_command(_command)
