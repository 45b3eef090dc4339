"""greengagetack.coordination.ping_reports: what pings carry to the dispatcher.

Daemons ping the dispatcher anyway, so that what it collects costs no call of its own.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from urllib.parse import quote

__all__ = ["PingReports"]


@dataclass(frozen=True, slots=True)
class _Report:
    take: Callable[[], str]
    handle: Callable[[str, str], None]


class PingReports:
    """Short texts that daemons send with their pings, by name."""

    def __init__(self) -> None:
        self._reports: dict[str, _Report] = {}

    def add(
        self, name: str, take: Callable[[], str], handle: Callable[[str, str], None]
    ) -> None:
        """Add a report.

        Parameters
        ----------
        take : callable
            Returns the text to send with the next ping, empty for nothing.
        handle : callable
            Called on the dispatcher with the sender's name and the text.
        """
        self._reports[name] = _Report(take, handle)

    def query(self) -> str:
        """Return the fields of a ping's query, empty without a report."""
        return "".join(
            f"&{name}={quote(text, safe='')}"
            for name, report in self._reports.items()
            if (text := report.take())
        )

    def handle(self, query: Mapping[str, str]) -> None:
        """Pass the fields of a ping on; unknown ones are ignored.

        Raises
        ------
        ValueError
            If a text is not valid.
        """
        node = query.get("node", "")
        for name, report in self._reports.items():
            text = query.get(name, "")
            if node and text:
                report.handle(node, text)
