"""bench.customer_lookup: measures what the check of a customer's key adds to a request.

``python -m bench.customer_lookup`` prints the time to identify the caller and to build
the headers of the call, for a known, an unknown and no key, and the time to decode a
configuration and to index its keys. ``KEYS=`` and ``CUSTOMERS=`` set the size.
"""

import os
import time
from collections.abc import Callable
from functools import partial

from bench.figures import percentile
from greengagetack.errors import UnknownKey
from greengagetack.gateway.customers import CustomerDirectory
from greengagetack.objects.base import PlatformObject
from greengagetack.platform.documents import decode_configuration
from greengagetack.platform.identity import identify, with_identity

__all__ = ["main"]

DEFAULT_KEYS = 10_000
DEFAULT_CUSTOMERS = 85
BOUND_US = 20.0
ROUNDS = 200
# Calls whose mean is one sample, as the clock's resolution is close to one call.
CALLS_PER_ROUND = 500
BUILDS = 20
US_PER_S = 1e6
OTHER_HEADERS = tuple((b"x-header-%d" % number, b"value") for number in range(12))


def _configuration(keys: int, customers: int) -> PlatformObject:
    tenants = [
        {
            "name": f"customer-{number}",
            "api_keys": [f"key-{one:032d}" for one in range(number, keys, customers)],
            "priority": number % 10,
        }
        for number in range(customers)
    ]
    value = {"version": 1, "routes": [], "tenants": tenants}
    return PlatformObject("config/main", 1, "", value)


def _samples_us(call: Callable[[], object], rounds: int, calls: int) -> list[float]:
    samples = []
    for _ in range(rounds):
        started_s = time.perf_counter()
        for _ in range(calls):
            call()
        samples.append((time.perf_counter() - started_s) / calls * US_PER_S)
    return samples


def _print(what: str, samples_us: list[float]) -> float:
    p99_us = percentile(samples_us, 0.99)
    print(f"{what}: median {percentile(samples_us, 0.5):.2f} us, p99 {p99_us:.2f} us")
    return p99_us


def _check(directory: CustomerDirectory, key: bytes | None) -> None:
    headers = OTHER_HEADERS if key is None else (*OTHER_HEADERS, (b"x-api-key", key))
    try:
        caller = identify(directory, headers, is_public=False)
    except UnknownKey:
        return
    with_identity(headers, caller.customer, caller.urgency)


def main() -> int:
    """Print the figures; return 1 if a lookup takes longer than its bound."""
    keys = int(os.environ.get("KEYS", DEFAULT_KEYS))
    customers = int(os.environ.get("CUSTOMERS", DEFAULT_CUSTOMERS))
    stored = _configuration(keys, customers)
    configuration = decode_configuration(stored)
    assert configuration is not None
    directory = CustomerDirectory(configuration.customers)
    print(f"{keys} keys of {customers} customers")
    cases = {
        "known key": b"key-%032d" % (keys // 2),
        "unknown key": b"key-unknown",
        "no key": None,
    }
    worst_us = 0.0
    for what, key in cases.items():
        check = partial(_check, directory, key)
        samples_us = _samples_us(check, ROUNDS, CALLS_PER_ROUND)
        worst_us = max(worst_us, _print(what, samples_us))
    check = partial(_check, CustomerDirectory(), b"key")
    _print("without customers", _samples_us(check, ROUNDS, CALLS_PER_ROUND))
    _print("decode", _samples_us(lambda: decode_configuration(stored), BUILDS, 1))
    _print(
        "index",
        _samples_us(lambda: CustomerDirectory(configuration.customers), BUILDS, 1),
    )
    is_within = worst_us <= BOUND_US
    print(f"bound of {BOUND_US:g} us: {'kept' if is_within else 'EXCEEDED'}")
    return 0 if is_within else 1


if __name__ == "__main__":
    raise SystemExit(main())
