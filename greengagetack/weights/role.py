"""greengagetack.weights.role: the role of the lead that rolls out weight versions."""

from loguru import logger

from greengagetack.daemons.role import Role, Services, role
from greengagetack.errors import (
    CodedError,
    Conflict,
    InvalidRequest,
    NotFound,
    NotReady,
)
from greengagetack.weights.messages import (
    AnnounceVersion,
    GetRollout,
    RolloutStatus,
)
from greengagetack.weights.record import RolloutRecord, RolloutRecords
from greengagetack.weights.rollout import ModelRollout

__all__ = ["WeightsRole"]

ADVANCE_INTERVAL_S = 0.1
STORE_INTERVAL_S = 1.0
NOT_LEAD_RETRY_S = 0.5


@role
class WeightsRole(Role):
    """Rolls out announced versions while this VM is the cell's lead.

    A lead that is not certain to hold its lease sends no orders. Keepers check their
    own right to send an order as well, so two concurrent leads cause no harm.
    """

    name = "weights"
    started_by = "lead"

    def __init__(self, services: Services) -> None:
        super().__init__(services)
        self._records = RolloutRecords(services.platform)
        self._rollouts: dict[str, ModelRollout] = {}
        self._has_loaded_records = False

    async def start(self) -> None:
        """Handle announcements, and advance rollouts while this VM is the lead."""
        peers = self.services.peers
        peers.handle(AnnounceVersion, self._handle_announcement)
        peers.handle(GetRollout, self._handle_get_rollout)
        timer = self.services.timer
        timer.subscribe(ADVANCE_INTERVAL_S, self._advance_rollouts, "weights")
        timer.subscribe(STORE_INTERVAL_S, self._store_records, "weights store")

    async def _require_lead(self) -> None:
        if not self.services.directory.is_lead():
            raise NotReady("this VM is not the lead", NOT_LEAD_RETRY_S)
        if not self._has_loaded_records:
            await self._load_records()

    async def _load_records(self) -> None:
        await self._records.load()
        self._has_loaded_records = True
        for model in self._records.models():
            self._track_rollout(model)

    def _track_rollout(self, model: str) -> None:
        record = self._records.newest(model)
        assert record is not None
        rollout = self._rollouts.get(model)
        if rollout is None:
            self._rollouts[model] = ModelRollout(record, self.services)
        elif rollout.record.version < record.version:
            rollout.retarget(record)

    async def _handle_announcement(
        self, sender_vm_id: str, request: AnnounceVersion
    ) -> RolloutStatus:
        await self._require_lead()
        if request.version < 1:
            raise InvalidRequest("version must be 1 or more")
        known = self._records.newest(request.model)
        if known is not None and known.version > request.version:
            raise Conflict(
                f"newer version {known.version} of {request.model} is already announced"
            )
        if known is None or known.version < request.version:
            self._record_announcement(request)
            await self._records.store_all()
        self._rollouts[request.model].advance()
        return self._rollout_status(request.model)

    def _record_announcement(self, request: AnnounceVersion) -> None:
        record = RolloutRecord(
            request.model,
            request.version,
            request.announced_by,
            self.services.timer.wall_s(),
        )
        self._records.announce(record)
        self._track_rollout(request.model)
        logger.info("weights: {} version {} announced", record.model, record.version)

    def _rollout_status(self, model: str) -> RolloutStatus:
        return self._rollouts[model].status(self._records.is_stored(model))

    async def _handle_get_rollout(
        self, sender_vm_id: str, request: GetRollout
    ) -> RolloutStatus:
        await self._require_lead()
        if request.model not in self._rollouts:
            raise NotFound(f"no version of model {request.model!r} has been announced")
        return self._rollout_status(request.model)

    async def _advance_rollouts(self) -> None:
        if not self.services.directory.is_lead():
            self._stop_leading()
            return
        for rollout in self._rollouts.values():
            rollout.advance()

    def _stop_leading(self) -> None:
        for rollout in self._rollouts.values():
            rollout.close()
        self._rollouts.clear()
        self._has_loaded_records = False

    async def _store_records(self) -> None:
        if not self.services.directory.is_lead():
            return
        try:
            if not self._has_loaded_records:
                await self._load_records()
            await self._records.store_all()
        except CodedError as error:
            logger.debug("weights: platform does not answer: {}", error.reason)

    async def close(self) -> None:
        """Stop all rollouts."""
        self._stop_leading()
