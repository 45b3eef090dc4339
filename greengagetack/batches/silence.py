"""greengagetack.batches.silence: notices replicas whose runs are all silent."""

import time
from collections.abc import Callable, Collection, Iterable, Mapping

from loguru import logger

from greengagetack.batches.pace import Paces

__all__ = ["SilenceWatch", "silence_limit_s"]

# Silence that is noticed: this multiple of the usual time per event, and at least this
# long, since a replica that is slow by a factor of 4 is not silent.
SILENCE_FACTOR = 10.0
MIN_SILENCE_S = 0.5
# A replica that is known to be slow is silent for some of its own times per event.
OWN_PACE_FACTOR = 3.0
# A replica whose runs have moved away counts as silent for this long, unless an event
# of it arrives.
PROBATION_S = 2.0
# A check that is this late says that this daemon was held up, not the replicas.
MAX_CHECK_GAP_S = 0.45
MS_PER_S = 1_000


def silence_limit_s(usual_pace_s: float) -> float:
    """Return how long a replica may emit no event of any run, in seconds."""
    return max(MIN_SILENCE_S, SILENCE_FACTOR * usual_pace_s)


class SilenceWatch:
    """Tracks when each replica last emitted an event of any of its runs."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._heard_s: dict[str, float] = {}
        self._checked_s = float("-inf")
        # Silence before this time is not held against any replica.
        self._valid_from_s = float("-inf")
        # Silence of each replica that was noticed, and until when that counts.
        self._silent: dict[str, tuple[float, float]] = {}

    def record_event(self, replica_id: str) -> None:
        """Record that a replica has emitted an event."""
        self._heard_s[replica_id] = self._clock()
        self._silent.pop(replica_id, None)

    def forget(self, replica_id: str) -> None:
        """Remove a replica that is gone."""
        self._heard_s.pop(replica_id, None)
        self._silent.pop(replica_id, None)

    def check(
        self,
        runs: Iterable[tuple[str, float]],
        paces: Paces,
        loading_ids: Collection[str],
    ) -> Mapping[str, float]:
        """Return the seconds of silence of each replica that is silent for too long.

        Parameters
        ----------
        runs : iterable of (str, float)
            Replica and monotonic start of each run.
        loading_ids : collection of str
            Replicas that load weights, which pauses their runs.
        """
        now_s = self._clock()
        if now_s - self._checked_s > MAX_CHECK_GAP_S:
            self._valid_from_s = now_s
        self._checked_s = now_s
        for replica_id in loading_ids:
            self.record_event(replica_id)
        began_s: dict[str, float] = {}
        for replica_id, started_s in runs:
            began_s[replica_id] = min(began_s.get(replica_id, started_s), started_s)
        limit_s = silence_limit_s(paces.usual_s)
        for replica_id, started_s in began_s.items():
            heard_s = self._heard_s.get(replica_id, started_s)
            silence_s = now_s - max(started_s, heard_s, self._valid_from_s)
            own_limit_s = OWN_PACE_FACTOR * paces.pace_of(replica_id)
            if silence_s > max(limit_s, own_limit_s):
                self._notice(replica_id, silence_s, paces.usual_s)
        for replica_id, (_, until_s) in list(self._silent.items()):
            if now_s > until_s:
                del self._silent[replica_id]
        return {name: silence_s for name, (silence_s, _) in self._silent.items()}

    def _notice(self, replica_id: str, silence_s: float, usual_s: float) -> None:
        if replica_id not in self._silent:
            logger.warning(
                "dispatch: all runs of a replica are silent",
                replica=replica_id,
                silent_ms=int(silence_s * MS_PER_S),
                usual_ms=int(usual_s * MS_PER_S),
            )
        self._silent[replica_id] = (silence_s, self._clock() + PROBATION_S)
