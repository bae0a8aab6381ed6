"""What holders see of pace, freed of their own slowness.

Answers an instance that is slow or was frozen for a moment: all that it
sees looks slow, at whatever engine, and speaks against none of them.
"""

from __future__ import annotations

from collections import Counter

MEMORY = 0.8
# A holder's usual pace is known after so many answers.
MIN_SAMPLES = 4
# Events that came in one piece have no pace; a mean of them is no measure.
MOST = 10.0


class HolderPace:
    """Keeps the usual pace that each holder sees."""

    def __init__(self) -> None:
        self._usual: dict[str, float] = {}
        self._samples: Counter[str] = Counter()

    def relative(self, holder: str, token_s: float) -> float:
        """Give a pace relative to what its holder usually sees.

        :param token_s: seconds for a token
        """
        usual = self._usual.get(holder, token_s)
        bounded = min(token_s, usual * MOST) if usual > 0 else token_s
        self._usual[holder] = MEMORY * usual + (1 - MEMORY) * bounded
        self._samples[holder] += 1
        if self._samples[holder] <= MIN_SAMPLES or usual <= 0:
            return 1.0
        return min(MOST, token_s / usual)

    def forget(self, holder: str) -> None:
        """Forget a holder that is gone."""
        self._usual.pop(holder, None)
        del self._samples[holder]


__all__ = ["HolderPace"]
