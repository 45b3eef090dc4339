"""greengagetack.rollouts.request_ids: identifiers of a sample's requests at engines.

Each request of a sample begins with the sample's identifier. A hedge adds a suffix to
the request that it is started for, which may be a hedge whose first attempt has failed.
"""

__all__ = ["engine_request_id", "hedge_id", "sample_of"]

ATTEMPT_SEPARATOR = "~"
HEDGE_SUFFIX = "/hedge"


def hedge_id(request_id: str) -> str:
    """Return the identifier of a hedge of a request."""
    return f"{request_id}{HEDGE_SUFFIX}"


def engine_request_id(request_id: str, attempt: int) -> str:
    """Return the identifier of an attempt of a request at its engine."""
    return f"{request_id}{ATTEMPT_SEPARATOR}{attempt}" if attempt else request_id


def sample_of(engine_request_id: str) -> str:
    """Return the identifier of the sample that a request at an engine generates."""
    sample_id = engine_request_id.partition(ATTEMPT_SEPARATOR)[0]
    while sample_id.endswith(HEDGE_SUFFIX):
        sample_id = sample_id.removesuffix(HEDGE_SUFFIX)
    return sample_id
