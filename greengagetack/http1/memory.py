"""greengagetack.http1.memory: the memory that responses held in full may use."""

from greengagetack.http1.connection import Connection
from greengagetack.http1.message import IncompleteResponse

__all__ = ["ResponseMemory"]

# Share of the memory for responses that a single one may use.
MAX_RESPONSE_SHARE = 0.5


class ResponseMemory:
    """Reads whole responses, of bounded size in total.

    Servers may send without end, several at a time, and a process that uses more than
    its VM's memory is killed.

    Parameters
    ----------
    limit_bytes : int
        Memory for all responses that are being read.
    """

    def __init__(self, limit_bytes: int) -> None:
        self._limit_bytes = limit_bytes
        self._max_response_bytes = int(limit_bytes * MAX_RESPONSE_SHARE)
        self.used_bytes = 0

    async def read_all(self, connection: Connection) -> bytes:
        """Return the remaining body of a response.

        Raises
        ------
        IncompleteResponse
            If the response ended early or needs more memory than allowed.
        """
        parts: list[bytes] = []
        size_bytes = 0
        try:
            while part := await connection.read():
                parts.append(part)
                size_bytes += len(part)
                self.used_bytes += len(part)
                self._require_within_limits(connection, size_bytes)
            return b"".join(parts)
        finally:
            self.used_bytes -= size_bytes

    def _require_within_limits(self, connection: Connection, size_bytes: int) -> None:
        if size_bytes > self._max_response_bytes:
            connection.close()
            raise IncompleteResponse(
                f"the body of the response exceeds {self._max_response_bytes} bytes"
            )
        if self.used_bytes > self._limit_bytes:
            connection.close()
            raise IncompleteResponse(
                f"{self.used_bytes} bytes of responses exceed the memory for them"
            )
