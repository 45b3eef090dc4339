"""greengagetack.observability.traces: trace spans, kept in a bounded store."""

import logging
from collections import OrderedDict
from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from dataclasses import dataclass

from opentelemetry import context as otel_context
from opentelemetry import trace
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import ReadableSpan, TracerProvider
from opentelemetry.sdk.trace.export import (
    SimpleSpanProcessor,
    SpanExporter,
    SpanExportResult,
)
from opentelemetry.trace.propagation.tracecontext import (
    TraceContextTextMapPropagator,
)

from greengagetack.observability.logs import REQUEST_ID

__all__ = [
    "SpanRecord",
    "SpanStore",
    "configure_traces",
    "current_trace_id",
    "current_traceparent",
    "detached_span",
    "span",
    "use_span",
    "use_traceparent",
]

MAX_TRACED_REQUESTS = 2_000
MAX_SPANS_PER_REQUEST = 200
NANOSECONDS_PER_SECOND = 1e9

_PROPAGATOR = TraceContextTextMapPropagator()


@dataclass(frozen=True, slots=True)
class SpanRecord:
    """One finished span, as shown by ``greengagetack trace``."""

    trace_id: str
    span_id: str
    parent_id: str
    name: str
    vm_id: str
    started_s: float
    duration_s: float
    attributes: tuple[tuple[str, str], ...]
    failed: bool


class SpanStore(SpanExporter):
    """Stores the spans of the latest requests of this process in bounded memory."""

    def __init__(self, vm_id: str) -> None:
        self._vm_id = vm_id
        self._requests: OrderedDict[str, list[SpanRecord]] = OrderedDict()

    def export(self, spans: Sequence[ReadableSpan]) -> SpanExportResult:
        """Store finished spans of the tracer."""
        for finished in spans:
            self._store(self._to_record(finished))
        return SpanExportResult.SUCCESS

    def _store(self, record: SpanRecord) -> None:
        request_id = dict(record.attributes).get("request_id", "")
        records = self._requests.setdefault(request_id, [])
        if len(records) < MAX_SPANS_PER_REQUEST:
            records.append(record)
        while len(self._requests) > MAX_TRACED_REQUESTS:
            self._requests.popitem(last=False)

    def _to_record(self, finished: ReadableSpan) -> SpanRecord:
        context = finished.context
        parent = finished.parent
        started_ns = finished.start_time or 0
        ended_ns = finished.end_time or started_ns
        attributes = finished.attributes or {}
        return SpanRecord(
            trace_id=f"{context.trace_id:032x}" if context else "",
            span_id=f"{context.span_id:016x}" if context else "",
            parent_id=f"{parent.span_id:016x}" if parent else "",
            name=finished.name,
            vm_id=self._vm_id,
            started_s=started_ns / NANOSECONDS_PER_SECOND,
            duration_s=(ended_ns - started_ns) / NANOSECONDS_PER_SECOND,
            attributes=tuple((key, str(value)) for key, value in attributes.items()),
            failed=not finished.status.is_ok
            and finished.status.status_code is trace.StatusCode.ERROR,
        )

    def spans(self, request_id: str) -> tuple[SpanRecord, ...]:
        """Return the finished spans of a request, empty if there are none."""
        return tuple(self._requests.get(request_id, ()))


def configure_traces(vm_id: str) -> SpanStore:
    """Set up tracing for this process and return its span store."""
    # A generator that is closed late ends its span in another context. There is
    # no context to restore then, but the library logs this as an error.
    logging.getLogger("opentelemetry.context").setLevel(logging.CRITICAL)
    store = SpanStore(vm_id)
    provider = TracerProvider(resource=Resource({"service.instance.id": vm_id}))
    provider.add_span_processor(SimpleSpanProcessor(store))
    trace.set_tracer_provider(provider)
    return store


@contextmanager
def span(name: str, **attributes: str) -> Iterator[trace.Span]:
    """Run a block in a new span of the current trace and request."""
    tracer = trace.get_tracer("greengagetack")
    attributes.setdefault("request_id", REQUEST_ID.get())
    with tracer.start_as_current_span(name, attributes=attributes) as current:
        yield current


@contextmanager
def detached_span(name: str, **attributes: str) -> Iterator[trace.Span]:
    """Run a block in a new span without making it the current span.

    For generators, which may be closed in a different context than they started.
    """
    attributes.setdefault("request_id", REQUEST_ID.get())
    current = trace.get_tracer("greengagetack").start_span(name, attributes=attributes)
    try:
        yield current
    except Exception as error:
        current.set_status(trace.StatusCode.ERROR, str(error))
        raise
    finally:
        current.end()


@contextmanager
def use_span(parent: trace.Span) -> Iterator[None]:
    """Run a block with `parent` as the current span."""
    with trace.use_span(parent):
        yield


def current_traceparent() -> str:
    """Return the W3C ``traceparent`` of the current span, or an empty string."""
    carrier: dict[str, str] = {}
    _PROPAGATOR.inject(carrier)
    return carrier.get("traceparent", "")


def current_trace_id() -> str:
    """Return the trace identifier of the current span in hexadecimal."""
    context = trace.get_current_span().get_span_context()
    return f"{context.trace_id:032x}" if context.is_valid else ""


@contextmanager
def use_traceparent(traceparent: str) -> Iterator[None]:
    """Run a block as a child of the remote span that `traceparent` names."""
    remote = _PROPAGATOR.extract({"traceparent": traceparent} if traceparent else {})
    token = otel_context.attach(remote)
    try:
        yield
    finally:
        otel_context.detach(token)
