"""standins.runs: requests of the engine stand-in and what they generated."""

import asyncio
import enum

import msgspec

__all__ = [
    "KvCache",
    "Piece",
    "Run",
    "RunRecord",
    "RunRequest",
    "RunState",
    "finish_reason",
]


class RunState(enum.StrEnum):
    """Where a request stands."""

    WAITING = "waiting"
    RUNNING = "running"
    FINISHED = "finished"
    CANCELLED = "cancelled"


class RunRequest(msgspec.Struct, frozen=True):
    """What to generate; `prompt` is the rendered chat for chat requests."""

    request_id: str
    model: str
    prompt: str
    seed: int
    max_tokens: int
    priority: int


class Piece(msgspec.Struct, frozen=True):
    """Tokens ``first_token`` to ``end_token`` made by one weight version."""

    first_token: int
    end_token: int
    version: int


class KvCache(msgspec.Struct, frozen=True):
    """Exported state of a stopped request."""

    request: RunRequest
    length: int
    pieces: list[Piece]


class RunRecord(msgspec.Struct, frozen=True):
    """A request as the log shows it.

    `submissions` counts how often it was sent, `label` is the prompt's first
    word.
    """

    request_id: str
    model: str
    state: RunState
    priority: int
    length: int
    generated: int
    generated_here: int
    cached_tokens: int
    versions: list[int]
    arrived_at_s: float
    started_at_s: float
    ended_at_s: float
    submissions: int
    label: str


class Run:
    """One request, its state and the tokens generated so far.

    Parameters
    ----------
    request : RunRequest
        What to generate.
    length : int
        Number of tokens of the whole answer.
    arrived_at_s : float
        Wall-clock time.
    """

    def __init__(self, request: RunRequest, length: int, arrived_at_s: float) -> None:
        self.request = request
        self.length = length
        self.state = RunState.WAITING
        self.pieces: list[Piece] = []
        self.cached_tokens = 0
        self.prefill_left_s = 0.0
        self.generated_here = 0
        self.arrived_at_s = arrived_at_s
        self.started_at_s = 0.0
        self.ended_at_s = 0.0
        self.owed_tokens = 0.0
        self.submissions = 0
        self._changed = asyncio.Event()

    @property
    def generated(self) -> int:
        """Number of tokens that exist."""
        return self.pieces[-1].end_token if self.pieces else 0

    @property
    def ended(self) -> bool:
        """Whether no more tokens will come."""
        return self.state in (RunState.FINISHED, RunState.CANCELLED)

    def add_tokens(self, count: int, version: int) -> int:
        """Append up to `count` tokens; return how many were added."""
        first = self.generated
        end = min(self.length, first + count)
        if end == first:
            return 0
        self.pieces.append(Piece(first, end, version))
        self.generated_here += end - first
        self.notify()
        return end - first

    def set_state(self, state: RunState, now_s: float) -> None:
        """Enter a state and wake those that wait."""
        self.state = state
        if state is RunState.RUNNING:
            self.started_at_s = now_s
        if self.ended:
            self.ended_at_s = now_s
        self.notify()

    def notify(self) -> None:
        """Wake those that wait for a change."""
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def wait_changed(self) -> None:
        """Wait for tokens or another state."""
        await self._changed.wait()

    def version_ranges(self) -> list[Piece]:
        """Return the pieces with neighbours of one version joined."""
        ranges: list[Piece] = []
        for piece in self.pieces:
            if ranges and ranges[-1].version == piece.version:
                joined = Piece(ranges[-1].first_token, piece.end_token, piece.version)
                ranges[-1] = joined
                continue
            ranges.append(piece)
        return ranges

    def record(self) -> RunRecord:
        """Return the request as the log shows it."""
        return RunRecord(
            self.request.request_id,
            self.request.model,
            self.state,
            self.request.priority,
            self.length,
            self.generated,
            self.generated_here,
            self.cached_tokens,
            [piece.version for piece in self.version_ranges()],
            self.arrived_at_s,
            self.started_at_s,
            self.ended_at_s,
            self.submissions,
            (self.request.prompt.split(maxsplit=1) or [""])[0],
        )


def finish_reason(run: Run) -> str:
    """Return why an ended request ended."""
    if run.state is RunState.CANCELLED:
        return "cancelled"
    return "length" if run.length >= run.request.max_tokens else "stop"
