"""features.steps.promises_steps: separate processes under load and faults."""

import asyncio

from behave import given, then, when
from behave.runner import Context

from bench.audit import audit
from bench.soak import PLAN, Soak, SoakDeployment
from standins.processes import ProcessGroup

SEED = 7
UNUSED_DURATION_S = 0.0


@given("a deployment of separate processes under load")
def step_deployment(context: Context) -> None:
    group = ProcessGroup()
    context.add_cleanup(group.close)
    context.deployment = SoakDeployment(PLAN, group)
    context.deployment.start_stand_ins()


@when('"{first}" and "{second}" happen together')
def step_faults(context: Context, first: str, second: str) -> None:
    context.soak = Soak(context.deployment, SEED, UNUSED_DURATION_S, (first, second))
    asyncio.run(context.soak.run())


@then("the audit finds no breach")
def step_no_breach(context: Context) -> None:
    context.result = audit(context.soak.log)
    assert not context.result.breaches, context.result.breaches[:5]


@then("trainers, callers and operators were served")
def step_served(context: Context) -> None:
    soak = context.soak
    assert len(soak.faults) == 2, soak.faults
    assert soak.steps > 0
    assert soak.log.delivered
    assert soak.log.answers
    assert soak.log.accepted
