"""greengagetack.http1.message: requests, response heads and exchange errors."""

from dataclasses import dataclass

__all__ = [
    "ConnectFailed",
    "ExchangeError",
    "Headers",
    "IncompleteResponse",
    "Request",
    "ResponseHead",
    "header",
]

Headers = tuple[tuple[bytes, bytes], ...]


class ExchangeError(Exception):
    """An exchange ended without a complete response.

    Attributes
    ----------
    sent : bool
        Whether any byte of the request may have reached the server.
    """

    sent = True


class ConnectFailed(ExchangeError):
    """No connection could be opened, so no byte reached the server."""

    sent = False


class IncompleteResponse(ExchangeError):
    """The connection was lost, or the response invalid, before it was complete."""


@dataclass(frozen=True, slots=True)
class Request:
    """A request; header names are lower case, `encode` adds the content length."""

    method: bytes
    target: bytes
    headers: Headers
    body: bytes = b""

    def encode(self) -> bytes:
        """Return the encoded request."""
        lines = [b"%b %b HTTP/1.1" % (self.method, self.target)]
        lines += [b"%b: %b" % pair for pair in self.headers]
        if self.body or self.method not in (b"GET", b"HEAD", b"DELETE"):
            lines.append(b"content-length: %d" % len(self.body))
        return b"\r\n".join(lines) + b"\r\n\r\n" + self.body


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """Status and headers of a response; header names are lower case."""

    status: int
    headers: Headers


def header(headers: Headers, name: bytes) -> bytes | None:
    """Return the first value of a header, None if it is missing."""
    for key, value in headers:
        if key == name:
            return value
    return None
