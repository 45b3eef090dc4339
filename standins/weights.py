"""standins.weights: fetches weights for the engine stand-in."""

import asyncio

import aiosonic

from standins.orders import FetchWeights, OrderFailed

__all__ = ["weight_fetcher"]

FETCH_TIMEOUT_S = 60.0
HTTP_OK = 200
HTTP_TOO_MANY_REQUESTS = 429


def weight_fetcher(platform_url: str) -> FetchWeights:
    """Return a function that fetches from the weight store.

    It does nothing if `platform_url` is empty.
    """

    async def fetch(model: str, version: int) -> None:
        if not platform_url:
            return
        try:
            async with asyncio.timeout(FETCH_TIMEOUT_S):
                await fetch_with_retries(f"{platform_url}/weights/{model}/{version}")
        except TimeoutError:
            raise OrderFailed("the weight store did not answer in time") from None

    return fetch


async def fetch_with_retries(url: str) -> None:
    """Fetch `url`; after a 429, retry when its ``Retry-After`` has passed."""
    async with aiosonic.HTTPClient() as client:
        while True:
            answer = await client.get(url)
            await answer.content()
            if answer.status_code == HTTP_OK:
                return
            if answer.status_code != HTTP_TOO_MANY_REQUESTS:
                raise OrderFailed(f"the weight store answered {answer.status_code}")
            await asyncio.sleep(float(answer.headers.get("retry-after", "1")))
