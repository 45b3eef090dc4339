"""greengagetack.membership.timings: leases, intervals and timeouts of a cell."""

from dataclasses import dataclass

__all__ = ["CellTimings"]


@dataclass(frozen=True, slots=True)
class CellTimings:
    """Times of leases, heartbeats and promises, all in seconds.

    Parameters
    ----------
    lease_s : float
        How long a lead's lease, a keeper's lease and a backup's promise last.
    margin_s : float
        Subtracted by a holder and added by an observer, for clock drift.
    renew_s : float
        Interval of renewals of the lead's lease and of promises.
    heartbeat_s : float
        Interval of a member's heartbeats to the lead.
    suspect_s : float
        Time without an answer or heartbeat after which a VM is suspected.
    poll_s : float
        Interval at which the lead reads the VM list and the shard pairs.
    settle_s : float
        How long a cell's first lead waits for members before the first table.
    request_timeout_s : float
        Timeout of a request between members.
    """

    lease_s: float = 4.0
    margin_s: float = 0.5
    renew_s: float = 1.0
    heartbeat_s: float = 1.0
    suspect_s: float = 3.0
    poll_s: float = 1.0
    settle_s: float = 1.5
    request_timeout_s: float = 1.0

    @property
    def holder_s(self) -> float:
        """How long a holder trusts a lease, counted from sending the renewal."""
        return self.lease_s - self.margin_s

    @property
    def observer_s(self) -> float:
        """How long an observer waits, counted from the last renewal it saw."""
        return self.lease_s + self.margin_s
