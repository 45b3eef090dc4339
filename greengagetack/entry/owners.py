"""greengagetack.entry.owners: sends a message to the owner of a key's shard."""

from typing import Any

from greengagetack.daemons.role import Services
from greengagetack.errors import CodedError, NotReady, OwnerUnavailable
from greengagetack.peers.node import DEFAULT_TIMEOUT_S

__all__ = ["ask_only_owner", "ask_owner_or_backup"]

NO_PAIR_RETRY_S = 1.0
TRY_BACKUP_CODES = ("peer_unreachable", "peer_lost", "not_ready")


async def ask_only_owner(
    services: Services, key: str, body: Any, timeout_s: float = DEFAULT_TIMEOUT_S
) -> Any:
    """Send `body` to the owner of the key's shard and return its answer.

    Raises
    ------
    OwnerUnavailable
        If no owner is known; nothing was sent.
    CodedError
        What the owner or the link to it answers.
    """
    pair = services.directory.pair(services.shards.shard_of(key))
    if pair is None:
        raise OwnerUnavailable("the key's shard has no owner yet", NO_PAIR_RETRY_S)
    return await services.peers.request(pair.owner_vm_id, body, timeout_s)


async def ask_owner_or_backup(
    services: Services, key: str, body: Any, timeout_s: float = DEFAULT_TIMEOUT_S
) -> Any:
    """Send an idempotent message to the owner, then to the backup.

    Raises
    ------
    NotReady
        If no pair is known or neither of the two acts for the shard.
    CodedError
        What the last one asked has answered.
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
