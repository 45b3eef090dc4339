"""features.support.version_watch: polls the settings versions of daemons."""

import threading
import time
from collections.abc import Callable
from urllib.error import URLError

from bench.deployment import Deployment, send_json

__all__ = ["SETTINGS_PATH", "VersionWatch"]

POLL_S = 0.05
SETTINGS_PATH = "/v1/settings/teams/quetzal"


class VersionWatch:
    """Polls each daemon and records the versions that it returned, in order."""

    def __init__(self, deployment: Deployment) -> None:
        self._deployment = deployment
        self._stop = threading.Event()
        self.seen: dict[str, list[int]] = {vm_id: [] for vm_id in deployment.daemons}
        self._threads = [
            threading.Thread(target=self._watch, args=(vm_id,), daemon=True)
            for vm_id in deployment.daemons
        ]
        for thread in self._threads:
            thread.start()

    def _watch(self, vm_id: str) -> None:
        headers = self._deployment.operator_headers()
        while not self._stop.is_set():
            process = self._deployment.daemons[vm_id]
            try:
                answer = send_json(process.url + SETTINGS_PATH, headers=headers)
                self.seen[vm_id].append(answer["version"])
            except (URLError, OSError, KeyError):
                # The daemon is stopped, starting or not ready.
                pass
            time.sleep(POLL_S)

    def wait_until(self, condition: Callable[[], bool], timeout_s: float) -> bool:
        """Wait for a condition; return whether it was met in time."""
        deadline_s = time.monotonic() + timeout_s
        while not condition():
            if time.monotonic() > deadline_s:
                return False
            time.sleep(POLL_S)
        return True

    def all_show(self, version: int) -> bool:
        """Return whether each daemon's latest answer has the version."""
        return all(seen and seen[-1] == version for seen in self.seen.values())

    def close(self) -> None:
        """Stop polling."""
        self._stop.set()
        for thread in self._threads:
            thread.join()
