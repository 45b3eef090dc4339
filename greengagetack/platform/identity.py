"""greengagetack.platform.identity: identifies callers and names them to replicas.

The key in a request identifies its customer. It is removed here, and replicas get the
customer's name instead.
"""

from dataclasses import dataclass, replace

from greengagetack.batches.job import Item
from greengagetack.errors import UnknownKey
from greengagetack.gateway.customers import CustomerDirectory, key_fingerprint
from greengagetack.http1.message import Headers
from greengagetack.platform import wire

__all__ = ["Caller", "identify", "with_identity", "without_item_identity"]

IDENTITY_HEADERS = frozenset({wire.API_KEY, wire.CUSTOMER})


@dataclass(frozen=True, slots=True)
class Caller:
    """The customer that sends a request and its priority.

    `customer` is None if the deployment has no customers, and empty on a public route
    without a known key.
    """

    customer: str | None = None
    urgency: int | None = None

    def log_fields(self) -> dict[str, str]:
        """Return what log lines say of the caller, nothing without customers."""
        return {} if self.customer is None else {"customer": self.customer}


def identify(customers: CustomerDirectory, headers: Headers, is_public: bool) -> Caller:
    """Return the caller of a request.

    Raises
    ------
    UnknownKey
        If the request needs a key and has none, more than one or an unknown one.
    """
    if not customers:
        return Caller()
    keys = {value for name, value in headers if name == wire.API_KEY}
    key = keys.pop().decode(errors="surrogateescape") if len(keys) == 1 else ""
    customer = customers.find(key)
    if customer is not None:
        return Caller(customer.name, customer.priority)
    if is_public:
        return Caller("")
    if keys:
        raise UnknownKey("the request has more than one key")
    if not key:
        raise UnknownKey("the request has no key")
    raise UnknownKey(f"the key with fingerprint {key_fingerprint(key)} is not known")


def with_identity(
    headers: Headers, customer: str | None, urgency: int | None
) -> Headers:
    """Return headers in which only the caller's name and priority identify it.

    Without customers in the deployment, headers pass unchanged. A priority replaces the
    client's.
    """
    if customer is None:
        return headers
    dropped = IDENTITY_HEADERS
    if urgency is not None:
        dropped |= {wire.URGENCY}
    kept = [pair for pair in headers if pair[0] not in dropped]
    if customer:
        kept.append((wire.CUSTOMER, customer.encode()))
    if urgency is not None:
        kept.append((wire.URGENCY, b"%d" % urgency))
    return tuple(kept)


def without_item_identity(items: tuple[Item, ...]) -> tuple[Item, ...]:
    """Return a job's items without headers that hold a key or name a customer."""
    return tuple(
        replace(
            item,
            headers=tuple(
                pair
                for pair in item.headers
                if pair[0].lower().encode() not in IDENTITY_HEADERS
            ),
        )
        for item in items
    )
