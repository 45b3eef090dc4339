"""greengagetack.membership.leaving: merges reports that endpoints are leaving."""

from greengagetack.membership.messages import LeavingSign

__all__ = ["LeavingSigns"]


class LeavingSigns:
    """The newest leaving sign of each endpoint, merged from all sources.

    Signs may arrive in any order and more than once; merging them gives the same
    result on every member. Of two signs with the same sequence, the one with
    `leaving` set wins.
    """

    def __init__(self) -> None:
        self._signs: dict[str, LeavingSign] = {}

    def is_leaving(self, endpoint_id: str) -> bool:
        """Whether the newest sign marks the endpoint as leaving."""
        sign = self._signs.get(endpoint_id)
        return sign is not None and sign.leaving

    def leaving_ids(self) -> tuple[str, ...]:
        """Return the identifiers of the leaving endpoints, sorted."""
        leaving = [sign.endpoint_id for sign in self._signs.values() if sign.leaving]
        return tuple(sorted(leaving))

    def all(self) -> tuple[LeavingSign, ...]:
        """Return the newest sign of each endpoint."""
        return tuple(self._signs.values())

    def set_leaving(self, endpoint_id: str, leaving: bool) -> LeavingSign | None:
        """Create a sign on this VM and return it, None if the state is unchanged."""
        if self.is_leaving(endpoint_id) == leaving:
            return None
        known = self._signs.get(endpoint_id)
        sequence = known.sequence + 1 if known else 1
        sign = LeavingSign(endpoint_id, sequence, leaving)
        self._signs[endpoint_id] = sign
        return sign

    def merge(self, signs: tuple[LeavingSign, ...]) -> bool:
        """Merge signs from other sources and return whether any was newer."""
        changed = False
        for sign in signs:
            known = self._signs.get(sign.endpoint_id)
            if known and _precedence(known) >= _precedence(sign):
                continue
            self._signs[sign.endpoint_id] = sign
            changed = True
        return changed

    def merge_table(self, leaving_endpoint_ids: tuple[str, ...]) -> bool:
        """Mark the table's leaving endpoints that have no sign yet."""
        table_signs = [LeavingSign(name, 1, True) for name in leaving_endpoint_ids]
        new = [sign for sign in table_signs if sign.endpoint_id not in self._signs]
        return self.merge(tuple(new))

    def retain(self, endpoint_ids: frozenset[str]) -> None:
        """Drop the signs of all endpoints except these."""
        for endpoint_id in list(self._signs):
            if endpoint_id not in endpoint_ids:
                del self._signs[endpoint_id]


def _precedence(sign: LeavingSign) -> tuple[int, bool]:
    return (sign.sequence, sign.leaving)
