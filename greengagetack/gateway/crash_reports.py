"""greengagetack.gateway.crash_reports: sends a daemon's observations to the owner."""

import asyncio
import time
from collections import deque
from dataclasses import dataclass
from typing import Protocol

from loguru import logger

from greengagetack.errors import CodedError
from greengagetack.facts import FactTable

__all__ = ["CrashReport", "CrashReporter", "ReportReceiver"]

# Reports are repeated for a new owner for this long.
RETENTION_S = 12.0
MAX_RETAINED = 512
RETRY_PAUSE_S = 0.3


@dataclass(frozen=True, slots=True)
class CrashReport:
    """A request that broke off at a replica; an answer to it if that is empty."""

    request_key: str
    replica_id: str = ""
    started_ms: int = 0


class ReportReceiver(Protocol):
    """Calls to the owner of the facts."""

    async def send_crash_reports(self, reports: tuple[CrashReport, ...]) -> None:
        """Send what this daemon has observed."""


class CrashReporter:
    """Sends reports in batches, and again to an owner that has changed."""

    def __init__(self, receiver: ReportReceiver, facts: FactTable) -> None:
        self._receiver = receiver
        self._facts = facts
        self._retained: deque[tuple[float, CrashReport]] = deque(maxlen=MAX_RETAINED)
        self._unsent: list[CrashReport] = []
        self._sending: asyncio.Task[None] | None = None
        self._epoch = ""

    def add(self, report: CrashReport) -> None:
        """Send a report, unless this daemon is the owner."""
        self._retained.append((time.monotonic(), report))
        if not self._facts.is_owner:
            self._unsent.append(report)
            self._send()

    def repeat_after_change(self) -> None:
        """Send the reports of the last seconds again if the owner has changed."""
        epoch = self._facts.cursor.epoch
        if epoch == self._epoch:
            return
        self._epoch = epoch
        if not self._facts.is_owner:
            self._unsent = self._recent()
            self._send()

    def _recent(self) -> list[CrashReport]:
        since_s = time.monotonic() - RETENTION_S
        return [report for at_s, report in self._retained if at_s >= since_s]

    def _send(self) -> None:
        if self._sending is None and self._unsent:
            self._sending = asyncio.create_task(self._send_all())

    async def _send_all(self) -> None:
        try:
            while self._unsent and not self._facts.is_owner:
                batch, self._unsent = self._unsent, []
                try:
                    await self._receiver.send_crash_reports(tuple(batch))
                except CodedError as error:
                    logger.info(
                        "suspects: crash reports not sent to the owner",
                        reports=len(batch),
                        reason=error.reason,
                    )
                    await asyncio.sleep(RETRY_PAUSE_S)
                    self._unsent = self._recent()
        finally:
            self._sending = None
