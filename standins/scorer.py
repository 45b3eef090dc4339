"""standins.scorer: a service that scores samples."""

import asyncio
from collections import Counter

import click
import msgspec
import xxhash
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from standins.server import json_answer, read_body, run_stand_in

__all__ = ["ScorerStandIn", "main", "score_text"]

SCORE_STEPS = 10_000


class ScoredSample(msgspec.Struct, frozen=True):
    """A sample to score."""

    sample_id: str
    prompt: str
    text: str


class ScoreBody(msgspec.Struct, frozen=True):
    """Body of ``POST /score``."""

    samples: list[ScoredSample]


class SampleScore(msgspec.Struct, frozen=True):
    """A sample's score from 0 to 1."""

    sample_id: str
    score: float


class ScorerFaults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Injected faults."""

    refuse: bool = False
    slow_s: float = 0.0


def score_text(prompt: str, text: str) -> float:
    """Return a score from 0 to 1, a pure function of its arguments."""
    return (
        xxhash.xxh32_intdigest(f"{prompt}\n{text}".encode()) % SCORE_STEPS / SCORE_STEPS
    )


class ScorerStandIn:
    """Scores samples and counts them."""

    def __init__(self) -> None:
        self.faults = ScorerFaults()
        self.counts: Counter[str] = Counter()
        self.samples: Counter[str] = Counter()

    def app(self) -> Starlette:
        """Return the application."""
        return Starlette(
            routes=[
                Route("/score", self._score, methods=["POST"]),
                Route("/healthz", self._show_health),
                Route("/control/faults", self._set_faults, methods=["POST"]),
                Route("/control/log", self._show_log),
            ]
        )

    async def _score(self, request: Request) -> Response:
        self.counts["requests"] += 1
        if self.faults.refuse:
            headers = {"X-Not-Run": "true", "Retry-After": "0.5"}
            return json_answer({"error": {"code": "unavailable"}}, 503, headers)
        try:
            body = await read_body(request, ScoreBody)
        except msgspec.MsgspecError as error:
            return json_answer(
                {"error": {"code": "bad_request", "reason": str(error)}}, 400
            )
        await asyncio.sleep(self.faults.slow_s)
        scores = []
        for sample in body.samples:
            self.counts["samples"] += 1
            self.samples[sample.sample_id] += 1
            score = score_text(sample.prompt, sample.text)
            scores.append(SampleScore(sample.sample_id, score))
        return json_answer({"scores": scores})

    async def _show_health(self, request: Request) -> Response:
        return json_answer({"state": "live"})

    async def _set_faults(self, request: Request) -> Response:
        self.faults = await read_body(request, ScorerFaults)
        return json_answer(self.faults)

    async def _show_log(self, request: Request) -> Response:
        return json_answer({"counts": self.counts, "samples": self.samples})


@click.command()
@click.option("--port", default=0, help="Port; 0 picks a free one.")
@click.option("--latency-s", default=0.0, help="One-way latency added to calls.")
def main(port: int, latency_s: float) -> None:
    """Run the scorer stand-in."""
    run_stand_in(ScorerStandIn().app(), "scorer", port, latency_s)


if __name__ == "__main__":
    main()
