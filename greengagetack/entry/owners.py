"""greengagetack.entry.owners: sends messages to the owner of a key's shard."""

from typing import Any

from greengagetack.daemons.role import Services
from greengagetack.errors import CodedError, NotReady, OwnerUnavailable
from greengagetack.peers.node import DEFAULT_TIMEOUT_S

__all__ = ["send_to_owner", "send_to_owner_or_backup"]

NO_PAIR_RETRY_S = 1.0
TRY_BACKUP_CODES = ("peer_unreachable", "peer_lost", "not_ready")


async def send_to_owner(
    services: Services, key: str, body: Any, timeout_s: float = DEFAULT_TIMEOUT_S
) -> Any:
    """Send `body` to the owner of the key's shard and return its answer.

    Raises
    ------
    OwnerUnavailable
        If the shard has no known owner; nothing was sent.
    CodedError
        If the owner answers with an error or the connection to it fails.
    """
    pair = services.directory.pair(services.shards.shard_of(key))
    if pair is None:
        raise OwnerUnavailable("the key's shard has no owner yet", NO_PAIR_RETRY_S)
    return await services.peers.request(pair.owner_vm_id, body, timeout_s)


async def send_to_owner_or_backup(
    services: Services, key: str, body: Any, timeout_s: float = DEFAULT_TIMEOUT_S
) -> Any:
    """Send an idempotent message to the owner, and on failure to the backup.

    Raises
    ------
    NotReady
        If no pair is known, or neither the owner nor the backup serves the shard.
    CodedError
        If a VM answers with an error that does not allow trying the next one.
    """
    pair = services.directory.pair(services.shards.shard_of(key))
    if pair is None:
        raise NotReady("the job's shard has no owner yet", NO_PAIR_RETRY_S)
    last_error: CodedError | None = None
    for vm_id in (pair.owner_vm_id, pair.backup_vm_id):
        if not vm_id:
            continue
        try:
            return await services.peers.request(vm_id, body, timeout_s)
        except CodedError as error:
            if error.code not in TRY_BACKUP_CODES:
                raise
            last_error = error
    reason = last_error.reason if last_error is not None else "no owner"
    raise NotReady(f"the job's owner is being replaced: {reason}", NO_PAIR_RETRY_S)
