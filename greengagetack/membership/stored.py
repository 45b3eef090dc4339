"""greengagetack.membership.stored: a cell's objects in the platform's store."""

from dataclasses import dataclass
from typing import Any, TypeVar

import msgspec

from greengagetack.membership.table import ShardPair
from greengagetack.world import Address

__all__ = [
    "LeadObject",
    "PairsObject",
    "from_value",
    "lead_path",
    "pairs_path",
    "table_path",
    "to_value",
]

T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class LeadObject:
    """The lead of a cell; an empty `holder_vm_id` means that there is none.

    `epoch` grows with each change of the holder, never with a renewal.
    """

    holder_vm_id: str
    incarnation: str
    peer: Address
    epoch: int


@dataclass(frozen=True, slots=True)
class PairsObject:
    """The pairs of all shards of a cell, by shard number."""

    pairs: tuple[ShardPair, ...] = ()


def lead_path(cell: str) -> str:
    """Return the path of the cell's lead object."""
    return f"cells/{cell}/lead"


def table_path(cell: str) -> str:
    """Return the path of the cell's assignment table."""
    return f"cells/{cell}/table"


def pairs_path(cell: str) -> str:
    """Return the path of the cell's shard pairs."""
    return f"cells/{cell}/shards"


def to_value(stored: Any) -> Any:
    """Return the JSON value of a stored data class."""
    return msgspec.to_builtins(stored)


def from_value(stored_type: type[T], value: Any) -> T:
    """Return the data class that a JSON value holds.

    Raises
    ------
    msgspec.ValidationError
        If the value doesn't match the type.
    """
    return msgspec.convert(value, stored_type)
