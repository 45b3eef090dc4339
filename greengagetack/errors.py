"""greengagetack.errors: exceptions with a stable code, a reason and a remedy."""

import enum
from typing import Any

__all__ = [
    "ERROR_TYPES",
    "CodedError",
    "Outcome",
    "error_from_code",
    "register_error",
]


class Outcome(enum.StrEnum):
    """What is known about the effect of a request that failed."""

    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class CodedError(Exception):
    """Base class of all errors that may be returned to a client.

    Parameters
    ----------
    reason : str
        What went wrong, in one sentence.
    retry_after_s : float or None
        Seconds after which the sender may retry, None if a retry is useless.

    Attributes
    ----------
    code : str
        Stable identifier, listed in ``docs/operators/error-codes.md``.
    http_status : int
        Status code of the HTTP response.
    outcome : Outcome
        Whether the request certainly did not run.
    remedy : str
        What the recipient can do about the error.
    """

    code = "internal_error"
    http_status = 500
    outcome = Outcome.NOT_RUN
    remedy = "Report the request identifier to the operators."

    def __init__(self, reason: str, retry_after_s: float | None = None) -> None:
        super().__init__(reason)
        self.reason = reason
        self.retry_after_s = retry_after_s

    def details(self) -> Any:
        """Return additional JSON content for the error response, None for none."""
        return None


ERROR_TYPES: dict[str, type[CodedError]] = {CodedError.code: CodedError}


def register_error(error_type: type[CodedError]) -> type[CodedError]:
    """Add an error type to the registry under its code.

    Raises
    ------
    ValueError
        If another type has the same code.
    """
    if error_type.code in ERROR_TYPES:
        raise ValueError(f"duplicate error code {error_type.code!r}")
    ERROR_TYPES[error_type.code] = error_type
    return error_type


def error_from_code(
    code: str, reason: str, retry_after_s: float | None = None
) -> CodedError:
    """Build the error registered under `code`, or a `CodedError` if unknown."""
    error_type = ERROR_TYPES.get(code, CodedError)
    return error_type(reason, retry_after_s)


@register_error
class InvalidRequest(CodedError):
    """The request is malformed or a value is out of range."""

    code = "invalid_request"
    http_status = 400
    remedy = "Correct the request; the reason names the field."


@register_error
class RequestTooLarge(CodedError):
    """A body, header or nesting depth exceeds its limit."""

    code = "request_too_large"
    http_status = 413
    remedy = "Send a smaller request."


@register_error
class RequestTooSlow(CodedError):
    """The request was not received in time."""

    code = "request_too_slow"
    http_status = 408
    remedy = "Send the whole body without pauses."


@register_error
class RequestCrashesReplicas(CodedError):
    """Replicas crashed while they ran this request, so it is not sent to another."""

    code = "crashes_replicas"
    http_status = 400
    remedy = "Do not send the request again; report it to the service's operators."


@register_error
class Unauthorized(CodedError):
    """The bearer token is missing or invalid."""

    code = "unauthorized"
    http_status = 401
    remedy = "Send a valid bearer token of your team."


@register_error
class UnknownKey(CodedError):
    """The customer's key is missing or is not in the configuration."""

    code = "unknown_key"
    http_status = 401
    remedy = "Send a current key of your customer; ask the operators for one."


@register_error
class Forbidden(CodedError):
    """The token's team may not access the requested object."""

    code = "forbidden"
    http_status = 403
    remedy = "Use a token of the team that owns the object."


@register_error
class NotFound(CodedError):
    """The requested object does not exist."""

    code = "not_found"
    http_status = 404
    remedy = "Check the name; the reason says what was looked up."


@register_error
class Conflict(CodedError):
    """The state has changed since the sender read it."""

    code = "conflict"
    http_status = 409
    remedy = "Read the current state and apply your change to it."


@register_error
class Overloaded(CodedError):
    """The request cannot be served in time and was rejected before running."""

    code = "overloaded"
    http_status = 429
    remedy = "Retry after the given time."


@register_error
class BudgetExhausted(CodedError):
    """The team has used up its budget."""

    code = "budget_exhausted"
    http_status = 429
    remedy = "Wait for the next budget period or raise the team's budget."


@register_error
class NoEndpoint(CodedError):
    """No endpoint can serve the request at the moment."""

    code = "no_endpoint"
    http_status = 503
    remedy = "Retry after the given time, or check the allowed versions."


@register_error
class NotReady(CodedError):
    """The daemon has not loaded its settings or membership yet, or is stopping."""

    code = "not_ready"
    http_status = 503
    remedy = "Retry after the given time or use another daemon."


@register_error
class OwnerUnavailable(CodedError):
    """The owner cannot act at the moment; nothing was run."""

    code = "owner_unavailable"
    http_status = 503
    remedy = "Retry with the same key after the given time."


@register_error
class PeerUnreachable(CodedError):
    """A daemon could not be reached; the request was not sent."""

    code = "peer_unreachable"
    http_status = 503
    remedy = "Retry after the given time."


@register_error
class PeerLost(CodedError):
    """The connection to a daemon was lost after the request was sent."""

    code = "peer_lost"
    http_status = 504
    outcome = Outcome.UNKNOWN
    remedy = "Retry if the request is idempotent; otherwise look up its result."


@register_error
class DeadlineExceeded(CodedError):
    """The request did not finish in time; it may have run."""

    code = "deadline_exceeded"
    http_status = 504
    outcome = Outcome.UNKNOWN
    remedy = "Retry if the request is idempotent; otherwise look up its result."


@register_error
class EndpointFailed(CodedError):
    """An endpoint failed after the request was sent to it."""

    code = "endpoint_failed"
    http_status = 502
    outcome = Outcome.UNKNOWN
    remedy = "Retry if the request is idempotent; otherwise look up its result."


@register_error
class EndpointRefused(CodedError):
    """An endpoint rejected the request before running it."""

    code = "endpoint_refused"
    http_status = 503
    remedy = "Retry after the given time."


@register_error
class CallInProgress(CodedError):
    """A call with the same key is still running."""

    code = "call_in_progress"
    http_status = 409
    outcome = Outcome.UNKNOWN
    remedy = "Retry with the same key after the given time."


@register_error
class CallOutcomeUnknown(CodedError):
    """A call with this key may have run; it will never run again."""

    code = "call_outcome_unknown"
    http_status = 502
    outcome = Outcome.UNKNOWN
    remedy = "Look up the effect at the service before using a new key."


@register_error
class PlatformUnavailable(CodedError):
    """The platform's object API does not answer or is temporarily unavailable."""

    code = "platform_unavailable"
    http_status = 503
    outcome = Outcome.UNKNOWN
    remedy = "Retry after the given time; running work continues."


@register_error
class OptionError(CodedError):
    """An option of a registry or command line has an invalid value."""

    code = "option_error"
    http_status = 400
    remedy = "Use one of the values that the reason lists."
