"""features.steps.standin_start_steps: what stand-ins have done once they serve."""

import http.client
import sys

from behave import then, when
from behave.runner import Context

from standins.platform_cluster import LOOKUP_PREFIX, PLAIN_SERVICE

LIBRARIES = ("anyio", "httptools", "starlette", "uvicorn")


def _loaded() -> set[str]:
    return {name for name in sys.modules if name.partition(".")[0] in LIBRARIES}


@when("a plain replica answers its first request")
def step_first(context: Context) -> None:
    cluster = context.cluster
    cluster.add_replica("plain-1", PLAIN_SERVICE)
    address = cluster._addresses["plain-1"]["address"]
    context.loaded = _loaded()
    connection = http.client.HTTPConnection(address, timeout=5.0)
    connection.request("POST", f"{LOOKUP_PREFIX}r1", headers={"X-Request-Id": "r1"})
    context.status = connection.getresponse().status
    connection.close()


@then("the request has loaded no library")
def step_no_library(context: Context) -> None:
    assert context.status == 200, context.status
    assert _loaded() == context.loaded, _loaded() - context.loaded
