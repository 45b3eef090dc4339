"""standins.processes: starts stand-ins and daemons for tests and measurements."""

import atexit
import json
import os
import signal
import subprocess
import sys
import tempfile
import threading
from collections.abc import Sequence
from pathlib import Path
from queue import Empty, Queue
from types import TracebackType
from typing import Any, Self

__all__ = ["Process", "ProcessGroup", "StartFailed"]

ROOT = Path(__file__).resolve().parent.parent
READY_TIMEOUT_S = 60.0
STOP_TIMEOUT_S = 15.0
DAEMON_MODULE = "greengagetack.daemons.main"


class StartFailed(Exception):
    """A process ended or timed out before it printed its ready line."""


class Process:
    """A child process that prints one JSON line once it is ready.

    Parameters
    ----------
    name : str
        Name of the process and of its log file.
    module : str
        Module to run.
    arguments : sequence of str
        Command-line arguments.
    folder : Path
        Folder of the file that receives standard error.
    """

    def __init__(
        self, name: str, module: str, arguments: Sequence[str], folder: Path
    ) -> None:
        self.name = name
        self.stderr_path = folder / f"{name}.stderr"
        self.ready: dict[str, Any] = {}
        self._lines: Queue[str | None] = Queue()
        self._printed: list[str] = []
        with self.stderr_path.open("ab") as stderr:
            self._child = subprocess.Popen(
                [sys.executable, "-m", module, *arguments],
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=subprocess.PIPE,
                stderr=stderr,
                text=True,
                start_new_session=True,
            )
        threading.Thread(target=self._read_lines, daemon=True).start()

    def _read_lines(self) -> None:
        assert self._child.stdout is not None
        for line in self._child.stdout:
            self._lines.put(line)
        self._lines.put(None)

    def printed_lines(self) -> list[str]:
        """Return the lines of standard output that `wait_ready` did not read."""
        while True:
            try:
                line = self._lines.get_nowait()
            except Empty:
                return list(self._printed)
            if line is not None:
                self._printed.append(line)

    @property
    def pid(self) -> int:
        """Process identifier."""
        return self._child.pid

    @property
    def url(self) -> str:
        """Base URL of its HTTP server."""
        if "url" in self.ready:
            return str(self.ready["url"])
        return f"http://{self.ready['http']}"

    @property
    def running(self) -> bool:
        """Whether the process is still alive."""
        return self._child.poll() is None

    def wait_ready(self, timeout_s: float = READY_TIMEOUT_S) -> Self:
        """Wait for the ready line.

        Raises
        ------
        StartFailed
            If the process ends or prints no line in time.
        """
        while True:
            try:
                line = self._lines.get(timeout=timeout_s)
            except Empty:
                line = None
            if line is None:
                raise StartFailed(f"{self.name} is not ready: {self.stderr_tail()}")
            if not line.startswith("{"):
                continue
            self.ready = json.loads(line)
            return self

    def stderr_tail(self, lines: int = 20) -> str:
        """Return the last lines of standard error."""
        text = self.stderr_path.read_text(errors="replace")
        return "\n".join(text.splitlines()[-lines:])

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal if the process is still alive."""
        if self.running:
            os.kill(self.pid, number)

    def pause(self) -> None:
        """Suspend the process with SIGSTOP."""
        self.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resume the suspended process with SIGCONT."""
        self.send_signal(signal.SIGCONT)

    def kill(self) -> None:
        """Kill the process and wait until it has ended."""
        self.send_signal(signal.SIGKILL)
        self._child.wait()

    def terminate(self, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Send SIGTERM, also to a suspended process; return its exit code.

        Raises
        ------
        subprocess.TimeoutExpired
            If the process has not ended in time.
        """
        self.resume()
        self.send_signal(signal.SIGTERM)
        return self.wait(timeout_s)

    def wait(self, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Wait for the process to end; return its exit code, negative for a signal."""
        return self._child.wait(timeout_s)


class ProcessGroup:
    """Starts processes and kills all of them when the context exits."""

    def __init__(self, folder: Path | None = None) -> None:
        self._own_folder: tempfile.TemporaryDirectory[str] | None = None
        if folder is None:
            self._own_folder = tempfile.TemporaryDirectory()
            folder = Path(self._own_folder.name)
        self.folder = folder
        self.processes: list[Process] = []
        atexit.register(self.close)

    def __enter__(self) -> Self:
        if threading.current_thread() is threading.main_thread():
            signal.signal(signal.SIGTERM, raise_exit)
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self.close()

    def launch(self, name: str, module: str, *arguments: object) -> Process:
        """Start a module without waiting for its ready line."""
        texts = [str(argument) for argument in arguments]
        process = Process(name, module, texts, self.folder)
        self.processes.append(process)
        return process

    def launch_stand_in(self, kind: str, *arguments: object, name: str = "") -> Process:
        """Start ``standins.<kind>`` on a free port."""
        name = name or f"{kind}-{len(self.processes)}"
        return self.launch(name, f"standins.{kind}", "--port", 0, *arguments)

    def start_stand_in(self, kind: str, *arguments: object, name: str = "") -> Process:
        """Start ``standins.<kind>`` on a free port and wait until it is ready."""
        return self.launch_stand_in(kind, *arguments, name=name).wait_ready()

    def launch_daemon(self, settings_path: Path, name: str = "") -> Process:
        """Start a daemon with a settings file."""
        name = name or settings_path.stem
        return self.launch(name, DAEMON_MODULE, "--settings", settings_path)

    def start_daemon(self, settings_path: Path, name: str = "") -> Process:
        """Start a daemon with a settings file and wait until it is ready."""
        return self.launch_daemon(settings_path, name).wait_ready()

    def close(self) -> None:
        """Kill every process that this group started."""
        for process in self.processes:
            process.send_signal(signal.SIGKILL)
        for process in self.processes:
            process.wait()
        self.processes.clear()
        if self._own_folder is not None:
            self._own_folder.cleanup()
        atexit.unregister(self.close)


def raise_exit(number: int, frame: object) -> None:
    """Handle SIGTERM with `SystemExit`, so that clean-up code runs."""
    raise SystemExit(128 + number)
