"""greengagetack.cli.main: the command line ``greengagetack``."""

import click

from greengagetack import __version__
from greengagetack.cli.registry import load_commands

__all__ = ["main"]

EXIT_CODES = """
\b
Exit codes:
  0   done
  1   settings diff: there are differences
  2   wrong usage of the command line
  3   invalid input; every fault is listed with its path
  4   conflict: someone else was first
  5   the token is missing, wrong or of another team
  6   what was asked for does not exist
  7   the daemon can't be reached or refuses for now; nothing was changed
  8   it is not known whether the change was accepted
  9   accepted, but not yet in force on every daemon
  10  the daemon failed
"""


@click.group(epilog=EXIT_CODES)
@click.version_option(__version__, prog_name="greengagetack")
def main() -> None:
    """Run and operate greengagetack, a rollout service."""


for _command in load_commands().values():
    main.add_command(_command)
