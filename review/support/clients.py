"""review.support.clients: clients that send requests at a steady rate."""

import http.client
import threading
import time
from dataclasses import dataclass

from review.support.cluster import ReviewCluster
from standins.platform_cluster import HOST_NAME

__all__ = ["SentRequest", "SteadyClient"]

CLIENT_LIMIT_S = 10.0


@dataclass
class SentRequest:
    """A request and its answer; `status` is 0 without a complete answer."""

    request_id: str
    daemon: str
    sent_s: float
    status: int = 0
    answered_s: float = 0.0
    reason: str = ""
    has_seal: bool = False
    body: bytes = b""


class SteadyClient:
    """Sends each request on a connection of its own, at a steady rate."""

    def __init__(
        self,
        cluster: ReviewCluster,
        daemon: str,
        prefix: str,
        per_s: float,
        deadline_ms: int,
        headers: dict[str, str] | None = None,
    ) -> None:
        self._cluster = cluster
        self._daemon = daemon
        self._prefix = prefix
        self._pause_s = 1.0 / per_s
        self._deadline_ms = deadline_ms
        self._headers = headers or {}
        self._is_stopped = threading.Event()
        self._threads: list[threading.Thread] = []
        self.sent: list[SentRequest] = []
        self._starter = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Start sending."""
        self._starter.start()

    def stop(self) -> None:
        """Stop sending and wait for the open requests."""
        self._is_stopped.set()
        self._starter.join(CLIENT_LIMIT_S)
        for thread in self._threads:
            thread.join(CLIENT_LIMIT_S)

    def _run(self) -> None:
        number = 0
        while not self._is_stopped.wait(self._pause_s):
            number += 1
            name = self._prefix.strip("/")
            sent = SentRequest(
                f"{name}-{self._daemon}-{number:04d}", self._daemon, time.monotonic()
            )
            self.sent.append(sent)
            thread = threading.Thread(target=self._send, args=(sent,), daemon=True)
            thread.start()
            self._threads.append(thread)

    def _send(self, sent: SentRequest) -> None:
        connection = self._cluster.connect(sent.daemon, timeout_s=CLIENT_LIMIT_S)
        headers = {
            "Host": HOST_NAME,
            "X-Request-Id": sent.request_id,
            "X-Deadline-Ms": str(self._deadline_ms),
            **self._headers,
        }
        path = f"{self._prefix}{sent.request_id}"
        try:
            connection.request("POST", path, b"body", headers)
            response = connection.getresponse()
            sent.has_seal = response.getheader("X-Response-Seal") is not None
            sent.body = response.read()
            sent.status = response.status
        except (OSError, http.client.HTTPException) as error:
            sent.reason = repr(error)
        finally:
            connection.close()
        sent.answered_s = time.monotonic()
