"""standins.weights: how the engine stand-in fetches weights."""

import asyncio

import aiosonic

from standins.orders import Fetch, OrderFailed

__all__ = ["weight_fetch"]

FETCH_LIMIT_S = 60.0
HTTP_OK = 200
HTTP_TOO_MANY = 429


def weight_fetch(platform_url: str) -> Fetch:
    """Return a fetch from the weight store, or one that does nothing."""

    async def fetch(model: str, version: int) -> None:
        if not platform_url:
            return
        try:
            async with asyncio.timeout(FETCH_LIMIT_S):
                await fetch_within_rate(f"{platform_url}/weights/{model}/{version}")
        except TimeoutError:
            raise OrderFailed("the weight store did not answer in time") from None

    return fetch


async def fetch_within_rate(url: str) -> None:
    """Fetch `url`, coming back when the weight store says so."""
    async with aiosonic.HTTPClient() as client:
        while True:
            answer = await client.get(url)
            await answer.content()
            if answer.status_code == HTTP_OK:
                return
            if answer.status_code != HTTP_TOO_MANY:
                raise OrderFailed(f"the weight store answered {answer.status_code}")
            await asyncio.sleep(float(answer.headers.get("retry-after", "1")))
