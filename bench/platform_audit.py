"""bench.platform_audit: checks the platform's guarantees from outside.

The audit uses only what callers and replicas observed and what the operator did.
"""

import threading
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

from standins.platform_cluster import Submission
from standins.replica import Replica, output_of

__all__ = ["NOT_EXECUTED_STATUSES", "PlatformAudit"]

# These guarantee that the request has not run and never will.
NOT_EXECUTED_STATUSES = frozenset({408, 421, 429, 503})
# Orders that arrive this soon after their sender resumed are not counted.
RESUME_GRACE_S = 0.3


@dataclass
class _ObservedJob:
    submission: Submission
    is_accepted: bool = False
    # Whether the trainer has ended the job; only then may items be lost.
    is_ended: bool = False
    results: list[dict[str, Any]] = field(default_factory=list)


class PlatformAudit:
    """Collects what callers saw; `breaches` lists the violated guarantees."""

    def __init__(self, events: int) -> None:
        self._events = events
        self._lock = threading.Lock()
        self._jobs: dict[str, _ObservedJob] = {}
        self._bookings: dict[str, int] = {}
        self.resumed_s: dict[str, list[float]] = {}
        self.breaches: list[str] = []
        self.counts: Counter[str] = Counter()

    def add_breach(self, text: str) -> None:
        """Record a violated guarantee."""
        with self._lock:
            self.breaches.append(text)

    def record_submission(self, submission: Submission, status: int) -> None:
        """Record the answer to a submission; status 0 for none."""
        with self._lock:
            job = self._jobs.setdefault(submission.job_id, _ObservedJob(submission))
            job.is_accepted |= status == 202
            self.counts[f"submissions {status}"] += 1

    def record_job_end(self, job_id: str) -> None:
        """Record that the trainer ends a job."""
        with self._lock:
            self._jobs[job_id].is_ended = True

    def accepted_submissions(self) -> list[Submission]:
        """Return the jobs that were accepted."""
        with self._lock:
            return [job.submission for job in self._jobs.values() if job.is_accepted]

    def check_page(self, job_id: str, after: int, page: dict[str, Any]) -> int:
        """Check a page of results; return how many results are known now."""
        with self._lock:
            job = self._jobs[job_id]
            expected = len(job.submission.item_ids())
            if page["total"] != expected:
                self.breaches.append(f"{job_id}: total {page['total']}, not {expected}")
            if page["next"] != after + len(page["results"]):
                self.breaches.append(f"{job_id}: next {page['next']} after {after}")
            for position, result in enumerate(page["results"], start=after):
                self._check_result(job, position, result)
            return len(job.results)

    def _check_result(
        self, job: _ObservedJob, position: int, result: dict[str, Any]
    ) -> None:
        name = f"{job.submission.job_id}[{position}]"
        if position < len(job.results):
            if job.results[position] != result:
                self.breaches.append(f"{name}: another result than before")
            return
        if position > len(job.results):
            # The reader is ahead of the results recorded so far; the gap is read later.
            return
        item_id = result["id"]
        if item_id not in job.submission.item_ids():
            self.breaches.append(f"{name}: item {item_id} of another job")
        if any(known["id"] == item_id for known in job.results):
            self.breaches.append(f"{name}: item {item_id} listed twice")
        if result["state"] == "completed":
            self._check_output(job, name, result)
        elif not job.is_ended:
            self.breaches.append(f"{name}: lost before the end of the job")
        job.results.append(result)
        self.counts[f"results {result['state']}"] += 1

    def _check_output(
        self, job: _ObservedJob, name: str, result: dict[str, Any]
    ) -> None:
        if result["output"] != output_of(result["id"], self._events):
            self.breaches.append(f"{name}: not the item's whole output")
        versions = result["versions"]
        if not versions or min(versions) < job.submission.min_version:
            self.breaches.append(f"{name}: made by versions {versions}")

    def record_booking(self, request_id: str, status: int, body: bytes) -> None:
        """Record the answer to a request that may run only once; status 0 for none."""
        with self._lock:
            self._bookings[request_id] = status
            self.counts[f"bookings {status}"] += 1
            if status == 200 and body != b"answer to " + request_id.encode():
                self.breaches.append(f"booking {request_id}: another's answer")

    def record_lookup(self, request_id: str, status: int, body: bytes) -> None:
        """Record the answer to a request that may be repeated; status 0 for none."""
        with self._lock:
            self.counts[f"lookups {status}"] += 1
            if status == 200 and body != b"answer to " + request_id.encode():
                self.breaches.append(f"lookup {request_id}: another's answer")

    def record_resumed(self, daemon: str, at_s: float) -> None:
        """Record that a paused daemon runs again."""
        with self._lock:
            self.resumed_s.setdefault(daemon, []).append(at_s)

    def check_runs_and_orders(
        self, replicas: Iterable[Replica], order_spacing_s: float
    ) -> None:
        """Check run counts and orders, which need the data of the whole soak."""
        runs: Counter[str] = Counter()
        for replica in replicas:
            runs.update(request_id for request_id, _, _ in replica.arrivals)
            self._check_orders(replica, order_spacing_s)
        for request_id, status in self._bookings.items():
            count = runs[request_id]
            if count > 1:
                self.add_breach(f"booking {request_id} ran {count} times")
            if status in NOT_EXECUTED_STATUSES and count:
                self.add_breach(f"booking {request_id} was answered {status}, but ran")
            if status == 200 and not count:
                self.add_breach(f"booking {request_id} was answered, but did not run")

    def _check_orders(self, replica: Replica, spacing_s: float) -> None:
        last: tuple[float, str, int] | None = None
        for order in replica.order_arrivals:
            at_s, holder, fence = order
            resumed_s = self.resumed_s.get(holder, [])
            if any(0 <= at_s - resumed < RESUME_GRACE_S for resumed in resumed_s):
                continue
            self.counts["orders"] += 1
            if last is not None and holder != last[1]:
                if fence <= last[2]:
                    self.add_breach(f"{replica.replica_id}: {order} after {last}")
                if at_s - last[0] < spacing_s:
                    self.add_breach(
                        f"{replica.replica_id}: {order} too soon after {last}"
                    )
            last = order
