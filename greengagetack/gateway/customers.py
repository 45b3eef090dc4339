"""greengagetack.gateway.customers: the customers of a configuration and their keys."""

import hashlib
import os
from collections.abc import Iterable
from dataclasses import dataclass, field

from loguru import logger

__all__ = [
    "DEFAULT_RANK",
    "Customer",
    "CustomerDirectory",
    "key_fingerprint",
    "may_access",
]

# Rank of customers without a priority; replicas assume the same without a header.
DEFAULT_RANK = 5
FINGERPRINT_BYTES = 4
# Fingerprints cannot be compared with those of another process, so that a log does not
# help to confirm a guessed key.
_FINGERPRINT_SECRET = os.urandom(16)


def key_fingerprint(key: str) -> str:
    """Return a short hash that distinguishes keys in the log of one process."""
    return hashlib.blake2s(
        key.encode(errors="surrogatepass"),
        digest_size=FINGERPRINT_BYTES,
        key=_FINGERPRINT_SECRET,
    ).hexdigest()


@dataclass(frozen=True, slots=True)
class Customer:
    """A customer with its keys; `priority` is 0 for the highest, None if not set.

    The keys are excluded from the representation, which may be logged.
    """

    name: str
    keys: tuple[str, ...] = field(repr=False)
    priority: int | None = None


class CustomerDirectory:
    """Finds customers by key and priorities by name; false without customers."""

    def __init__(self, customers: Iterable[Customer] = ()) -> None:
        self._by_key: dict[str, Customer] = {}
        self._priorities: dict[str, int | None] = {}
        for customer in customers:
            self._priorities.setdefault(customer.name, customer.priority)
            for key in customer.keys:
                self._add_key(key, customer)

    def _add_key(self, key: str, customer: Customer) -> None:
        owner = self._by_key.setdefault(key, customer)
        if owner.name != customer.name:
            logger.error(
                "config: customers {} and {} have the same key; it counts for {}",
                owner.name,
                customer.name,
                owner.name,
                key=key_fingerprint(key),
            )

    def __bool__(self) -> bool:
        return bool(self._priorities)

    def has_name(self, name: str) -> bool:
        """Whether there is a customer of a name."""
        return name in self._priorities

    def find(self, key: str) -> Customer | None:
        """Return the customer with a key, None if no customer has it."""
        return self._by_key.get(key)

    def priority_of(self, name: str) -> int | None:
        """Return the priority of a customer, None if it has none or is unknown."""
        return self._priorities.get(name)

    def rank_of(self, name: str) -> int:
        """Return the rank of a customer among others, 0 for the first."""
        priority = self._priorities.get(name)
        return DEFAULT_RANK if priority is None else priority

    def sender_of_job(self, name: str) -> str | None:
        """Return the customer that calls for a job carry (`Call.customer`).

        A job without a customer was submitted on a public route, by a previous release
        or before the configuration had customers.
        """
        return name if name or self else None


def may_access(job_customer: str, customer: str | None) -> bool:
    """Whether a caller may read, end or resubmit a job.

    Parameters
    ----------
    job_customer : str
        The customer that submitted the job, empty if unknown; such jobs are open to
        every known key, because the previous release stores no customer.
    customer : str or None
        The caller, None if the deployment has no customers.
    """
    return customer is None or job_customer in ("", customer)
