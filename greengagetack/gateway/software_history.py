"""greengagetack.gateway.software_history: the software versions that served lately.

What two software versions write does not fit together. A stream whose origin no daemon
remembers may go on only if a single version can have begun it. That is also asked after
all daemons were killed, so the versions are facts that outlive them.
"""

import asyncio
import time
from dataclasses import dataclass
from typing import Protocol, TypeVar

from greengagetack.errors import PlatformUnavailable
from greengagetack.facts import FactTable, fact_type
from greengagetack.freezes import boottime_s
from greengagetack.gateway.stream_origins import RETENTION_S
from greengagetack.objects.feed import Feed
from greengagetack.replicas.fleet import Fleet

__all__ = ["SavedFacts", "ServedSoftware", "SoftwareHistory"]

# An expired fact about a listed version is published again.
LISTED_LIFETIME_S = 86_400.0
# Callers that take up streams after a loss of all daemons come together.
CACHE_S = 1.0
READ_TIMEOUT_S = 0.8
# The copy of the replicas' list is confirmed about once in this time.
CONFIRMATION_TIMEOUT_S = 1.2

T = TypeVar("T")


@fact_type("software")
@dataclass(frozen=True, slots=True)
class ServedSoftware:
    """A software version of a service; `is_listed` while one of its replicas is."""

    service: str
    software: str
    is_listed: bool


class SavedFacts(Protocol):
    """Reads facts that outlive all daemons."""

    async def saved(self, value_type: type[T]) -> tuple[T, ...]:
        """Return the saved facts of one type.

        Raises
        ------
        PlatformUnavailable
            If the store does not answer.
        """


class SoftwareHistory:
    """Publishes which software serves, and finds what may have begun a stream.

    Parameters
    ----------
    fleet_feed : Feed
        Copy of the list of replicas. That of a daemon that was cut off or frozen lacks
        the versions that have joined meanwhile.
    """

    def __init__(
        self,
        fleet: Fleet,
        fleet_feed: Feed,
        facts: FactTable,
        archive: SavedFacts,
    ) -> None:
        self._fleet = fleet
        self._fleet_feed = fleet_feed
        self._facts = facts
        self._archive = archive
        self._saved: tuple[ServedSoftware, ...] = ()
        self._read_s = float("-inf")
        self._reading = asyncio.Lock()

    async def publish_changes(self) -> None:
        """Publish the versions that are listed, and those that no longer are."""
        if not self._facts.is_owner:
            return
        listed = {
            (state.replica.service, state.replica.software_version)
            for state in self._fleet.all_replicas()
        }
        if not listed:
            # The list of replicas is not known yet.
            return
        for service, software in sorted(listed):
            self._publish(ServedSoftware(service, software, True), LISTED_LIFETIME_S)
        for known in self._facts.values(ServedSoftware):
            if known.is_listed and (known.service, known.software) not in listed:
                left = ServedSoftware(known.service, known.software, False)
                self._publish(left, RETENTION_S)

    def _publish(self, fact: ServedSoftware, lifetime_s: float) -> None:
        self._facts.publish(f"{fact.service}/{fact.software}", fact, lifetime_s)

    async def recent(self, service: str) -> set[str]:
        """Return the versions of a service that may have begun a stream still read.

        Raises
        ------
        PlatformUnavailable
            If this daemon knows of one version only and cannot read of others.
        """
        asked_s = boottime_s()
        found = self._known(service)
        if len(found) > 1:
            return found
        async with self._reading:
            if time.monotonic() - self._read_s > CACHE_S:
                await self._read()
        found |= _of_service(self._saved, service)
        if len(found) > 1:
            return found
        await self._wait_for_list(asked_s)
        return found | self._known(service)

    def _known(self, service: str) -> set[str]:
        found = self._fleet.recent_software(service, RETENTION_S)
        return found | _of_service(self._facts.values(ServedSoftware), service)

    async def _wait_for_list(self, asked_s: float) -> None:
        """Wait until the list of replicas is known to be as new as the question."""
        try:
            async with asyncio.timeout(CONFIRMATION_TIMEOUT_S):
                await self._fleet_feed.wait_until_confirmed(asked_s)
        except TimeoutError as error:
            raise PlatformUnavailable(
                f"the list of replicas is {self._fleet_feed.age_s:.1f} s old"
            ) from error

    async def _read(self) -> None:
        try:
            async with asyncio.timeout(READ_TIMEOUT_S):
                self._saved = await self._archive.saved(ServedSoftware)
        except TimeoutError as error:
            raise PlatformUnavailable(
                f"the store has not named the software versions in {READ_TIMEOUT_S} s"
            ) from error
        self._read_s = time.monotonic()


def _of_service(facts: tuple[ServedSoftware, ...], service: str) -> set[str]:
    return {fact.software for fact in facts if fact.service == service}
