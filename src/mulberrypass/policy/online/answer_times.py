"""Estimates how long an answer takes, from recent ones."""

from __future__ import annotations

import math
import statistics
from typing import TYPE_CHECKING

from mulberrypass.model.value_class import value_class

if TYPE_CHECKING:
    from collections.abc import Sequence

# Share of the answers that end within their estimate.
COVERED_SHARE = 0.9


@value_class
class AnswerTime:
    """How long one answer took.

    :param tokens: expected length when the request came
    :param seconds: from the grant of an engine to the end of the answer
    """

    tokens: int
    seconds: float


def expected_s(times: Sequence[AnswerTime], tokens: int) -> float:
    """Return the seconds within which nine answers of ten have ended.

    Fits a line to the times by their tokens; times of a single length are
    taken as proportional to it.

    :param tokens: expected length of the answer
    :returns: 0 if no times are known
    """
    if not times:
        return 0.0
    base, slope = _line(times)
    late = sorted(t.seconds - base - slope * t.tokens for t in times)
    margin = late[math.ceil(COVERED_SHARE * len(late)) - 1]
    return max(0.0, base + slope * tokens + max(0.0, margin))


def may_finish(
    times: Sequence[AnswerTime], tokens: int, left_s: float
) -> bool:
    """Return whether an answer is expected to end in the time left."""
    return left_s > 0 and expected_s(times, tokens) <= left_s


def _line(times: Sequence[AnswerTime]) -> tuple[float, float]:
    """Return the seconds of an answer without tokens, and of a token."""
    tokens = [time.tokens for time in times]
    seconds = [time.seconds for time in times]
    mean_s, mean_tokens = statistics.fmean(seconds), statistics.fmean(tokens)
    if mean_tokens <= 0:
        return mean_s, 0.0
    if min(tokens) == max(tokens):
        return 0.0, mean_s / mean_tokens
    slope = max(0.0, statistics.linear_regression(tokens, seconds).slope)
    return max(0.0, mean_s - slope * mean_tokens), slope


__all__ = ["AnswerTime", "expected_s", "may_finish"]
