"""greengagetack.keeper.errors: errors of completions at an endpoint."""

from greengagetack.errors import (
    CodedError,
    EndpointRefused,
    Outcome,
    register_error,
)

__all__ = ["EndpointUnreachable", "StaleVersion", "StreamTorn"]


@register_error
class EndpointUnreachable(EndpointRefused):
    """The endpoint accepts no connections; nothing was sent."""

    code = "endpoint_unreachable"


@register_error
class StaleVersion(CodedError):
    """The loaded or generating weight version is older than the request allows."""

    code = "stale_version"
    http_status = 503
    remedy = "Come back after the given time, or allow older versions."


@register_error
class StreamTorn(CodedError):
    """The resumed stream does not match the tokens that were already received."""

    code = "stream_torn"
    http_status = 502
    outcome = Outcome.UNKNOWN
    remedy = "Send the request again; drop the tokens received so far."
