"""standins.duty_api: a stand-in for the platform's API for duties, with faults.

It judges the rules of the duties: which holder sends which fencing token, how soon
holders take turns, and whether reports of a window agree and are on time.
"""

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from standins.server import drop_connection

__all__ = ["DutyApi", "DutyApiFault", "DutyCall", "DutyJudge"]

FOREVER_S = 3_600.0
OK = 200


@dataclass(frozen=True)
class DutyCall:
    """A call as it arrived; `duty` is the path."""

    duty: str
    holder: str
    fence: int
    at_s: float
    body: dict[str, Any]


@dataclass
class DutyApiFault:
    """Faults that are injected into the API.

    Attributes
    ----------
    mode : str
        ``up``, ``down`` (503), ``limited`` (429), ``full`` (409) or ``silent``: takes
        calls without effect and never answers.
    delay_s : float
        Time from the arrival of a call to its answer.
    lose_answers : int
        Number of next calls that take effect without an answer.
    """

    mode: str = "up"
    delay_s: float = 0.0
    lose_answers: int = 0


class DutyJudge:
    """Judges calls in the order of their arrival.

    Parameters
    ----------
    spacing_s : float
        Minimum time between the calls of a holder before and after another's.
    now_s : callable
        Returns true time.
    """

    def __init__(
        self,
        spacing_s: float = 3.0,
        window_s: float = 5.0,
        due_s: float = 10.0,
        now_s: Callable[[], float] = time.time,
    ) -> None:
        self._spacing_s = spacing_s
        self._window_s = window_s
        self._due_s = due_s
        self.now_s = now_s
        self.calls: list[DutyCall] = []
        self.violations: list[str] = []
        # Counts, and the time of the first report, of each window.
        self.reports: dict[int, dict[str, int]] = {}
        self.reported_s: dict[int, float] = {}

    def judge(self, call: DutyCall) -> None:
        """Record a call and the rules that it breaks."""
        earlier = [one for one in self.calls if one.duty == call.duty]
        self.calls.append(call)
        if any(o.fence == call.fence and o.holder != call.holder for o in earlier):
            self._break(call, "another holder has sent this token")
        if any(one.fence > call.fence for one in earlier):
            self._break(call, "a higher token has been seen")
        since_s = call.at_s - self._spacing_s
        recent = [one.holder for one in earlier if one.at_s > since_s]
        if call.holder in recent:
            later = recent[recent.index(call.holder) :]
            if any(holder != call.holder for holder in later):
                self._break(call, "two holders take turns too soon")
        if call.duty == "usage":
            self._judge_report(call)

    def _judge_report(self, call: DutyCall) -> None:
        window, counts = call.body["window"], call.body["counts"]
        if window not in self.reports:
            self.reports[window] = counts
            self.reported_s[window] = call.at_s
        elif self.reports[window] != counts:
            self._break(call, f"window {window} was reported with other counts")
        if (window + 1) * self._window_s > call.at_s:
            self._break(call, f"window {window} has not ended")

    def _break(self, call: DutyCall, rule: str) -> None:
        self.violations.append(f"{call.holder} with token {call.fence}: {rule}")

    def late_windows(self) -> list[int]:
        """Return the windows whose first report came too late."""
        return [
            window
            for window, at_s in self.reported_s.items()
            if at_s > (window + 1) * self._window_s + self._due_s
        ]


@dataclass
class DutyApi:
    """Serves ``/usage`` and ``/scale``."""

    judge: DutyJudge = field(default_factory=DutyJudge)
    fault: DutyApiFault = field(default_factory=DutyApiFault)
    # Carries out an order of replicas and returns the status of the answer.
    on_scale: Callable[[dict[str, Any]], int] | None = None

    def __post_init__(self) -> None:
        self.app = Starlette(
            routes=[
                Route("/usage", self._handle, methods=["POST"]),
                Route("/scale", self._handle, methods=["POST"]),
            ]
        )

    async def _handle(self, request: Request) -> Response:
        body = await request.json()
        if self.fault.mode == "silent":
            await asyncio.sleep(FOREVER_S)
        statuses = {"down": 503, "limited": 429, "full": 409}
        call = DutyCall(
            request.url.path.strip("/"),
            request.headers["x-duty-holder"],
            int(request.headers["x-fence-token"]),
            self.judge.now_s(),
            body,
        )
        if self.fault.mode in statuses:
            return Response(status_code=statuses[self.fault.mode])
        self.judge.judge(call)
        status = OK
        if call.duty == "scale" and self.on_scale is not None:
            status = self.on_scale(body)
        await asyncio.sleep(self.fault.delay_s)
        if self.fault.lose_answers:
            self.fault.lose_answers -= 1
            return await drop_connection(request)
        return Response(b"{}", status, media_type="application/json")
