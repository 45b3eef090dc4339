"""greengagetack.entry.jobs: rollout job routes for trainers and operators."""

import asyncio
from dataclasses import dataclass

import msgspec
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import BaseRoute

from greengagetack.daemons.auth import Principal
from greengagetack.daemons.limits import read_json
from greengagetack.daemons.role import Services, http_routes
from greengagetack.entry.completions import check_model
from greengagetack.entry.http import authenticated_route, team_of
from greengagetack.entry.owners import send_to_owner_or_backup
from greengagetack.errors import InvalidRequest, NotFound
from greengagetack.rollouts.delivery import MAX_WAIT_S
from greengagetack.rollouts.groupset import GroupRange, expand_ranges
from greengagetack.rollouts.messages import (
    CancelStep,
    CreateStep,
    FetchGroups,
    JobList,
    ListJobs,
    StepProgress,
)
from greengagetack.rollouts.spec import GroupSpec, StepSpec, check_step

__all__ = ["FetchBody", "StepBody"]

MAX_GROUPS_PER_FETCH = 4_096
LIST_TIMEOUT_S = 2.0
MAX_STEP_BODY_BYTES = 7_000_000
FETCH_TIMEOUT_MARGIN_S = 5.0


@dataclass(frozen=True, slots=True)
class StepBody:
    """Body of a request that creates a step; see `StepSpec` for the fields."""

    model: str
    trainer_version: int
    groups: tuple[GroupSpec, ...]
    samples_per_group: int
    max_tokens: int
    max_staleness_versions: int | None = None
    seed: int = 0
    deadline_s: float = 240.0
    scorer: str = ""
    receipts: bool = True


@dataclass(frozen=True, slots=True)
class FetchBody:
    """Body of a fetch request; see `FetchGroups` for the fields."""

    trainer_version: int
    held: tuple[GroupRange, ...] = ()
    max_groups: int = 64
    wait_s: float = 10.0
    batch: int = -1


def _step_number(request: Request) -> int:
    text = request.path_params["step"]
    if not text.isdecimal() or len(text) > 12:
        raise InvalidRequest("the step in the path must be a number")
    return int(text)


class _Jobs:
    """Handles trainers' requests by forwarding them to the owner of the job."""

    def __init__(self, services: Services) -> None:
        self._services = services

    async def create_step(self, request: Request, principal: Principal) -> Response:
        """Serve ``POST /v1/jobs/{job}/steps/{step}``."""
        team = team_of(request, principal)
        body = await read_json(request, StepBody, MAX_STEP_BODY_BYTES)
        check_model(self._services, team, body.model)
        spec = StepSpec(
            team=team,
            job=request.path_params["job"],
            step=_step_number(request),
            model=body.model,
            trainer_version=body.trainer_version,
            max_staleness_versions=self._staleness_bound(team, body),
            groups=body.groups,
            samples_per_group=body.samples_per_group,
            max_tokens=body.max_tokens,
            seed=body.seed,
            deadline_s=body.deadline_s,
            scorer=body.scorer,
            receipts=body.receipts,
        )
        check_step(spec)
        self._check_scorer(spec)
        await send_to_owner_or_backup(
            self._services, f"{team}/{spec.job}", CreateStep(spec)
        )
        return JSONResponse({"job": spec.job, "step": spec.step}, status_code=201)

    def _staleness_bound(self, team: str, body: StepBody) -> int:
        """Return the bound of the request, or the team's policy as the default."""
        team_settings = self._services.settings.team(team)
        policies = team_settings.policies if team_settings is not None else ()
        policy_bound = 1
        for policy in policies:
            if policy.model == body.model:
                policy_bound = policy.max_staleness_versions
        if body.max_staleness_versions is None:
            return policy_bound
        return body.max_staleness_versions

    def _check_scorer(self, spec: StepSpec) -> None:
        services = self._services.settings.fleet().services
        known = {service.name for service in services}
        if spec.scorer and spec.scorer not in known:
            raise NotFound(f"/scorer: service {spec.scorer!r} does not exist")

    async def fetch_groups(self, request: Request, principal: Principal) -> Response:
        """Serve ``POST /v1/jobs/{job}/steps/{step}/fetch``."""
        team = team_of(request, principal)
        body = await read_json(request, FetchBody)
        expand_ranges(body.held)
        if not 0 < body.max_groups <= MAX_GROUPS_PER_FETCH:
            raise InvalidRequest(f"/max_groups: 1 to {MAX_GROUPS_PER_FETCH}")
        if not 0 <= body.wait_s <= MAX_WAIT_S:
            raise InvalidRequest(f"/wait_s: 0 to {MAX_WAIT_S:g}")
        if body.trainer_version < 0:
            raise InvalidRequest("/trainer_version: must not be negative")
        job = request.path_params["job"]
        message = FetchGroups(
            team,
            job,
            _step_number(request),
            body.trainer_version,
            body.held,
            body.max_groups,
            body.wait_s,
            body.batch,
        )
        timeout_s = body.wait_s + FETCH_TIMEOUT_MARGIN_S
        answer = await send_to_owner_or_backup(
            self._services, f"{team}/{job}", message, timeout_s
        )
        return JSONResponse(msgspec.to_builtins(answer))

    async def cancel_step(self, request: Request, principal: Principal) -> Response:
        """Serve ``DELETE /v1/jobs/{job}/steps/{step}``."""
        team = team_of(request, principal)
        job = request.path_params["job"]
        message = CancelStep(team, job, _step_number(request))
        await send_to_owner_or_backup(self._services, f"{team}/{job}", message)
        return JSONResponse({"job": job, "step": message.step, "state": "cancelled"})

    async def list_steps(self, request: Request, principal: Principal) -> Response:
        """Serve ``GET /v1/jobs`` and ``GET /v1/jobs/{job}``."""
        team = "" if principal.is_operator else principal.team
        steps = await self._collect_progress(team)
        job = request.path_params.get("job", "")
        if job:
            steps = [step for step in steps if step.job == job]
        if job and not steps:
            raise NotFound(f"job {job!r} does not exist")
        return JSONResponse({"steps": msgspec.to_builtins(steps)})

    async def _collect_progress(self, team: str) -> list[StepProgress]:
        peers = self._services.peers
        requests = [
            peers.request(vm.vm_id, ListJobs(team), LIST_TIMEOUT_S)
            for vm in self._services.directory.live_members()
        ]
        answers = await asyncio.gather(*requests, return_exceptions=True)
        steps = [
            step
            for answer in answers
            if isinstance(answer, JobList)
            for step in answer.steps
        ]
        return sorted(steps, key=lambda step: (step.team, step.job, step.step))


@http_routes
def job_routes(services: Services) -> list[BaseRoute]:
    """Return the rollout job routes."""
    jobs = _Jobs(services)
    step_path = "/v1/jobs/{job}/steps/{step}"
    return [
        authenticated_route(services, step_path, jobs.create_step, "POST"),
        authenticated_route(services, step_path + "/fetch", jobs.fetch_groups, "POST"),
        authenticated_route(services, step_path, jobs.cancel_step, "DELETE"),
        authenticated_route(services, "/v1/jobs", jobs.list_steps, "GET"),
        authenticated_route(services, "/v1/jobs/{job}", jobs.list_steps, "GET"),
    ]
