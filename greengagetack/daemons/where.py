"""greengagetack.daemons.where: answers ``GET /where`` at the operators' port."""

import re
import time
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass

from greengagetack.batches.dispatcher import Dispatcher
from greengagetack.batches.job import Job
from greengagetack.batches.where import (
    ASSUMED_EVENTS,
    explain_item,
    make_item,
    view_items,
)
from greengagetack.coordination.claim import DispatcherClaim
from greengagetack.errors import InvalidRequest, NotReady
from greengagetack.gateway.customers import CustomerDirectory
from greengagetack.gateway.forward import Forwarder
from greengagetack.gateway.routes import Route, RouteTable
from greengagetack.gateway.where import Placement, Rate, ServiceView, explain_request
from greengagetack.objects.feed import Feed
from greengagetack.replicas.ejections import Ejections
from greengagetack.replicas.fleet import Fleet
from greengagetack.replicas.permits import Permits

__all__ = ["Answer", "Question", "WhereAnswers", "make_job", "parse_question"]

MAX_VALUE_CHARS = 1_024
MAX_VERSION = 1 << 53
PARAMETERS = frozenset(
    {"host", "path", "method", "customer", "model", "min_version", "request_id"}
)
METHOD_PATTERN = re.compile(r"[A-Z]{1,16}")
RETRY_S = 1.0


@dataclass(frozen=True, slots=True)
class Question:
    """The request that is asked about; `customer` is a name, never a key."""

    host: str
    path: str
    method: str = "GET"
    customer: str = ""
    model: str = ""
    min_version: int = 0
    request_id: str = ""


@dataclass(frozen=True, slots=True)
class CopyAge:
    """A copy of stored objects; `age_s` since the store has confirmed it."""

    prefix: str
    revision: int
    age_s: float | None


@dataclass(frozen=True, slots=True)
class RouteInfo:
    """The route of a request, with the share of the requests of each service."""

    name: str
    kind: str
    is_job: bool
    is_public: bool
    services: dict[str, float]


@dataclass(frozen=True, slots=True)
class DispatcherInfo:
    """The daemon that runs the jobs; `control` is the address for other daemons."""

    node: str
    control: str
    is_this: bool


@dataclass(frozen=True, slots=True)
class Answer:
    """Where a request would go, by what one daemon knows."""

    node: str
    zone: str
    question: Question
    config_version: int
    copies: tuple[CopyAge, ...]
    dispatcher: DispatcherInfo | None
    route: RouteInfo | None
    service: str
    customer_rank: int | None
    is_path_lost: bool
    placement: Placement | None
    notes: tuple[str, ...]


def parse_question(parameters: Iterable[tuple[str, str]]) -> Question:
    """Return the question that query parameters ask.

    Raises
    ------
    InvalidRequest
        If a parameter is unknown, given twice, missing or out of range.
    """
    values: dict[str, str] = {}
    for name, value in parameters:
        if name not in PARAMETERS:
            raise InvalidRequest(f"parameter {name[:40]!r} is unknown")
        if name in values:
            raise InvalidRequest(f"parameter {name} is given twice")
        if len(value) > MAX_VALUE_CHARS:
            raise InvalidRequest(f"{name} is longer than {MAX_VALUE_CHARS} characters")
        if not value.isprintable():
            raise InvalidRequest(f"{name} has characters that cannot be printed")
        values[name] = value
    if not values.get("host"):
        raise InvalidRequest("host is missing")
    path = values.get("path", "").partition("?")[0]
    if not path.startswith("/"):
        raise InvalidRequest("path does not begin with a slash")
    method = values.get("method", "GET")
    if not METHOD_PATTERN.fullmatch(method):
        raise InvalidRequest("method is not made of 1 to 16 capital letters")
    version_text = values.get("min_version", "0")
    is_number = version_text.isascii() and version_text.isdigit()
    if not is_number or int(version_text) > MAX_VERSION:
        raise InvalidRequest(f"min_version is not a number from 0 to {MAX_VERSION}")
    model = values.get("model", "")
    if int(version_text) and not model:
        raise InvalidRequest("min_version is given without model")
    return Question(
        values["host"],
        path,
        method,
        values.get("customer", ""),
        model,
        int(version_text),
        values.get("request_id", ""),
    )


