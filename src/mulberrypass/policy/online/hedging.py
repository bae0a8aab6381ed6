"""Delays after which slow requests are hedged."""

from __future__ import annotations

HEDGE_QUANTILE = 0.95
MIN_STEP_SHARE = 0.05
MIN_SAMPLES = 20
INITIAL_HEDGE_S = 0.5
MIN_HEDGE_S = 0.02


class LatencyQuantile:
    """Streaming estimate of a quantile of a service's first-token latency.

    Each sample moves the estimate by a small share of itself, up if the
    sample is higher and down if it is lower, with step sizes that balance
    at the quantile. Older samples lose weight and none is stored.
    """

    def __init__(self, quantile: float = HEDGE_QUANTILE) -> None:
        self._quantile = quantile
        self._samples = 0
        self.estimate_s = INITIAL_HEDGE_S

    def observe(self, latency_s: float) -> None:
        """Update the estimate with one latency."""
        if self._samples == 0:
            self.estimate_s = latency_s
        self._samples += 1
        share = max(MIN_STEP_SHARE, 1.0 / self._samples)
        step = self.estimate_s * share
        if latency_s > self.estimate_s:
            self.estimate_s += step * self._quantile
        else:
            self.estimate_s -= step * (1.0 - self._quantile)

    @property
    def ready(self) -> bool:
        """Whether there are enough samples to rely on the estimate."""
        return self._samples >= MIN_SAMPLES


class HedgeTimer:
    """Computes the hedging delay of each service."""

    def __init__(self) -> None:
        self._quantiles: dict[str, LatencyQuantile] = {}

    def observe(self, service: str, latency_s: float) -> None:
        """Record the first-token latency of one request."""
        quantile = self._quantiles.setdefault(service, LatencyQuantile())
        quantile.observe(latency_s)

    def after_s(self, service: str) -> float:
        """Return the seconds after dispatch at which a request is hedged."""
        quantile = self._quantiles.get(service)
        if quantile is None or not quantile.ready:
            return INITIAL_HEDGE_S
        return max(MIN_HEDGE_S, quantile.estimate_s)

    def estimates(self) -> dict[str, float]:
        """Return the hedging delay of each service, for the state dump."""
        return {name: self.after_s(name) for name in self._quantiles}


__all__ = ["HedgeTimer", "LatencyQuantile"]
