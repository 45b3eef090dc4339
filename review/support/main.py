"""review.support.main: runs a case and tells its outcome by the exit code."""

import signal
import sys
import traceback
from collections.abc import Callable
from pathlib import Path

from review.support.cluster import DaemonSpec, ReviewCluster, is_trouble_on
from standins.processes import raise_exit

__all__ = ["run_case"]

HELD, BROKEN, NOT_RUN = 0, 1, 2


def run_case(
    daemons: tuple[DaemonSpec, ...],
    play: Callable[[ReviewCluster], int],
    record: Path,
) -> None:
    """Play a case and exit.

    Parameters
    ----------
    play : callable
        Plays the case; returns how often the rule was broken.
    record : Path
        Receives what was sent, answered and run.
    """
    # The processes end with this one, also when its time has run out.
    signal.signal(signal.SIGTERM, raise_exit)
    cluster = ReviewCluster(daemons)
    code = NOT_RUN
    try:
        cluster.note(f"disruption: {'on' if is_trouble_on() else 'off'}")
        broken = play(cluster)
        code = BROKEN if broken else HELD
        cluster.note(f"the rule was broken {broken} times")
    except Exception:
        cluster.note(f"the case could not run: {traceback.format_exc()}")
    finally:
        cluster.write_record(record)
        cluster.close()
    sys.exit(code)