class WhereAnswers:
    """Explains by a daemon's parts where requests would go; changes none of them."""

    def __init__(
        self,
        node: str,
        route_table: Callable[[], RouteTable | None],
        fleet: Fleet,
        forwarder: Forwarder,
        ejections: Ejections,
        permits: Permits,
        dispatcher: Dispatcher,
        claim: DispatcherClaim,
        feeds: Sequence[Feed],
    ) -> None:
        self._node = node
        self._route_table = route_table
        self._fleet = fleet
        self._forwarder = forwarder
        self._ejections = ejections
        self._permits = permits
        self._dispatcher = dispatcher
        self._claim = claim
        self._feeds = feeds
        self._rate = Rate()

    def answer(self, parameters: Iterable[tuple[str, str]]) -> Answer:
        """Return the answer to the question in query parameters.

        Raises
        ------
        InvalidRequest, NotReady, Overloaded
            If the question is not valid, or cannot be answered now.
        """
        self._rate.admit(time.monotonic())
        question = parse_question(parameters)
        table = self._route_table()
        if table is None:
            raise NotReady("no configuration has been received yet", RETRY_S)
        route = table.find(question.host, question.path)
        _check(question, route, table.customers)
        notes = _notes(question, route, table.customers)
        service, placement = "", None
        if route is not None:
            service = _service_of(route, question)
            placement = self._place(route, service, question)
        is_path_lost = bool(service) and self._forwarder.paths.is_lost(service)
        if is_path_lost:
            notes.append("requests go by way of other daemons, if these reach replicas")
        customer = question.customer
        return Answer(
            self._node,
            self._forwarder.zone_reading().zone,
            question,
            table.configuration.version,
            tuple(_copy_age(feed) for feed in self._feeds),
            self._dispatcher_info(),
            None if route is None else _route_info(route),
            service,
            table.customers.rank_of(customer) if customer else None,
            is_path_lost,
            placement,
            tuple(notes),
        )

    def _dispatcher_info(self) -> DispatcherInfo | None:
        holder = self._claim.holder
        if holder is None:
            return None
        is_this = holder.node == self._node and self._dispatcher.is_active
        return DispatcherInfo(holder.node, holder.control, is_this)

    def _place(self, route: Route, service: str, question: Question) -> Placement:
        reader = self._permits.reading_copy()
        is_owner = reader.is_owner
        view = ServiceView(
            service,
            self._fleet.replicas_of_service(service),
            self._fleet.serving_replicas(service),
            self._forwarder.paths.is_lost(service),
            self._ejections.fact_age_s,
            lambda state: is_owner and not reader.has_permit(state),
            time.monotonic(),
        )
        zones = self._forwarder.zone_reading()
        if not route.kind.is_batch:
            return explain_request(view, zones)
        job = make_job(route, service, question)
        if not self._dispatcher.is_active:
            return view_items(view, job, zones.zone)
        item = make_item(self._dispatcher.tokens_per_event_of(service))
        reading = self._dispatcher.start_reading(service)
        loading_ids = self._dispatcher.loading_ids
        return explain_item(view, job, item, reading, loading_ids)


def _check(
    question: Question, route: Route | None, customers: CustomerDirectory
) -> None:
    # The value is not repeated: it may be a key that was given by mistake.
    if question.customer and not customers.has_name(question.customer):
        raise InvalidRequest("the configuration has no customer of that name")
    if route is not None and question.model and not route.kind.is_batch:
        raise InvalidRequest("model and min_version apply to routes of jobs only")


def _notes(
    question: Question, route: Route | None, customers: CustomerDirectory
) -> list[str]:
    notes: list[str] = []
    if route is None:
        return notes
    if customers and not route.is_public and not question.customer:
        notes.append("the route needs a customer's key; without one it answers 401")
    if route.kind.is_batch:
        notes.append(f"assumes an item of {ASSUMED_EVENTS} events without a prompt")
        if question.method != "POST":
            notes.append("jobs are submitted with POST; other methods answer 404")
    if len(route.services) > 1 and not question.request_id:
        notes.append(
            "the identifier of a request decides on its service; without one, the "
            "service with the largest weight is shown"
        )
    return notes


def _service_of(route: Route, question: Question) -> str:
    if question.request_id:
        return route.service_for(question.request_id)
    return max(route.services, key=lambda entry: entry[1])[0]


def make_job(route: Route, service: str, question: Question) -> Job:
    """Return a job of a route to which the assumed item belongs."""
    return Job(
        "",
        route.name,
        question.host,
        service,
        0,
        route.due_after_ms,
        route.give_up_after_s,
        route.max_attempts,
        1,
        1,
        model=question.model,
        min_version=question.min_version,
        single_version=route.single_version,
        customer=question.customer,
    )


def _route_info(route: Route) -> RouteInfo:
    total = sum(weight for _, weight in route.services) or 1.0
    services = {name: round(weight / total, 3) for name, weight in route.services}
    return RouteInfo(
        route.name, route.kind.value, route.kind.is_batch, route.is_public, services
    )


def _copy_age(feed: Feed) -> CopyAge:
    age_s = feed.age_s
    is_known = age_s < float("inf")
    return CopyAge(feed.prefix, feed.revision, round(age_s, 3) if is_known else None)
