"""standins.identities: judges what replicas were told of the senders of requests."""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

from starlette.requests import Request

__all__ = [
    "ReceivedIdentity",
    "judge_identities",
    "leaked_keys",
    "received_identity",
]


@dataclass(frozen=True)
class ReceivedIdentity:
    """What a request that reached the replica says of its sender.

    Each field has one entry for each header of its name; `text` is everything that was
    received, in which a key must not appear anywhere.
    """

    request_id: str
    keys: tuple[str, ...]
    customers: tuple[str, ...]
    urgencies: tuple[str, ...]
    text: str


def received_identity(
    request: Request, request_id: str, body: bytes
) -> ReceivedIdentity:
    """Return what a request says of its sender."""
    headers = request.headers
    return ReceivedIdentity(
        request_id,
        tuple(headers.getlist("x-api-key")),
        tuple(headers.getlist("x-tenant")),
        tuple(headers.getlist("x-urgency-class")),
        f"{request.url} {headers.items()} {body!r}",
    )


def judge_identities(
    received: Mapping[str, Sequence[ReceivedIdentity]],
    prefix: str,
    customer: str,
    urgency: str,
) -> tuple[int, list[str]]:
    """Compare the senders that replicas were told of with the expected ones.

    Parameters
    ----------
    received : mapping
        The requests that reached each replica.
    prefix : str
        Start of the identifiers of the requests that are judged.
    customer, urgency : str
        The expected name and priority, empty for no header.

    Returns
    -------
    tuple
        The number of judged requests and a description of each wrong one.
    """
    names = (customer,) if customer else ()
    urgencies = (urgency,) if urgency else ()
    judged = [
        (replica, request)
        for replica, requests in received.items()
        for request in requests
        if request.request_id.startswith(prefix)
    ]
    wrong = [
        f"{replica}: {request}"
        for replica, request in judged
        if (request.customers, request.urgencies) != (names, urgencies)
    ]
    return len(judged), wrong


def leaked_keys(
    received: Mapping[str, Sequence[ReceivedIdentity]], keys: Iterable[str]
) -> list[str]:
    """Describe each request that reached a replica with a key in any place."""
    keys = tuple(keys)
    return [
        f"{replica}: {request}"
        for replica, requests in received.items()
        for request in requests
        if request.keys or any(key in request.text for key in keys)
    ]
