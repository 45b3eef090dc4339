"""bench.soak_trainer: trainers of the soak."""

import itertools

from bench.audit_log import DeliveredSample
from bench.deployment import MODEL, SCORER
from bench.soak_fleet import TEAM, Fleet
from greengagetack.errors import CodedError
from greengagetack.rollouts.client import RolloutClient, StepRequest
from greengagetack.rollouts.messages import FetchedGroups

__all__ = ["TrainerLoad"]

GROUPS = 6
SAMPLES_PER_GROUP = 4
STALENESS_BOUND = 1
MAX_TOKENS = 64
FETCH_WAIT_S = 2.0
STEP_DEADLINE_S = 200.0
SEED_FACTOR = 1_000_003
SEED_PER_GROUP = 1_000


class TrainerLoad:
    """Creates one step after another and logs every delivered sample."""

    def __init__(self, fleet: Fleet, job: str) -> None:
        self._fleet = fleet
        self._job = job
        self.steps = 0

    async def run(self) -> None:
        """Run steps until the soak ends; the last step is completed."""
        for number in itertools.count(1):
            if self._fleet.stopping.is_set():
                return
            await self._train_step(number)
            self.steps += 1

    async def _train_step(self, number: int) -> None:
        fleet = self._fleet
        token = fleet.deployment.teams[TEAM].token
        client = RolloutClient(fleet.deployment.entries(), token, number)
        step = StepRequest(self._job, number, self._step_body(number))
        prefix = f"{TEAM}/{self._job}/{number}"
        fleet.log.requested.extend(
            f"{prefix}/{group}/{index}"
            for group in range(GROUPS)
            for index in range(SAMPLES_PER_GROUP)
        )
        received_ids: set[int] = set()
        created = False
        try:
            while len(received_ids) < GROUPS:
                try:
                    if not created:
                        await client.create_step(step)
                        created = True
                    await self._fetch(client, step, number, received_ids)
                except CodedError as error:
                    if error.code != "not_found":
                        raise
                    created = False
        finally:
            await client.close()

    async def _fetch(
        self,
        client: RolloutClient,
        step: StepRequest,
        number: int,
        received_ids: set[int],
    ) -> None:
        version = self._fleet.weight_version
        answer = await client.fetch_once(step, version, received_ids, FETCH_WAIT_S)
        self._record_samples(answer, version, number)
        received_ids.update(group.group_id for group in answer.groups)

    def _record_samples(self, answer: FetchedGroups, version: int, number: int) -> None:
        for group in answer.groups:
            for sample in group.samples:
                group_id, index = sample.group_id, sample.index
                seed = number * SEED_FACTOR + group_id * SEED_PER_GROUP + index
                self._fleet.log.delivered.append(
                    DeliveredSample(
                        f"{TEAM}/{self._job}/{number}/{group_id}/{index}",
                        self._prompt(number, group_id),
                        seed,
                        MAX_TOKENS,
                        sample.text,
                        tuple(part.version for part in sample.versions),
                        version,
                        STALENESS_BOUND,
                        sample.endpoint_id,
                    )
                )

    def _prompt(self, number: int, group_id: int) -> str:
        return f"Summarise fault {group_id} of round {number} for {self._job}."

    def _step_body(self, number: int) -> dict[str, object]:
        groups = [
            {"group_id": group_id, "prompt": self._prompt(number, group_id)}
            for group_id in range(GROUPS)
        ]
        return {
            "model": MODEL,
            "trainer_version": self._fleet.weight_version,
            "max_staleness_versions": STALENESS_BOUND,
            "groups": groups,
            "samples_per_group": SAMPLES_PER_GROUP,
            "max_tokens": MAX_TOKENS,
            "seed": number,
            "deadline_s": STEP_DEADLINE_S,
            "scorer": SCORER,
        }
