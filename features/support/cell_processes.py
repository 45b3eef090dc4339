"""features.support.cell_processes: a platform stand-in and daemons as processes."""

import json
import time
import urllib.request
from collections.abc import Callable
from typing import Any
from urllib.error import URLError

from greengagetack.daemons.auth import hash_token
from standins.processes import Process, ProcessGroup

__all__ = ["ProcessCell"]

CELL = "cell-1"
TOKEN = "ggt_operator"
SHARDS = 8
WAIT_TIMEOUT_S = 60.0
CALL_TIMEOUT_S = 3.0
POLL_S = 0.1


class ProcessCell:
    """Daemons of one cell without endpoints, each in its own process.

    Parameters
    ----------
    group : ProcessGroup
        Ends all processes when its context exits.
    count : int
        Number of daemons to start.
    """

    def __init__(self, group: ProcessGroup, count: int) -> None:
        self._group = group
        self.platform = group.start_stand_in("platform")
        self._put("settings/fleet", self._fleet())
        self.daemons: dict[str, Process] = {}
        for number in range(count):
            self.daemons[f"vm{number}"] = self._launch(f"vm{number}", {})
        self.publish_vm_list()
        for daemon in self.daemons.values():
            daemon.wait_ready()

    def _fleet(self) -> dict[str, Any]:
        return {"shard_count": SHARDS, "operator_token_hashes": [hash_token(TOKEN)]}

    def _launch(self, vm_id: str, addresses: dict[str, Any]) -> Process:
        settings = {
            "vm_id": vm_id,
            "availability_zone": f"zone-{int(vm_id[2:]) % 3}",
            "cell": CELL,
            "platform_url": self.platform.url,
            **addresses,
        }
        path = self._group.folder / f"{vm_id}.jsonc"
        path.write_text(json.dumps(settings))
        return self._group.launch_daemon(path)

    def restart(self, vm_id: str) -> int:
        """Stop a daemon gracefully, restart it and return its exit code."""
        old = self.daemons[vm_id]
        addresses = {}
        for key in ("peer", "http"):
            host, _, port = old.ready[key].rpartition(":")
            addresses[key] = {"host": host, "port": int(port)}
        code = old.terminate(WAIT_TIMEOUT_S)
        self.daemons[vm_id] = self._launch(vm_id, addresses)
        self.daemons[vm_id].wait_ready()
        return code

    def kill(self, vm_id: str) -> None:
        """Kill a daemon and remove it from the VM list."""
        self.daemons.pop(vm_id).kill()
        self.publish_vm_list()

    def publish_vm_list(self) -> None:
        """Set the platform's VM list to the running daemons."""
        vms = [
            {"vm_id": name, "availability_zone": "any", "state": "live"}
            for name in self.daemons
        ]
        self._call("POST", self.platform.url, "/control/vms", {"vms": vms})

    def set_faults(self, **faults: Any) -> None:
        """Replace the faults of the platform."""
        self._call("POST", self.platform.url, "/control/faults", faults)

    def _put(self, path: str, value: Any) -> None:
        body = {"change_id": f"test-{path}", "value": value}
        url = f"/objects/{path}"
        self._call("PUT", self.platform.url, url, body, {"If-None-Match": "*"})

    def history(self, name: str) -> list[Any]:
        """Return all values of an object of the cell, oldest first."""
        path = f"/control/history/cells/{CELL}/{name}"
        answer = self._call("GET", self.platform.url, path)
        return [record["value"] for record in answer["writes"]]

    def current_value(self, name: str) -> Any:
        """Return the current value of an object of the cell."""
        path = f"/objects/cells/{CELL}/{name}"
        return self._call("GET", self.platform.url, path)["value"]

    def status(self, vm_id: str) -> Any:
        """Return a daemon's status of the cell; None if it does not answer."""
        headers = {"Authorization": f"Bearer {TOKEN}"}
        try:
            url = self.daemons[vm_id].url
            return self._call("GET", url, "/v1/status", headers=headers)
        except (URLError, OSError):
            return None

    def _call(
        self,
        method: str,
        url: str,
        path: str,
        body: Any = None,
        headers: dict[str, str] | None = None,
    ) -> Any:
        data = None if body is None else json.dumps(body).encode()
        request = urllib.request.Request(
            url + path,
            data=data,
            method=method,
            headers={"Content-Type": "application/json", **(headers or {})},
        )
        with urllib.request.urlopen(request, timeout=CALL_TIMEOUT_S) as answer:
            return json.loads(answer.read())

    def wait_until(self, condition: Callable[[], bool]) -> None:
        """Poll a condition until it holds.

        Raises
        ------
        AssertionError
            If it does not hold in time; the message contains the daemons' logs.
        """
        deadline_s = time.monotonic() + WAIT_TIMEOUT_S
        while not condition():
            if time.monotonic() > deadline_s:
                tails = {n: d.stderr_tail(8) for n, d in self.daemons.items()}
                raise AssertionError(
                    f"condition did not hold in time: {json.dumps(tails, indent=1)}"
                )
            time.sleep(POLL_S)

    def has_converged(self) -> bool:
        """Whether daemons agree on lead and table and each shard has a live pair."""
        statuses = [self.status(name) for name in self.daemons]
        if any(status is None for status in statuses):
            return False
        leads = {status["lead"] for status in statuses}
        revisions = {status["table_revision"] for status in statuses}
        if len(leads) != 1 or len(revisions) != 1 or not leads <= set(self.daemons):
            return False
        answering = [entry for entry in statuses[0]["daemons"] if entry["answers"]]
        if {entry["vm_id"] for entry in answering} != set(self.daemons):
            return False
        if sum(entry["status"]["is_lead"] for entry in answering) != 1:
            return False
        return self._has_live_pairs()

    def _has_live_pairs(self) -> bool:
        members = {
            (vm["vm_id"], vm["incarnation"])
            for vm in self.current_value("table")["members"]
        }
        pairs = self.current_value("shards")["pairs"]
        for pair in pairs:
            if (pair["owner_vm_id"], pair["owner_incarnation"]) not in members:
                return False
            if (pair["backup_vm_id"], pair["backup_incarnation"]) not in members:
                return False
        return len(pairs) == SHARDS
