"""greengagetack.gateway.request_key: what all repeats of a request have in common."""

import hashlib

from greengagetack.gateway.call import Call
from greengagetack.http1.message import header

__all__ = ["request_key", "target_digest", "target_of"]

TARGET_DIGEST_BYTES = 8
BODY_DIGEST_BYTES = 16
# Two callers may send the same request with different effects.
CALLER_HEADERS = (b"host", b"authorization")


def target_digest(call: Call, service: str) -> str:
    """Return a digest of the service, method and target of a request."""
    digest = hashlib.blake2b(service.encode(), digest_size=TARGET_DIGEST_BYTES)
    digest.update(b"\0%b\0%b" % (call.method, call.target))
    return digest.hexdigest()


def _body_digest(call: Call) -> str:
    """Return a digest of the body and the caller of a request."""
    digest = hashlib.blake2b(call.body, digest_size=BODY_DIGEST_BYTES)
    for name in CALLER_HEADERS:
        digest.update(b"\0%b" % (header(call.headers, name) or b""))
    return digest.hexdigest()


def request_key(call: Call, service: str) -> str:
    """Return the key of a request, which begins with the digest of its target."""
    return f"{target_digest(call, service)}.{_body_digest(call)}"


def target_of(key: str) -> str:
    """Return the digest of the target that a key begins with."""
    return key.partition(".")[0]
