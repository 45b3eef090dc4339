"""greengagetack.rollouts.scoring: scores finished groups with a scorer service."""

import json
from dataclasses import dataclass

import msgspec

from greengagetack.daemons.role import Services
from greengagetack.errors import EndpointFailed
from greengagetack.keeper.messages import CallService, Header, ServiceAnswer
from greengagetack.rollouts.spec import FinishedSample, StepSpec, step_key

__all__ = ["ScorerClient"]

SCORE_TIMEOUT_S = 20.0
FAILURE_RETRY_S = 1.0
OK_STATUS = 200


@dataclass(frozen=True, slots=True)
class _Score:
    sample_id: str
    score: float


@dataclass(frozen=True, slots=True)
class _Scores:
    scores: tuple[_Score, ...]


class ScorerClient:
    """Calls the scorer service of a step; scoring is idempotent."""

    def __init__(self, services: Services) -> None:
        self._services = services

    async def score(
        self, spec: StepSpec, samples: tuple[FinishedSample, ...]
    ) -> dict[int, float]:
        """Return the scores by sample index, empty for a step without a scorer.

        Raises
        ------
        CodedError
            If the scorer cannot be reached or its answer is invalid.
        """
        if not spec.scorer or not samples:
            return {}
        relay = self._services.routing.service_relay
        answer = await relay.call(self._request(spec, samples), idempotent=True)
        return _read_scores(answer, samples)

    def _request(
        self, spec: StepSpec, samples: tuple[FinishedSample, ...]
    ) -> CallService:
        group_id = samples[0].group_id
        prompts = {group.group_id: group.prompt for group in spec.groups}
        body = {
            "samples": [
                {
                    "sample_id": str(sample.index),
                    "prompt": prompts[group_id],
                    "text": sample.text,
                }
                for sample in samples
            ]
        }
        step = step_key(spec.team, spec.job, spec.step)
        return CallService(
            request_id=f"{step}/{group_id}/score",
            team=spec.team,
            endpoint_id="",
            service=spec.scorer,
            method="POST",
            path="/score",
            headers=(Header("Content-Type", "application/json"),),
            body=json.dumps(body).encode(),
            time_left_s=SCORE_TIMEOUT_S,
        )


def _read_scores(
    answer: ServiceAnswer, samples: tuple[FinishedSample, ...]
) -> dict[int, float]:
    if answer.status != OK_STATUS:
        raise EndpointFailed(
            f"the scorer answered with status {answer.status}", FAILURE_RETRY_S
        )
    try:
        decoded = msgspec.json.decode(answer.body, type=_Scores)
        scores = {int(entry.sample_id): entry.score for entry in decoded.scores}
    except (msgspec.DecodeError, ValueError, RecursionError) as error:
        raise EndpointFailed(
            f"invalid answer from the scorer: {error}", FAILURE_RETRY_S
        ) from error
    if set(scores) != {sample.index for sample in samples}:
        raise EndpointFailed(
            "the scorer's answer does not match the samples sent", FAILURE_RETRY_S
        )
    return scores
