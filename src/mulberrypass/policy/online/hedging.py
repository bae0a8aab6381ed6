"""When a late request is sent a second time."""

from __future__ import annotations

HEDGE_QUANTILE = 0.95
STEP_SHARE = 0.05
MIN_SAMPLES = 20
START_S = 0.5
MIN_HEDGE_S = 0.02


class LatencyQuantile:
    """Follows one quantile of a service's first-token latency.

    Each sample moves the estimate by a small share of itself, up when the
    sample is above and down when it is below, in proportions that balance
    at the quantile. Old samples fade, and nothing is stored.
    """

    def __init__(self, quantile: float = HEDGE_QUANTILE) -> None:
        self._quantile = quantile
        self._samples = 0
        self.estimate_s = START_S

    def observe(self, latency_s: float) -> None:
        """Take one latency into account."""
        if self._samples == 0:
            self.estimate_s = latency_s
        self._samples += 1
        share = max(STEP_SHARE, 1.0 / self._samples)
        step = self.estimate_s * share
        if latency_s > self.estimate_s:
            self.estimate_s += step * self._quantile
        else:
            self.estimate_s -= step * (1.0 - self._quantile)

    @property
    def ready(self) -> bool:
        """Whether enough samples were seen to act on."""
        return self._samples >= MIN_SAMPLES


class HedgeTimer:
    """Says after which wait each service's requests are hedged."""

    def __init__(self) -> None:
        self._quantiles: dict[str, LatencyQuantile] = {}

    def observe(self, service: str, latency_s: float) -> None:
        """Take the first-token latency of one request into account."""
        quantile = self._quantiles.setdefault(service, LatencyQuantile())
        quantile.observe(latency_s)

    def after_s(self, service: str) -> float:
        """Seconds after dispatch at which a request counts as late."""
        quantile = self._quantiles.get(service)
        if quantile is None or not quantile.ready:
            return START_S
        return max(MIN_HEDGE_S, quantile.estimate_s)

    def estimates(self) -> dict[str, float]:
        """Give the wait of each service, for the dump."""
        return {name: self.after_s(name) for name in self._quantiles}


__all__ = ["HedgeTimer", "LatencyQuantile"]
