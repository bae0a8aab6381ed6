"""Limits how fast one customer's running work may grow.

This handles a customer that begins to send several times its usual rate at
the start of a pulse. It would fill the slots before the others' demand has
grown, and its slots would become free only after most of a service time, all
at once. Work that has started evenly over a service time frees slots as fast
as a pulse of the others needs them.
"""

from __future__ import annotations

from collections import deque
from math import inf
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

INTERVAL_S = 0.05
# Longer than the period of the pulses, which is 5.2 s.
WINDOW_S = 6.0
# Until service times are known.
DEFAULT_SERVICE_S = 1.0


class RampLimits:
    """Limits the running work of large customers.

    A large customer may use the slots that the others' demand has left at its
    peak of the last seconds, and grow by as many in a service time. A quarter
    of the bound may be used at once.
    """

    def __init__(self) -> None:
        self._peaks: deque[tuple[float, float]] = deque()
        self._allowed: dict[str, float] = {}
        self._updated_at = -inf

    def update(
        self,
        running: Mapping[str, int],
        demands: Mapping[str, int],
        slots: float,
        bound: float,
        service_s: float,
        now: float,
    ) -> None:
        """Update the limits, at most once an interval.

        :param running: running asks of each customer
        :param demands: running and waiting asks of each customer
        :param slots: slots that all may use
        :param bound: slots from which on a customer is large; in the demand
            of all, each customer counts up to it
        :param service_s: mean service time; 0 if unknown
        """
        if now < self._updated_at + INTERVAL_S:
            return
        passed_s = min(now - self._updated_at, WINDOW_S)
        self._updated_at = now
        total = sum(min(need, bound) for need in demands.values())
        self._record_peak(total, now)
        peak = self._peaks[0][1]
        allowed: dict[str, float] = {}
        for name, used in running.items():
            if used < bound / 2 or len(demands) < 2:
                continue
            own = min(demands.get(name, 0), bound)
            room = max(bound, slots - (peak - own))
            before = min(self._allowed.get(name, used), used + bound / 4)
            growth = passed_s * room / (service_s or DEFAULT_SERVICE_S)
            allowed[name] = max(room, before + growth)
        self._allowed = allowed

    def allowed(self, customer: str) -> float:
        """Return the running asks that a customer may have."""
        return self._allowed.get(customer, inf)

    def _record_peak(self, total: float, now: float) -> None:
        while self._peaks and self._peaks[-1][1] <= total:
            self._peaks.pop()
        self._peaks.append((now, total))
        while self._peaks[0][0] < now - WINDOW_S:
            self._peaks.popleft()


__all__ = ["RampLimits"]
