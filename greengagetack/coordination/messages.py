"""greengagetack.coordination.messages: messages between daemons over HTTP."""

from dataclasses import dataclass

import msgspec

from greengagetack.batches.job import Segment
from greengagetack.batches.progress import ProgressSnapshot
from greengagetack.gateway.crash_reports import CrashReport
from greengagetack.gateway.stream_origins import StreamOrigin

__all__ = [
    "CrashReports",
    "HandOver",
    "JobHint",
    "Member",
    "Pong",
    "RecordedOrigins",
    "RelayCall",
    "Segments",
    "StreamOriginAnswer",
    "decode",
    "encode",
]


@dataclass(frozen=True, slots=True)
class Member:
    """A daemon as it lists itself in the store.

    `control` is HOST:PORT of its control server. In a claim, `former` is the control
    address of the daemon that held it before and may still have the progress of its
    runs. `cores` is the speed of the processor in cores of the platform.
    """

    node: str
    incarnation: str
    control: str
    availability_zone: str
    former: str = ""
    cores: float = 0.0


@dataclass(frozen=True, slots=True)
class Pong:
    """Answer to a ping; `lease_version` is that of the held order lease, else 0.

    `facts` is an encoded update of what the sender of the ping does not know yet, None
    for nothing. In deployments that measure time across VMs, `clock_s` is the steady
    clock of the dispatcher and `fleet_time_s` its estimate of true Unix time, else 0.
    """

    node: str
    incarnation: str
    is_dispatcher: bool
    lease_version: int = 0
    facts: bytes | None = None
    clock_s: float = 0.0
    fleet_time_s: float = 0.0


class Segments(msgspec.Struct, frozen=True):
    """Committed segments of a job."""

    segments: list[Segment]


@dataclass(frozen=True, slots=True)
class HandOver:
    """Progress of unfinished items, fetched by the next dispatcher."""

    snapshots: list[ProgressSnapshot]


@dataclass(frozen=True, slots=True)
class JobHint:
    """Notifies the dispatcher of a job that was just accepted or ended."""

    job_id: str
    is_ended: bool


@dataclass(frozen=True, slots=True)
class RelayCall:
    """A call to the store on behalf of a daemon that cannot reach it."""

    method: str
    target: str
    body: bytes
    wait_s: float


@dataclass(frozen=True, slots=True)
class RecordedOrigins:
    """Streams that the receiver is to remember."""

    origins: tuple[StreamOrigin, ...]


@dataclass(frozen=True, slots=True)
class CrashReports:
    """Requests that broke off at replicas that ended, or that were answered."""

    reports: tuple[CrashReport, ...]


@dataclass(frozen=True, slots=True)
class StreamOriginAnswer:
    """The software that began a stream, None if it is not known."""

    software: str | None


encode = msgspec.msgpack.encode
decode = msgspec.msgpack.decode
