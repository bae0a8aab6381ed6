"""What holders see of pace, freed of their own slowness.

Answers an instance that is slow or was frozen for a moment: all that it
sees looks slow, at whatever engine, and speaks against none of them.
"""

from __future__ import annotations

from collections import Counter

DECAY = 0.8
# A holder's usual pace is known after so many answers.
MIN_SAMPLES = 4
# Events that came in one piece have no pace; a mean of them is no measure.
MAX_RATIO = 10.0


class HolderBaselines:
    """Keeps the usual pace that each holder sees."""

    def __init__(self) -> None:
        self._baselines_s: dict[str, float] = {}
        self._sample_counts: Counter[str] = Counter()

    def normalize(self, holder: str, token_s: float) -> float:
        """Give a pace relative to what its holder usually sees.

        :param token_s: seconds for a token
        """
        baseline_s = self._baselines_s.get(holder, token_s)
        bounded = (
            min(token_s, baseline_s * MAX_RATIO) if baseline_s > 0 else token_s
        )
        self._baselines_s[holder] = DECAY * baseline_s + (1 - DECAY) * bounded
        self._sample_counts[holder] += 1
        if self._sample_counts[holder] <= MIN_SAMPLES or baseline_s <= 0:
            return 1.0
        return min(MAX_RATIO, token_s / baseline_s)

    def forget(self, holder: str) -> None:
        """Forget a holder that is gone."""
        self._baselines_s.pop(holder, None)
        del self._sample_counts[holder]


__all__ = ["HolderBaselines"]
