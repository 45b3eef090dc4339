"""features.steps.prefixes_steps: the estimate of an engine's prefix cache."""

from behave import given, then, when
from behave.runner import Context

from greengagetack.engines.openai import OpenAIAdapter
from greengagetack.engines.state import CacheEvent, CacheEvents
from greengagetack.keeper.prefixes import PrefixCache, prefix_hash
from greengagetack.world import Endpoint, EndpointKind

PROMPT = " ".join(f"w{number}" for number in range(32))


@given("a keeper's estimate of an engine's prefix cache")
def step_cache(context: Context) -> None:
    endpoint = Endpoint("e", EndpointKind.ENGINE, "m", "openai", "http://x", "z")
    context.adapter = OpenAIAdapter(endpoint)
    context.cache = PrefixCache(context.adapter.prefix_block_hashes)


def apply_cache_events(context: Context, kind: str, blocks: tuple[str, ...]) -> None:
    """Apply one cache event for each block, with gaps in the sequence numbers."""
    start = context.cache.next_event
    events = tuple(
        CacheEvent(start + 2 * number, kind, block)
        for number, block in enumerate(blocks)
    )
    context.cache.apply_events(CacheEvents(start + 2 * len(blocks), events))


@when("a prompt of 2 blocks was {history}")
def step_history(context: Context, history: str) -> None:
    blocks = context.adapter.prefix_block_hashes(PROMPT)
    assert len(blocks) == 2
    cache = context.cache
    if history.startswith("sent"):
        cache.record_prompt(PROMPT)
    if "both blocks evicted" in history or "sent, evicted" in history:
        apply_cache_events(context, "evicted", blocks)
    if "one block evicted" in history:
        apply_cache_events(context, "evicted", blocks[1:])
    if "others evicted" in history:
        apply_cache_events(context, "evicted", ("another",))
    if "sent again" in history:
        cache.record_prompt(PROMPT)
    if "and stored" in history:
        apply_cache_events(context, "stored", blocks)
    if "restarted" in history:
        apply_cache_events(context, "stored", ("another",))
        cache.apply_events(CacheEvents(0, ()))


@then("the estimated cached share is from {least:g} to {most:g}")
def step_share(context: Context, least: float, most: float) -> None:
    share = context.cache.cached_ratio(prefix_hash(PROMPT))
    assert least <= share <= most, share
