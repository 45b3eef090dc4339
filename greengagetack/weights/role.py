"""greengagetack.weights.role: the lead's duty to roll weight versions out."""

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
    """Rolls announced versions out while this VM is the cell's lead.

    A lead that is not sure of its lease gives no orders. Keepers check their
    own right to give one as well, so that two leads do no harm.
    """

    name = "weights"
    started_by = "lead"

    def __init__(self, services: Services) -> None:
        super().__init__(services)
        self._records = RolloutRecords(services.platform)
        self._rollouts: dict[str, ModelRollout] = {}
        self._loaded = False

    async def start(self) -> None:
        """Serve announcements, and advance rollouts while leading."""
        peers = self.services.peers
        peers.handle(AnnounceVersion, self._announce)
        peers.handle(GetRollout, self._status)
        timer = self.services.timer
        timer.subscribe(ADVANCE_INTERVAL_S, self._advance, "weights")
        timer.subscribe(STORE_INTERVAL_S, self._store, "weights store")

    async def _require_lead(self) -> None:
        if not self.services.directory.is_lead():
            raise NotReady("this VM is not the lead", NOT_LEAD_RETRY_S)
        if not self._loaded:
            await self._load()

    async def _load(self) -> None:
        await self._records.load()
        self._loaded = True
        for model in self._records.models():
            self._follow(model)

    def _follow(self, model: str) -> None:
        record = self._records.newest(model)
        assert record is not None
        rollout = self._rollouts.get(model)
        if rollout is None:
            self._rollouts[model] = ModelRollout(record, self.services)
        elif rollout.record.version < record.version:
            rollout.retarget(record)

    async def _announce(
        self, sender_vm_id: str, request: AnnounceVersion
    ) -> RolloutStatus:
        await self._require_lead()
        if request.version < 1:
            raise InvalidRequest("version must be 1 or more")
        known = self._records.newest(request.model)
        if known is not None and known.version > request.version:
            raise Conflict(
                f"version {known.version} of {request.model} was announced before"
            )
        if known is None or known.version < request.version:
            self._take(request)
            await self._records.store_all()
        self._rollouts[request.model].advance()
        return self._describe(request.model)

    def _take(self, request: AnnounceVersion) -> None:
        record = RolloutRecord(
            request.model,
            request.version,
            request.announced_by,
            self.services.timer.wall_s(),
        )
        self._records.announce(record)
        self._follow(request.model)
        logger.info("weights: {} version {} announced", record.model, record.version)

    def _describe(self, model: str) -> RolloutStatus:
        return self._rollouts[model].status(self._records.is_stored(model))

    async def _status(self, sender_vm_id: str, request: GetRollout) -> RolloutStatus:
        await self._require_lead()
        if request.model not in self._rollouts:
            raise NotFound(f"no version of {request.model!r} was announced")
        return self._describe(request.model)

    async def _advance(self) -> None:
        if not self.services.directory.is_lead():
            self._stop_leading()
            return
        for rollout in self._rollouts.values():
            rollout.advance()

    def _stop_leading(self) -> None:
        for rollout in self._rollouts.values():
            rollout.close()
        self._rollouts.clear()
        self._loaded = False

    async def _store(self) -> None:
        if not self.services.directory.is_lead():
            return
        try:
            if not self._loaded:
                await self._load()
            await self._records.store_all()
        except CodedError as error:
            logger.debug("weights: platform does not answer: {}", error.reason)

    async def close(self) -> None:
        """Stop all rollouts."""
        self._stop_leading()
