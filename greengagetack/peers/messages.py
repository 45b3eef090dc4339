"""greengagetack.peers.messages: messages that every daemon supports."""

from dataclasses import dataclass

from greengagetack.errors import CodedError, Outcome, error_from_code
from greengagetack.peers.codec import message

__all__ = ["Done", "Failure", "Hello", "failure_from_error"]


@message("hello")
@dataclass(frozen=True, slots=True)
class Hello:
    """First message on a link: the sender's VM and its incarnation."""

    vm_id: str
    incarnation: str


@message("done")
@dataclass(frozen=True, slots=True)
class Done:
    """Empty positive answer."""


@message("failure")
@dataclass(frozen=True, slots=True)
class Failure:
    """A coded error, sent as an answer."""

    code: str
    reason: str
    retry_after_s: float | None = None
    outcome: str = Outcome.NOT_RUN.value

    def to_error(self) -> CodedError:
        """Return the error that this message carries."""
        error = error_from_code(self.code, self.reason, self.retry_after_s)
        error.outcome = Outcome(self.outcome)
        return error


def failure_from_error(error: CodedError) -> Failure:
    """Return the message that carries `error`."""
    return Failure(error.code, error.reason, error.retry_after_s, error.outcome.value)
