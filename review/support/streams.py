"""review.support.streams: replicas with texts of a given size, and their jobs."""

import asyncio
import base64
import json
from collections.abc import AsyncIterator

from review.support.cluster import ReviewCluster
from standins.platform_cluster import JOBS_PREFIX, Answer
from standins.replica import MODEL, Replica

__all__ = ["TextReplica", "submit_items"]

PROMPT_TOKENS = 16
GROUP_SIZE = 8
# Items whose identifiers contain this take long.
SLOW_MARK = "slow"


class TextReplica(Replica):
    """A replica whose events have a given size, and a pace that depends on the item.

    A slow item has as many events as the others.
    """

    event_bytes = 260
    slow_event_s = 0.8

    async def _stream_events(self, request_id: str, first: int) -> AsyncIterator[bytes]:
        self.running += 1
        pause_s = self.slow_event_s if SLOW_MARK in request_id else self.event_s
        is_complete = False
        try:
            for number in range(first, self.events + 1):
                await asyncio.sleep(pause_s)
                data = f"{request_id}:{number}:".encode().ljust(self.event_bytes, b"x")
                yield b"id: %d\ndata: %b\n\n" % (number, data)
                self.sent_events[request_id] = number
            is_complete = True
        finally:
            self.running -= 1
            if not is_complete:
                self.interrupted_ids.append(request_id)


def submit_items(
    cluster: ReviewCluster, daemon: str, job_id: str, item_ids: list[str], events: int
) -> Answer:
    """Submit a job, as a trainer does."""
    items = [
        {
            "id": item_id,
            "path": f"{JOBS_PREFIX}{item_id}",
            "headers": {
                "X-Model": MODEL,
                "X-Token-Usage": f"{PROMPT_TOKENS},{events}",
                "X-Prompt-Prefix": "ab:16",
            },
            "body": base64.b64encode(b"body of " + item_id.encode()).decode(),
            "tokens": PROMPT_TOKENS + events,
            "group": f"{job_id}-g{number // GROUP_SIZE}",
        }
        for number, item_id in enumerate(item_ids)
    ]
    fields = {
        "step": 0,
        "model": MODEL,
        "min_version": 1,
        "target_groups": -(-len(item_ids) // GROUP_SIZE),
        "items": items,
    }
    headers = {"X-Request-Id": job_id, "Content-Type": "application/json"}
    body = json.dumps(fields).encode()
    return cluster.call(daemon, "POST", f"{JOBS_PREFIX}{job_id}", body, headers)
