"""greengagetack.daemons.parts: imports all modules that register roles or routes."""

import greengagetack.calls.owner
import greengagetack.daemons.lead
import greengagetack.entry.completions
import greengagetack.entry.endpoints
import greengagetack.entry.jobs
import greengagetack.entry.operations
import greengagetack.entry.role
import greengagetack.entry.service_calls
import greengagetack.keeper.role
import greengagetack.limits.owner
import greengagetack.limits.usage
import greengagetack.rollouts.owner
import greengagetack.settings.http
import greengagetack.settings.sync
import greengagetack.weights.role
import greengagetack.weights.routes

__all__ = ["REGISTERED_MODULES"]

REGISTERED_MODULES = (
    greengagetack.calls.owner,
    greengagetack.daemons.lead,
    greengagetack.entry.completions,
    greengagetack.entry.endpoints,
    greengagetack.entry.jobs,
    greengagetack.entry.operations,
    greengagetack.entry.role,
    greengagetack.entry.service_calls,
    greengagetack.keeper.role,
    greengagetack.limits.owner,
    greengagetack.limits.usage,
    greengagetack.rollouts.owner,
    greengagetack.settings.http,
    greengagetack.settings.sync,
    greengagetack.weights.role,
    greengagetack.weights.routes,
)
