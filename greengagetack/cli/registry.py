"""greengagetack.cli.registry: registry of commands."""

import importlib
import pkgutil
from typing import TypeVar

import click

from greengagetack.cli import commands

__all__ = ["COMMANDS", "command", "load_commands"]

COMMANDS: dict[str, click.Command] = {}


CommandT = TypeVar("CommandT", bound=click.Command)


def command(registered: CommandT) -> CommandT:
    """Register a command under its name."""
    name = registered.name or ""
    if name in COMMANDS:
        raise ValueError(f"duplicate command {name!r}")
    COMMANDS[name] = registered
    return registered


def load_commands() -> dict[str, click.Command]:
    """Import all command modules and return the commands by name."""
    for found in pkgutil.iter_modules(commands.__path__):
        importlib.import_module(f"{commands.__name__}.{found.name}")
    return COMMANDS
