"""bench.platform_load: the trainer and callers of the platform's soak."""

import http.client
import random
import threading
import time
from contextlib import suppress

from bench.platform_audit import NOT_EXECUTED_STATUSES, PlatformAudit
from standins.platform_cluster import (
    BOOKING_PREFIX,
    HOST_NAME,
    LOOKUP_PREFIX,
    PlatformCluster,
    Submission,
)

__all__ = ["CallerLoad", "TrainerLoad"]

# Exceptions of a connection whose daemon exits or stops answering.
CALL_ERRORS = (OSError, http.client.HTTPException, ValueError)
CALL_TIMEOUT_S = 3.0
PAUSE_S = 0.1
STEP_LIMIT_S = 60.0
GROUPS, GROUP_SIZE = 3, 4
REREAD_RATIO = 0.2
OK = 200
ACCEPTED = 202
NOT_FOUND = 404
GONE = 410


class TrainerLoad:
    """Submits one job after the other, reads it at random daemons and ends it."""

    def __init__(
        self, cluster: PlatformCluster, audit: PlatformAudit, seed: int
    ) -> None:
        self._cluster = cluster
        self._audit = audit
        self._rng = random.Random(seed)
        self._name = f"t{seed}"

    def run(self, stop: threading.Event) -> None:
        """Run steps until `stop` is set."""
        step = 0
        while not stop.is_set():
            self.run_step(step, stop)
            # The step after the next may use the version that this step has made.
            self._cluster.name_version(step + 2)
            step += 1

    def run_step(self, step: int, stop: threading.Event) -> None:
        """Submit one job, read all its results and end it."""
        job_id = f"{self._name}-{step}"
        submission = Submission(job_id, GROUPS, GROUP_SIZE, max(1, step))
        until_s = time.monotonic() + STEP_LIMIT_S
        while not self._submit(submission):
            if time.monotonic() > until_s:
                self._audit.add_breach(f"{job_id}: not accepted in {STEP_LIMIT_S:g} s")
                return
            time.sleep(PAUSE_S)
        total = len(submission.item_ids())
        known = 0
        is_complete = False
        while not (is_complete or stop.is_set()):
            if time.monotonic() > until_s:
                self._audit.add_breach(
                    f"{job_id}: {known}/{total} in {STEP_LIMIT_S:g} s"
                )
                break
            known = self.read_page(job_id, known)
            is_complete = known >= total
        self._audit.record_job_end(job_id)
        while not self._end(job_id) and time.monotonic() < until_s:
            time.sleep(PAUSE_S)
        self._audit.counts["steps"] += 1

    def _random_edge(self) -> str:
        return self._rng.choice(sorted(self._cluster.edges))

    def _submit(self, submission: Submission) -> bool:
        status = 0
        with suppress(*CALL_ERRORS):
            status = self._cluster.submit(self._random_edge(), submission).status
        self._audit.record_submission(submission, status)
        return status == ACCEPTED

    def read_page(self, job_id: str, known: int) -> int:
        """Read a page at a random daemon; return how many results are known now."""
        after = known
        if self._rng.random() < REREAD_RATIO:
            after = self._rng.randint(0, known)
        try:
            answer = self._cluster.read_results(self._random_edge(), job_id, after)
        except CALL_ERRORS:
            time.sleep(PAUSE_S)
            return known
        if answer.status in (NOT_FOUND, GONE):
            self._audit.add_breach(f"{job_id}: answered {answer.status}")
        if answer.status != OK:
            time.sleep(PAUSE_S)
            return known
        if known > after and not answer.json["results"]:
            self._audit.add_breach(
                f"{job_id}: empty page at {after}, but {known} were read"
            )
        return self._audit.check_page(job_id, after, answer.json)

    def _end(self, job_id: str) -> bool:
        with suppress(*CALL_ERRORS):
            path = f"/lots/{job_id}"
            return self._cluster.call(self._random_edge(), "DELETE", path).status == OK
        return False

    def reread_job(self, submission: Submission) -> None:
        """Read all results of a job again from the start, after the soak."""
        until_s = time.monotonic() + STEP_LIMIT_S
        total, known = len(submission.item_ids()), 0
        while known < total and time.monotonic() < until_s:
            page = self._cluster.read_results(
                self._random_edge(), submission.job_id, known
            )
            if page.status != OK:
                time.sleep(PAUSE_S)
                continue
            self._audit.check_page(submission.job_id, known, page.json)
            known += len(page.json["results"])
            if not page.json["results"]:
                return


class CallerLoad:
    """Sends lookups and bookings over one persistent connection at a time."""

    def __init__(
        self, cluster: PlatformCluster, audit: PlatformAudit, seed: int
    ) -> None:
        self._cluster = cluster
        self._audit = audit
        self._rng = random.Random(seed)
        self._name = f"c{seed}"

    def run(self, stop: threading.Event) -> None:
        """Send requests until `stop` is set."""
        number = 0
        connection: http.client.HTTPConnection | None = None
        while not stop.is_set():
            number += 1
            if connection is None:
                edge = self._rng.choice(sorted(self._cluster.edges))
                connection = self._cluster.connect(edge, timeout_s=CALL_TIMEOUT_S)
            request_id = f"{self._name}-{number}"
            if not self._send(connection, request_id, number % 2 == 0):
                connection.close()
                connection = None
            time.sleep(self._rng.uniform(0, PAUSE_S))

    def _send(
        self, connection: http.client.HTTPConnection, request_id: str, is_booking: bool
    ) -> bool:
        """Send one request; return whether the connection may be used again."""
        prefix = BOOKING_PREFIX if is_booking else LOOKUP_PREFIX
        record = self._audit.record_booking if is_booking else self._audit.record_lookup
        headers = {
            "Host": HOST_NAME,
            "X-Request-Id": request_id,
            "X-Deadline-Ms": "1500",
        }
        try:
            connection.request("POST", f"{prefix}{request_id}", b"x", headers)
            answer = connection.getresponse()
            body = answer.read()
        except CALL_ERRORS:
            record(request_id, 0, b"")
            return False
        record(request_id, answer.status, body)
        if answer.status in NOT_EXECUTED_STATUSES:
            time.sleep(PAUSE_S)
        return answer.getheader("connection", "").lower() != "close"
