"""features.environment: behave hooks that all features share."""

import os
import sys

from behave.model import Step
from behave.model_core import Status
from behave.runner import Context
from loguru import logger

__all__ = ["after_step", "before_all"]

LOG_LEVEL_VARIABLE = "FEATURE_LOG_LEVEL"
DEFAULT_LOG_LEVEL = "ERROR"
MAX_PRINTED_LINES = 60


def before_all(context: Context) -> None:
    """Set the log level from ``FEATURE_LOG_LEVEL``; the default logs only errors."""
    logger.remove()
    logger.add(sys.stderr, level=os.environ.get(LOG_LEVEL_VARIABLE, DEFAULT_LOG_LEVEL))


def after_step(context: Context, step: Step) -> None:
    """Print why a step failed and the last log lines of the platform's daemons."""
    if step.status not in (Status.failed, Status.error):
        return
    cluster = getattr(context, "cluster", None)
    print(f"--- failed: {step.name}\n{step.error_message}", file=sys.__stderr__)
    for name, process in getattr(cluster, "edges", {}).items():
        # The original stream, because behave captures the current one.
        print(f"--- {name}, load {os.getloadavg()[0]:.1f}", file=sys.__stderr__)
        lines = process.printed_lines()[-MAX_PRINTED_LINES:]
        print("".join(lines), file=sys.__stderr__)
