"""greengagetack.keeper.messages: messages from entries and owners to keepers."""

from dataclasses import dataclass

from greengagetack.peers.codec import message

__all__ = [
    "CallService",
    "CancelRequest",
    "Chunk",
    "Complete",
    "Completed",
    "EndpointLoad",
    "Header",
    "HeldRequest",
    "HeldRequests",
    "ListHeldRequests",
    "ProbeEndpoints",
    "ProbeReply",
    "ReleaseHeld",
    "ServiceAnswer",
    "Work",
]


class Work:
    """Names of the two classes of work, callers before rollouts."""

    CALLER = "caller"
    ROLLOUT = "rollout"


@message("complete")
@dataclass(frozen=True, slots=True)
class Complete:
    """Generate a completion at one endpoint; answered by chunks, then the end.

    `request_id` makes the request idempotent: the same identifier joins a
    request in flight or collects a held answer, and never runs twice at one
    keeper. `offset_tokens` is the number of tokens that the sender already has.
    `time_left_s` is the time until the deadline. Weight versions below
    `oldest_version` may not answer. A higher `attempt` runs the request again.
    """

    request_id: str
    team: str
    work: str
    endpoint_id: str
    model: str
    prompt: str
    max_tokens: int
    seed: int
    time_left_s: float
    oldest_version: int = 0
    priority: int = 0
    offset_tokens: int = 0
    expected_tokens: int = 0
    job_id: str = ""
    attempt: int = 0


@message("chunk")
@dataclass(frozen=True, slots=True)
class Chunk:
    """Tokens `offset_tokens` up to `offset_tokens + token_count` of a completion."""

    offset_tokens: int
    token_count: int
    text: str
    weight_version: int


@message("endpoint-load")
@dataclass(frozen=True, slots=True)
class EndpointLoad:
    """Current load of an endpoint, as measured by its keeper."""

    endpoint_id: str
    running: int
    waiting: int
    waiting_tokens: int
    slots: int
    tokens_per_s: float
    expected_wait_s: float
    weight_version: int
    ejected: bool = False
    leaving: bool = False
    seconds_per_token: float = 0.0


@message("completed")
@dataclass(frozen=True, slots=True)
class Completed:
    """End of a completion, with the endpoint's load at that time."""

    finish_reason: str
    token_count: int
    load: EndpointLoad


@message("probe-endpoints")
@dataclass(frozen=True, slots=True)
class ProbeEndpoints:
    """Requests the load of endpoints that the receiver keeps.

    `prefix_hash` lets the keeper estimate the cached share of the prompt.
    """

    endpoint_ids: tuple[str, ...]
    prefix_hash: int = 0


@message("probe-reply")
@dataclass(frozen=True, slots=True)
class ProbeReply:
    """Loads, each with the estimated cached share of the prompt (0 to 1)."""

    loads: tuple[EndpointLoad, ...]
    cached_ratios: tuple[float, ...]


@message("cancel-request")
@dataclass(frozen=True, slots=True)
class CancelRequest:
    """Cancels a request, or drops its held answer."""

    request_id: str


@message("list-held")
@dataclass(frozen=True, slots=True)
class ListHeldRequests:
    """Requests the list of a job's requests that a keeper holds."""

    job_id: str


@message("held-request")
@dataclass(frozen=True, slots=True)
class HeldRequest:
    """A request in flight, or a finished answer to be collected."""

    request_id: str
    endpoint_id: str
    finished: bool
    attempt: int = 0


@message("held-requests")
@dataclass(frozen=True, slots=True)
class HeldRequests:
    """A job's requests at a keeper, in flight or finished."""

    requests: tuple[HeldRequest, ...]


@message("release-held")
@dataclass(frozen=True, slots=True)
class ReleaseHeld:
    """Drops held answers that their owner has stored."""

    request_ids: tuple[str, ...]


@message("header")
@dataclass(frozen=True, slots=True)
class Header:
    """One HTTP header."""

    name: str
    value: str


@message("call-service")
@dataclass(frozen=True, slots=True)
class CallService:
    """Sends one plain HTTP call to a service endpoint; the keeper never retries it.

    Errors carry the outcome: ``not_run`` only if the call surely did not run.
    """

    request_id: str
    team: str
    endpoint_id: str
    service: str
    method: str
    path: str
    headers: tuple[Header, ...]
    body: bytes
    time_left_s: float


@message("service-answer")
@dataclass(frozen=True, slots=True)
class ServiceAnswer:
    """The whole answer of a service."""

    status: int
    headers: tuple[Header, ...]
    body: bytes
