"""greengagetack.observability.logs: structured logs with a fixed prefix per part."""

import sys
from contextvars import ContextVar
from typing import TYPE_CHECKING

from loguru import logger

if TYPE_CHECKING:
    from loguru import Record

__all__ = ["REQUEST_ID", "configure_logs"]

REQUEST_ID: ContextVar[str] = ContextVar("request_id", default="-")

_TEXT_FORMAT = (
    "{time:YYYY-MM-DDTHH:mm:ss.SSS!UTC}Z {level: <7} {extra[vm_id]} "
    "[{extra[request_id]}] {message}"
)


def configure_logs(vm_id: str, level: str = "INFO", as_json: bool = False) -> None:
    """Send logs to standard error, as text lines or as JSON objects."""

    def add_request_id(record: "Record") -> None:
        record["extra"]["request_id"] = REQUEST_ID.get()

    logger.remove()
    logger.configure(extra={"vm_id": vm_id, "request_id": "-"}, patcher=add_request_id)
    logger.add(
        sys.stderr,
        level=level,
        serialize=as_json,
        format=_TEXT_FORMAT,
        diagnose=False,
        backtrace=False,
    )
