"""features.support.signalled_start: runs a daemon that gets a signal while it starts.

The first argument is the signal's name, the second one the module whose import brings
the signal; the others are the daemon's.
"""

import importlib.abc
import os
import runpy
import signal
import sys
from collections.abc import Sequence
from importlib.machinery import ModuleSpec
from types import ModuleType

DAEMON_MODULE = "greengagetack.platform"


class _SignalAtImport(importlib.abc.MetaPathFinder):
    """Sends this process a signal when a module is imported, and finds none itself."""

    def __init__(self, number: signal.Signals, module: str) -> None:
        self._number = number
        self._module = module

    def find_spec(
        self,
        fullname: str,
        path: Sequence[str] | None,
        target: ModuleType | None = None,
    ) -> ModuleSpec | None:
        """Send the signal."""
        if fullname == self._module:
            sys.meta_path.remove(self)
            os.kill(os.getpid(), self._number)
        return None


if __name__ == "__main__":
    name, module = sys.argv[1:3]
    sys.meta_path.insert(0, _SignalAtImport(signal.Signals[name], module))
    sys.argv[1:3] = []
    runpy.run_module(DAEMON_MODULE, run_name="__main__", alter_sys=True)
