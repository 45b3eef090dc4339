"""features.steps.planned_stop_steps: requests around the planned stop of a daemon."""

import http.client
import signal
import socket
import threading
import time
from dataclasses import dataclass

from behave import given, then, when
from behave.runner import Context

from greengagetack.coordination.messages import decode
from standins.platform_cluster import (
    BOOKING_PREFIX,
    HOST_NAME,
    PLAIN_SERVICE,
    PlatformCluster,
)

CONFIG_VERSION = 7
SPREAD_S = 1.0
CALLER_TIMEOUT_S = 15.0
BEFORE_STOP_S = 0.8
RECONNECT_PAUSE_S = 0.05
STOP_LIMIT_S = 12.0


@dataclass
class Sent:
    """A booking and the status of its answer, 0 without one."""

    request_id: str
    status: int = 0


def _headers(request_id: str) -> dict[str, str]:
    return {
        "Host": HOST_NAME,
        "X-Request-Id": request_id,
        "X-Deadline-Ms": "20000",
    }


@given("routes with a timeout of {timeout:d} ms")
def step_timeout(context: Context, timeout: int) -> None:
    context.cluster.timeout_ms = timeout
    context.cluster.configure(CONFIG_VERSION)
    time.sleep(SPREAD_S)


@given("{count:d} bookings at {edge} have been answered")
def step_bookings(context: Context, count: int, edge: str) -> None:
    for number in range(count):
        request_id = f"warm-{number}"
        path = f"{BOOKING_PREFIX}{request_id}"
        answer = context.cluster.call(edge, "POST", path, b"", _headers(request_id))
        assert answer.status == 200, answer


def _ask_to_stop(context: Context, edge: str) -> None:
    context.cluster.edges[edge].send_signal(signal.SIGTERM)


def _run_ids(cluster: PlatformCluster) -> list[str]:
    return [
        request_id
        for replica in cluster.replicas.values()
        for request_id, _, _ in replica.arrivals
    ]


class _Caller(threading.Thread):
    """Sends bookings on one connection, and on a new one when it was closed."""

    def __init__(self, cluster: PlatformCluster, edge: str, name: str) -> None:
        super().__init__(daemon=True)
        self._cluster = cluster
        self._edge = edge
        self._name = name
        self.sent: list[Sent] = []
        self.is_finished = threading.Event()

    def run(self) -> None:
        """Send until told to finish."""
        connection: http.client.HTTPConnection | None = None
        while not self.is_finished.is_set():
            if connection is None:
                connection = self._cluster.connect(
                    self._edge, "front", CALLER_TIMEOUT_S
                )
            if not self._send(connection):
                connection.close()
                connection = None
                time.sleep(RECONNECT_PAUSE_S)

    def _send(self, connection: http.client.HTTPConnection) -> bool:
        """Send a booking; return whether the connection may be used again."""
        booking = Sent(f"{self._name}-{len(self.sent)}")
        self.sent.append(booking)
        path = f"{BOOKING_PREFIX}{booking.request_id}"
        try:
            connection.request("POST", path, b"", _headers(booking.request_id))
            response = connection.getresponse()
            response.read()
        except (OSError, http.client.HTTPException):
            return False
        booking.status = response.status
        return not response.will_close


@when("4 callers send bookings to {edge} one after another, and it is asked to stop")
def step_callers(context: Context, edge: str) -> None:
    callers = [_Caller(context.cluster, edge, f"caller{n}") for n in range(4)]
    for caller in callers:
        caller.start()
    time.sleep(BEFORE_STOP_S)
    _ask_to_stop(context, edge)
    context.cluster.edges[edge].wait(STOP_LIMIT_S)
    for caller in callers:
        caller.is_finished.set()
        caller.join(CALLER_TIMEOUT_S)
    context.sent = [booking for caller in callers for booking in caller.sent]


@then("each booking that a replica has run was answered with 200")
def step_all_answered(context: Context) -> None:
    statuses = {booking.request_id: booking.status for booking in context.sent}
    run = _run_ids(context.cluster)
    assert len(run) == len(set(run)), "a booking ran twice"
    unanswered = [each for each in run if statuses[each] != 200]
    assert run, "no booking ran, so nothing was tested"
    assert not unanswered, unanswered


@then("each booking that was not answered reached no replica")
def step_unread(context: Context) -> None:
    run = set(_run_ids(context.cluster))
    lost = [sent for sent in context.sent if not sent.status and sent.request_id in run]
    assert not lost, lost


@when('booking "{request_id}" is sent to {edge} 0.5 s before it is asked to stop')
def step_before_stop(context: Context, request_id: str, edge: str) -> None:
    timer = threading.Timer(0.5, _ask_to_stop, (context, edge))
    timer.start()
    path = f"{BOOKING_PREFIX}{request_id}"
    context.answers[request_id] = context.cluster.call(
        edge, "POST", path, b"", _headers(request_id), timeout_s=CALLER_TIMEOUT_S
    )


@when(
    'booking "{request_id}" is begun at {edge}, which is asked to stop, '
    "and ends {later:g} s later"
)
def step_slow_body(context: Context, request_id: str, edge: str, later: float) -> None:
    body = b"question"
    lines = [f"{name}: {value}" for name, value in _headers(request_id).items()]
    head = "\r\n".join(
        [
            f"POST {BOOKING_PREFIX}{request_id} HTTP/1.1",
            *lines,
            f"Content-Length: {len(body)}",
        ]
    )
    host, _, port = context.cluster.address_of(edge, "front").rpartition(":")
    with socket.create_connection((host, int(port)), CALLER_TIMEOUT_S) as client:
        client.sendall(head.encode() + b"\r\n\r\n" + body[:1])
        _ask_to_stop(context, edge)
        time.sleep(later)
        client.sendall(body[1:])
        response = http.client.HTTPResponse(client)
        response.begin()
        context.answers[request_id] = response


@then('"{request_id}" has reached no replica')
def step_not_run(context: Context, request_id: str) -> None:
    assert request_id not in _run_ids(context.cluster)


@when("{edge} is asked to stop and {pause:g} s pass")
def step_stopping(context: Context, edge: str, pause: float) -> None:
    _ask_to_stop(context, edge)
    time.sleep(pause)
    context.edge = edge


@then("it answers that it reaches no replica")
def step_no_path(context: Context) -> None:
    answer = context.cluster.call(
        context.edge, "GET", f"/peer/paths/{PLAIN_SERVICE}", listener="control"
    )
    assert answer.status == 200, answer
    assert decode(answer.body, type=bool) is False
