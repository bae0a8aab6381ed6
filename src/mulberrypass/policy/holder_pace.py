"""What holders see of pace, freed of their own slowness.

Answers an instance that is slow or was frozen for a moment: all that it
sees looks slow, at whatever engine, and speaks against none of them.
"""

from __future__ import annotations

MEMORY = 0.8


class HolderPace:
    """Keeps the usual pace that each holder sees."""

    def __init__(self) -> None:
        self._usual: dict[str, float] = {}

    def relative(self, holder: str, token_s: float) -> float:
        """Give a pace relative to what its holder usually sees.

        :param token_s: seconds for a token
        """
        usual = self._usual.get(holder, token_s)
        self._usual[holder] = MEMORY * usual + (1 - MEMORY) * token_s
        return token_s / usual if usual > 0 else 1.0

    def forget(self, holder: str) -> None:
        """Forget a holder that is gone."""
        self._usual.pop(holder, None)


__all__ = ["HolderPace"]
