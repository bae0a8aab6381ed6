"""Token times normalized by what each holder usually observes.

An instance that is slow or was briefly frozen observes slow tokens from
every engine; without the baseline, that would count against the engines.
"""

from __future__ import annotations

from collections import Counter

DECAY = 0.8
# Answers before a holder's baseline is used.
MIN_SAMPLES = 4
# Events that arrive together give no meaningful token time, so outliers
# are capped.
MAX_RATIO = 10.0


class HolderBaselines:
    """Tracks the usual time per token that each holder observes."""

    def __init__(self) -> None:
        self._baselines_s: dict[str, float] = {}
        self._sample_counts: Counter[str] = Counter()

    def normalize(self, holder: str, token_s: float) -> float:
        """Return a time per token relative to its holder's baseline.

        :param token_s: seconds per token
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
        """Discard the baseline of a lost holder."""
        self._baselines_s.pop(holder, None)
        del self._sample_counts[holder]


__all__ = ["HolderBaselines"]
