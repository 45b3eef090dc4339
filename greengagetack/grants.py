"""greengagetack.grants: answers of an owner that is asked before an action."""

from dataclasses import dataclass

__all__ = ["OWNER_UNREACHABLE_PAUSE_S", "Grant"]

# Pause before an owner that did not answer is asked again.
OWNER_UNREACHABLE_PAUSE_S = 0.25


@dataclass(frozen=True, slots=True)
class Grant:
    """Whether the action may be taken now; if not, `wait_s` is the time to wait."""

    is_granted: bool
    wait_s: float = 0.0
