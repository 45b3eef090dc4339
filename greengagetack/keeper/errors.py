"""greengagetack.keeper.errors: what can go wrong with a completion's tokens."""

from greengagetack.errors import (
    CodedError,
    EndpointRefused,
    Outcome,
    register_error,
)

__all__ = ["EndpointUnreachable", "StaleVersion", "StreamTorn"]


@register_error
class EndpointUnreachable(EndpointRefused):
    """An endpoint accepts no connection; nothing was sent."""

    code = "endpoint_unreachable"


@register_error
class StaleVersion(CodedError):
    """The loaded or answering version is older than the request allows."""

    code = "stale_version"
    http_status = 503
    remedy = "Come back after the given time, or allow older versions."


@register_error
class StreamTorn(CodedError):
    """The continuation does not match the tokens that were already received."""

    code = "stream_torn"
    http_status = 502
    outcome = Outcome.UNKNOWN
    remedy = "Send the request again; drop the tokens received so far."
