"""What an experiment sends: sizes, arrivals and what engines can carry."""

from __future__ import annotations

from dataclasses import dataclass
import random
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

    from mulberrypass.testing.engine_step import EngineShape

SOLVE_STEPS = 50


@dataclass(frozen=True, slots=True)
class Size:
    """Size of one request.

    :param prompt_tokens: words of its prompt
    :param output_tokens: tokens of its answer
    """

    prompt_tokens: int
    output_tokens: int


@dataclass(frozen=True, slots=True)
class Sizes:
    """Uniformly spread sizes of requests, both ends included."""

    prompt_low: int
    prompt_high: int
    output_low: int
    output_high: int

    def draw(self, rng: random.Random) -> Size:
        """Draw one size."""
        return Size(
            rng.randint(self.prompt_low, self.prompt_high),
            rng.randint(self.output_low, self.output_high),
        )

    @property
    def mean(self) -> Size:
        """The mean size."""
        return Size(
            (self.prompt_low + self.prompt_high) // 2,
            (self.output_low + self.output_high) // 2,
        )


ONLINE_SIZES = Sizes(60, 240, 20, 80)
BATCH_SIZES = Sizes(200, 600, 60, 180)


@dataclass(frozen=True, slots=True)
class Arrival:
    """One request and when it is meant to be sent.

    :param at: seconds after the start, whatever became of those before
    """

    at: float
    size: Size
    customer: str


def poisson(
    rate: float,
    seconds: float,
    sizes: Sizes,
    customer: str,
    seed: int,
    start: float = 0.0,
) -> Iterator[Arrival]:
    """Give the arrivals of an open-loop Poisson process.

    :param rate: arrivals a second
    :param start: when the process starts, in seconds
    """
    rng = random.Random(f"{seed}/{customer}")
    at = start + rng.expovariate(rate)
    while at < start + seconds:
        yield Arrival(at, sizes.draw(rng), customer)
        at += rng.expovariate(rate)


def capacity(shape: EngineShape, sizes: Sizes) -> float:
    """Give the requests a second that one engine carries with full slots.

    Found from the step model: a step advances each sequence by a token,
    and takes in the prefill that so many requests a step bring.
    """
    mean = sizes.mean
    rate_per_step = shape.slots / mean.output_tokens
    for _ in range(SOLVE_STEPS):
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
    "Size",
    "Sizes",
    "capacity",
    "poisson",
]
