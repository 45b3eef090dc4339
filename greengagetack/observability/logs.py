"""greengagetack.observability.logs: structured logs with a bounded rate."""

import asyncio
import os
import sys
import time
from collections import deque
from contextvars import ContextVar
from typing import TYPE_CHECKING

import msgspec
from loguru import logger

if TYPE_CHECKING:
    from loguru import Message, Record

__all__ = ["REQUEST_ID", "LineWriter", "configure_logs", "configure_structured_logs"]

REQUEST_ID: ContextVar[str] = ContextVar("request_id", default="-")

_TEXT_FORMAT = (
    "{time:YYYY-MM-DDTHH:mm:ss.SSS!UTC}Z {level: <7} {extra[vm_id]} "
    "[{extra[request_id]}] {message}"
)


def configure_logs(vm_id: str, level: str = "INFO", as_json: bool = False) -> None:
    """Write logs to standard error, as text lines or as JSON objects."""

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


# Bound of the lines buffered for a slow reader of standard output.
MAX_PENDING_LINES = 5_000
# Token bucket of the log rate: burst size and sustained rate.
MAX_BURST_LINES = 2_000
MAX_LINES_PER_S = 400.0
DROP_REPORT_INTERVAL_S = 5.0


class LineWriter:
    """Writes lines without blocking; drops, counts and reports excess lines.

    Lines of level WARNING and above are exempt from the rate limit.
    """

    def __init__(self, descriptor: int, node: str) -> None:
        self._descriptor = descriptor
        self._node = node
        self._pending: deque[bytes] = deque()
        self._is_flush_scheduled = False
        self._rate_tokens = float(MAX_BURST_LINES)
        self._refilled_s = 0.0
        self._dropped = 0
        self._drop_reported_s = 0.0
        os.set_blocking(descriptor, False)

    def write(self, message: "Message") -> None:
        """Write one record of the logger, or drop it."""
        record = message.record
        now_s = record["elapsed"].total_seconds()
        elapsed_s = now_s - self._refilled_s
        self._refilled_s = now_s
        self._rate_tokens = min(
            MAX_BURST_LINES, self._rate_tokens + elapsed_s * MAX_LINES_PER_S
        )
        is_urgent = record["level"].no >= logger.level("WARNING").no
        is_full = len(self._pending) >= MAX_PENDING_LINES
        if is_full or (self._rate_tokens < 1 and not is_urgent):
            self._dropped += 1
            return
        self._rate_tokens -= 1
        if now_s - self._drop_reported_s > DROP_REPORT_INTERVAL_S:
            self._drop_reported_s = now_s
            self.report_dropped()
        self._pending.append(_encode_line(record))
        self._flush()

    def report_dropped(self) -> None:
        """Log the number of lines dropped since the last report, if any."""
        if not self._dropped:
            return
        fields = {
            "time": round(time.time(), 4),
            "level": "WARNING",
            "message": "logs: lines were dropped",
            "node": self._node,
            "count": self._dropped,
        }
        self._dropped = 0
        self._pending.append(msgspec.json.encode(fields) + b"\n")
        self._flush()

    def _flush(self) -> None:
        while self._pending:
            line = self._pending[0]
            try:
                written = os.write(self._descriptor, line)
            except BlockingIOError:
                self._schedule_flush()
                return
            except OSError:
                # The output is closed, so the error cannot be logged either.
                self._pending.clear()
                return
            if written < len(line):
                self._pending[0] = line[written:]
                continue
            self._pending.popleft()

    def _schedule_flush(self) -> None:
        if self._is_flush_scheduled:
            return
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            return
        self._is_flush_scheduled = True
        loop.call_later(0.05, self._run_scheduled_flush)

    def _run_scheduled_flush(self) -> None:
        self._is_flush_scheduled = False
        self._flush()


def _encode_line(record: "Record") -> bytes:
    fields = {
        "time": round(record["time"].timestamp(), 4),
        "level": record["level"].name,
        "message": record["message"],
        **record["extra"],
    }
    exception = record["exception"]
    if exception is not None:
        fields["exception"] = repr(exception.value)
    return msgspec.json.encode(fields, enc_hook=str) + b"\n"


def configure_structured_logs(node: str, level: str = "INFO") -> None:
    """Write logs to standard output as JSON lines, with a bounded rate."""
    writer = LineWriter(sys.stdout.fileno(), node)
    logger.remove()
    logger.configure(extra={"node": node})
    logger.add(writer.write, level=level, format="{message}", catch=False)
