"""greengagetack.limits.usage: the HTTP route that shows the teams' budgets."""

import asyncio
from dataclasses import dataclass

from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import BaseRoute

from greengagetack.daemons.auth import Principal
from greengagetack.daemons.responses import json_response
from greengagetack.daemons.role import Services, http_routes
from greengagetack.entry.http import authenticated_route
from greengagetack.entry.owners import send_to_owner
from greengagetack.errors import CodedError
from greengagetack.limits.messages import GetUsage, TeamUsage

__all__ = ["UnknownUsage", "UsageAnswer", "collect_usage"]

OWNER_TIMEOUT_S = 2.0


@dataclass(frozen=True, slots=True)
class UnknownUsage:
    """A team whose budget is unavailable, with the reason."""

    team: str
    code: str
    reason: str


@dataclass(frozen=True, slots=True)
class UsageAnswer:
    """Body of ``GET /v1/teams/usage``."""

    teams: tuple[TeamUsage, ...]
    unknown: tuple[UnknownUsage, ...]


async def collect_usage(services: Services, teams: tuple[str, ...]) -> UsageAnswer:
    """Fetch the usage of each team from the owner of its budget."""
    answers = await asyncio.gather(*(_fetch_usage(services, team) for team in teams))
    known = [answer for answer in answers if isinstance(answer, TeamUsage)]
    unknown = [answer for answer in answers if isinstance(answer, UnknownUsage)]
    return UsageAnswer(tuple(known), tuple(unknown))


async def _fetch_usage(services: Services, team: str) -> TeamUsage | UnknownUsage:
    try:
        answer = await send_to_owner(services, team, GetUsage(team), OWNER_TIMEOUT_S)
    except CodedError as error:
        return UnknownUsage(team, error.code, error.reason)
    if isinstance(answer, TeamUsage):
        return answer
    return UnknownUsage(team, "not_found", "the owner returned no usage")


@http_routes
def usage_routes(services: Services) -> list[BaseRoute]:
    """Return the route: a team sees its own budget, an operator all budgets."""

    async def usage(request: Request, principal: Principal) -> Response:
        if principal.is_operator:
            teams = tuple(sorted(item.team for item in services.settings.teams()))
        else:
            teams = (principal.team,)
        return json_response(await collect_usage(services, teams))

    return [authenticated_route(services, "/v1/teams/usage", usage, "GET")]
