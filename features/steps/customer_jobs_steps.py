"""features.steps.customer_jobs_steps: customers' batch jobs at daemons."""

import json
from typing import Any

from behave import then, when
from behave.runner import Context

from standins.platform_cluster import (
    JOBS_PREFIX,
    PlatformCluster,
    Submission,
)

# All keys of this feature's customers, which must not reach a replica or a log.
KEYS = ("acme-1", "acme-2", "acme-3", "zenith-1", "forged")


def _cluster(context: Context) -> PlatformCluster:
    return context.cluster


@when('job "{job}" whose items name customer acme and hold keys is submitted at {edge}')
def step_submit_forged(context: Context, job: str, edge: str) -> None:
    submission = Submission(job, 2, 2, has_rewards=True)
    context.submissions[job] = submission
    body = json.loads(submission.body())
    for item in body["items"]:
        item["headers"] |= {"X-Tenant": "acme", "X-API-Key": "acme-1"}
    headers = {"X-Request-Id": job}
    path = f"{JOBS_PREFIX}{job}"
    answer = _cluster(context).call(
        edge, "POST", path, json.dumps(body).encode(), headers
    )
    assert answer.status == 202, answer


@then("no stored item holds a key")
def step_stored(context: Context) -> None:
    store = _cluster(context).store
    names = store.names("job-items")
    assert names
    stored = json.dumps([store.value("job-items", name) for name in names])
    assert not any(f'"{key}"' in stored for key in KEYS), stored


def _outcomes(cluster: PlatformCluster, edge: str, job: str) -> list[Any]:
    """Return status and body of each kind of read, with the job's name replaced."""
    answers = [
        cluster.call(edge, "GET", f"/lots/{job}?after=0"),
        cluster.call(edge, "GET", f"/items/{job}?id={job}-0-0"),
    ]
    return [(a.status, a.body.decode().replace(job, "JOB")) for a in answers]


@then('the answers at {edge} for job "{job}" {comparison} those for a missing job')
def step_same_answers(context: Context, edge: str, job: str, comparison: str) -> None:
    cluster = _cluster(context)
    found = _outcomes(cluster, edge, job)
    missing = _outcomes(cluster, edge, "j9")
    assert (found == missing) == (comparison == "equal"), (found, missing)


@then('submitting job "{job}" again at {edge} is answered with {status:d}')
def step_submit_again(context: Context, job: str, edge: str, status: int) -> None:
    cluster = _cluster(context)
    body = json.loads(Submission(job, 1, 2).body())
    # Another customer's items must not replace those that were accepted.
    if cluster.key == "zenith-1":
        body["items"][0]["body"] = "AAAA"
    answer = cluster.call(
        edge,
        "POST",
        f"{JOBS_PREFIX}{job}",
        json.dumps(body).encode(),
        {"X-Request-Id": job},
    )
    assert answer.status == status, answer


@then('every item of "{job}" was sent before the last {count:d} items of "{other}"')
def step_sent_before(context: Context, job: str, count: int, other: str) -> None:
    arrived_s = dict(_cluster(context).replicas["engine-1"].arrived_s)
    ours = sorted(s for name, s in arrived_s.items() if name.startswith(f"{job}-"))
    others = sorted(s for name, s in arrived_s.items() if name.startswith(f"{other}-"))
    assert ours[-1] < others[-count], (ours, others)


@then('the body of item "{item}" is unchanged for key "{key}" at {edge}')
def step_unchanged(context: Context, item: str, key: str, edge: str) -> None:
    job = item.partition("-")[0]
    path = f"/items/{job}?id={item}"
    headers = {"X-Api-Key": key}
    answer = _cluster(context).call(edge, "GET", path, headers=headers)
    assert answer.status == 200, answer
    assert answer.body == b"body of " + item.encode(), answer


@then('ending job "{job}" at {edge} is answered with {status:d}')
def step_end(context: Context, job: str, edge: str, status: int) -> None:
    answer = _cluster(context).call(edge, "DELETE", f"/lots/{job}")
    assert answer.status == status, answer
