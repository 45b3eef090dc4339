"""features.environment: behave hooks that all features share."""

import os
import sys

from behave.runner import Context
from loguru import logger

__all__ = ["before_all"]

LOG_LEVEL_VARIABLE = "FEATURE_LOG_LEVEL"
DEFAULT_LOG_LEVEL = "ERROR"


def before_all(context: Context) -> None:
    """Set the log level from ``FEATURE_LOG_LEVEL``; the default logs only errors."""
    logger.remove()
    logger.add(sys.stderr, level=os.environ.get(LOG_LEVEL_VARIABLE, DEFAULT_LOG_LEVEL))
