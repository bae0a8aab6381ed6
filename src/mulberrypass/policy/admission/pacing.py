"""Paces batch prefill by the observed latency of online work."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from mulberrypass.policy.admission.settings import PacingSettings


class BatchPacer:
    """Controls the batch prefill rate by AIMD.

    The rate decreases when online work misses its latency targets.
    """

    def __init__(self, settings: PacingSettings) -> None:
        self._settings = settings
        self._observed = 0.0
        self._missed = 0.0
        self._gap_s = 0.0
        self._next_at = 0.0
        self.tokens_per_s = settings.start_tokens_per_s

    def observe_first_token(self, after_s: float) -> None:
        """Record the time to first token of an online answer."""
        self._observed += 1
        self._missed += after_s > self._settings.first_token_s

    def observe_gap(self, gap_s: float) -> None:
        """Record the 95th percentile token gap of an online answer."""
        memory = self._settings.gap_memory
        self._gap_s = self._gap_s * memory + gap_s * (1 - memory)

    def interval_s(self, prompt_tokens: int) -> float:
        """Return the seconds to wait on an engine after a batch prefill."""
        return prompt_tokens / self.tokens_per_s

    def tick(self, now: float) -> None:
        """Adjust the rate, at most once an interval."""
        if now < self._next_at:
            return
        self._next_at = now + self._settings.interval_s
        late = self._missed > self._observed * self._settings.miss_share
        if late or self._gap_s > self._settings.gap_s:
            self._gap_s *= self._settings.gap_memory
            self._set_rate(self.tokens_per_s * self._settings.decrease_factor)
        else:
            step = self._settings.increase_tokens_per_s
            self._set_rate(self.tokens_per_s + step)
        self._observed *= self._settings.memory
        self._missed *= self._settings.memory

    def _set_rate(self, tokens_per_s: float) -> None:
        lowest = self._settings.min_tokens_per_s
        highest = self._settings.max_tokens_per_s
        self.tokens_per_s = min(highest, max(lowest, tokens_per_s))


__all__ = ["BatchPacer"]
