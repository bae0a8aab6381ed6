"""Workloads: request sizes, arrivals and the capacity of engines."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from mulberrypass.model.value_class import value_class

if TYPE_CHECKING:
    from collections.abc import Iterator

    from mulberrypass.testing.engine_step import EngineShape

MAX_ITERATIONS = 50


@value_class
class RequestSize:
    """Prompt and output length of one request."""

    prompt_tokens: int
    output_tokens: int


@value_class
class SizeRange:
    """Uniform distribution of request sizes, bounds included."""

    prompt_low: int
    prompt_high: int
    output_low: int
    output_high: int

    def draw(self, rng: random.Random) -> RequestSize:
        """Return a random size."""
        return RequestSize(
            rng.randint(self.prompt_low, self.prompt_high),
            rng.randint(self.output_low, self.output_high),
        )

    @property
    def mean(self) -> RequestSize:
        """Mean size, rounded down."""
        return RequestSize(
            (self.prompt_low + self.prompt_high) // 2,
            (self.output_low + self.output_high) // 2,
        )


ONLINE_SIZES = SizeRange(60, 240, 20, 80)
BATCH_SIZES = SizeRange(200, 600, 60, 180)


@value_class
class Arrival:
    """One request and its intended send time.

    :param at: seconds after the start, independent of earlier requests
    """

    at: float
    size: RequestSize
    customer: str


def poisson_arrivals(
    rate: float,
    seconds: float,
    sizes: SizeRange,
    customer: str,
    seed: int,
    start: float = 0.0,
) -> Iterator[Arrival]:
    """Yield the arrivals of an open-loop Poisson process.

    :param rate: arrivals a second
    :param start: start of the process, in seconds
    """
    rng = random.Random(f"{seed}/{customer}")
    at = start + rng.expovariate(rate)
    while at < start + seconds:
        yield Arrival(at, sizes.draw(rng), customer)
        at += rng.expovariate(rate)


def engine_capacity(shape: EngineShape, sizes: SizeRange) -> float:
    """Return the requests a second that one engine sustains at full slots.

    Derived from the step model: a step advances each sequence by one token
    and processes the prefill of the requests that start in it.
    """
    mean = sizes.mean
    rate_per_step = shape.slots / mean.output_tokens
    for _ in range(MAX_ITERATIONS):
        prefill = rate_per_step * mean.prompt_tokens
        if prefill <= shape.step_prefill_tokens:
            break
        rate_per_step *= 0.95
    prefill = rate_per_step * mean.prompt_tokens
    step_s = (
        shape.step_s
        + shape.slots * shape.sequence_s
        + prefill * shape.prefill_token_s
    )
    return rate_per_step / step_s


__all__ = [
    "Arrival",
    "BATCH_SIZES",
    "ONLINE_SIZES",
    "RequestSize",
    "SizeRange",
    "engine_capacity",
    "poisson_arrivals",
]
