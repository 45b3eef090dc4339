"""review.support.trainer: a trainer that keeps to the pages, and its texts."""

import asyncio
import base64
import http.client
import json
import time
from collections import Counter
from collections.abc import AsyncIterator, Callable, Sequence
from dataclasses import dataclass, field
from typing import Any

from review.support.cluster import ReviewCluster
from standins.platform_cluster import HOST_NAME, JOBS_PREFIX, REWARD_PREFIX, Answer
from standins.replica import MODEL, Replica

__all__ = ["Step", "TextReplica", "Trainer", "reward_id_of"]

PROMPT_TOKENS = 16
WAIT_MS = 1_000
# Clients read about twice per second.
READ_INTERVAL_S = 0.5
RETRY_PAUSE_S = 0.3
TRAINING_S = 0.5
CALL_LIMIT_S = 4.0


def reward_id_of(job_id: str, item_id: str) -> str:
    """Return the identifier of the reward call that a job asks for."""
    return f"reward-{job_id}-{item_id}"


@dataclass
class Step:
    """A step and what the trainer has read of it."""

    number: int
    groups: list[list[str]]
    target_groups: int
    has_rewards: bool = False
    results: list[dict[str, Any]] = field(default_factory=list)

    @property
    def job_id(self) -> str:
        """The identifier of the step's job."""
        return f"step{self.number}"

    def complete_groups(self) -> list[list[str]]:
        """Return the groups of which all items have been read."""
        read = {result["id"] for result in self.results}
        return [group for group in self.groups if read.issuperset(group)]

    def incomplete_groups(self) -> list[list[str]]:
        """Return the other groups."""
        complete = self.complete_groups()
        return [group for group in self.groups if group not in complete]


class TextReplica(Replica):
    """A replica whose texts have lengths and paces of their own.

    `length_of` returns the number of an item's events, `pace_of` the seconds between
    them.
    """

    event_bytes = 0
    length_of: Callable[[str], int]
    pace_of: Callable[[str], float]

    async def _stream_events(self, request_id: str, first: int) -> AsyncIterator[bytes]:
        self.running += 1
        is_complete = False
        try:
            for number in range(first, type(self).length_of(request_id) + 1):
                await asyncio.sleep(type(self).pace_of(request_id))
                data = f"{request_id}:{number}:".encode().ljust(self.event_bytes, b"x")
                yield b"id: %d\ndata: %b\n\n" % (number, data)
                self.sent_events[request_id] = number
            is_complete = True
        finally:
            self.running -= 1
            if not is_complete:
                self.interrupted_ids.append(request_id)


class Trainer:
    """Submits steps, reads results, ends jobs and names versions.

    A call that gets no answer, or one that says to come back, is sent again at another
    daemon.

    Parameters
    ----------
    daemons : sequence of str
        The daemons that the ingress gives the calls to, in turn.
    max_tokens : int
        Maximum number of output tokens of an item.
    """

    def __init__(
        self, cluster: ReviewCluster, daemons: Sequence[str], max_tokens: int
    ) -> None:
        self._cluster = cluster
        self._daemons = daemons
        self._max_tokens = max_tokens
        self._calls = 0

    def _call(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
    ) -> Answer:
        while True:
            daemon = self._daemons[self._calls % len(self._daemons)]
            self._calls += 1
            try:
                answer = self._cluster.call(
                    daemon, method, path, body, headers, timeout_s=CALL_LIMIT_S
                )
            except (OSError, http.client.HTTPException) as error:
                self._cluster.note(f"trainer: {method} {path} to {daemon}: {error!r}")
            else:
                if answer.status < 500 and answer.status != 429:
                    return answer
                self._cluster.note(
                    f"trainer: {method} {path} to {daemon}: {answer.status}"
                )
            time.sleep(RETRY_PAUSE_S)

    def submit(self, step: Step) -> None:
        """Submit a step; it allows the version before the newest one, too."""
        items = [
            self._item(step, item_id, number)
            for number, group in enumerate(step.groups)
            for item_id in group
        ]
        fields = {
            "step": step.number,
            "model": MODEL,
            "min_version": step.number - 1,
            "target_groups": step.target_groups,
            "items": items,
        }
        headers = {"X-Request-Id": step.job_id, "Content-Type": "application/json"}
        path = f"{JOBS_PREFIX}{step.job_id}"
        answer = self._call("POST", path, json.dumps(fields).encode(), headers)
        self._cluster.note(
            f"trainer: submitted {step.job_id}, {len(step.groups)} groups, "
            f"{len(items)} items: {answer.status}"
        )
        assert answer.status == 202

    def _item(self, step: Step, item_id: str, group: int) -> dict[str, Any]:
        item = {
            "id": item_id,
            "path": f"{JOBS_PREFIX}{item_id}",
            "headers": {
                "X-Model": MODEL,
                "X-Token-Usage": f"{PROMPT_TOKENS},{self._max_tokens}",
                "X-Prompt-Prefix": f"{group:x}:{PROMPT_TOKENS}",
            },
            "body": _base64(f"body of {item_id}"),
            "tokens": PROMPT_TOKENS + self._max_tokens,
            "group": item_id.rpartition("-")[0],
        }
        if step.has_rewards:
            reward_id = reward_id_of(step.job_id, item_id)
            item["scorer"] = {
                "id": reward_id,
                "host": HOST_NAME,
                "path": f"{REWARD_PREFIX}{reward_id}",
                "body": _base64(f"score {item_id}"),
            }
        return item

    def read(self, step: Step) -> int:
        """Wait for results after those that were read; return how many there were."""
        after = len(step.results)
        path = f"/lots/{step.job_id}?after={after}"
        answer = self._call("GET", path, headers={"X-Wait-Ms": str(WAIT_MS)})
        assert answer.status == 200
        page = answer.json["results"]
        step.results += page
        self._cluster.note(
            f"trainer: read {step.job_id} after {after}: {len(page)} results"
        )
        return len(page)

    def read_until(self, step: Step, until_s: float) -> bool:
        """Read until the step is satisfied; return whether it is, before a time."""
        while len(step.complete_groups()) < step.target_groups:
            started_s = time.monotonic()
            if started_s >= until_s:
                return False
            self.read(step)
            pause_s = started_s + READ_INTERVAL_S - time.monotonic()
            time.sleep(max(0.0, min(pause_s, until_s - time.monotonic())))
        return True

    def end(self, step: Step) -> None:
        """End a step's job."""
        answer = self._call("DELETE", f"/lots/{step.job_id}")
        states = Counter(result["state"] for result in step.results)
        self._cluster.note(
            f"trainer: ended {step.job_id}: {answer.status}; complete groups "
            f"{len(step.complete_groups())} of {len(step.groups)}, {dict(states)}"
        )
        assert answer.status == 200

    def train(self, step: Step) -> None:
        """Train on a step, and name the next version."""
        time.sleep(TRAINING_S)
        self._cluster.name_version(step.number + 1)
        self._cluster.note(f"trainer: named version {step.number + 1}")


def _base64(text: str) -> str:
    return base64.b64encode(text.encode()).decode()
