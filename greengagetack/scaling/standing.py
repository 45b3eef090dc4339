"""greengagetack.scaling.standing: hands the number of replicas to keep to a successor.

The holder of the scaling duty sends it to the dispatcher when it asks for the demand,
only if the dispatcher's answer shows that it has another one. A successor adopts it
with its first answer. It is lost if holder and dispatcher fail together; then the
successor goes on with what it saw at its own start.
"""

from collections import Counter
from collections.abc import Mapping
from urllib.parse import quote, unquote

import xxhash

from greengagetack.scaling.view import Pool

__all__ = ["Standing", "decode_standing", "digest_of", "encode_standing"]

# Replicas to keep, by service and pool.
Standing = dict[str, Counter[Pool]]

SPOT_MARK = "~"


def encode_standing(standing: Mapping[str, Counter[Pool]]) -> str:
    """Return the form that a query carries."""
    return ",".join(
        f"{quote(service, safe='')}/{quote(pool.zone, safe='')}"
        f"{SPOT_MARK if pool.is_spot else ''}:{count}"
        for service, counts in sorted(standing.items())
        for pool, count in sorted(counts.items())
        if count > 0
    )


def decode_standing(text: str) -> Standing:
    """Return the replicas to keep from their encoded form.

    Raises
    ------
    ValueError
        If the text is not valid.
    """
    found: Standing = {}
    for part in text.split(",") if text else ():
        key, _, count = part.rpartition(":")
        service, _, zone = key.partition("/")
        pool = Pool(unquote(zone.removesuffix(SPOT_MARK)), zone.endswith(SPOT_MARK))
        found.setdefault(unquote(service), Counter())[pool] = int(count)
    return found


def digest_of(text: str) -> str:
    """Return a short digest of an encoded form."""
    return xxhash.xxh32_hexdigest(text.encode()) if text else ""
