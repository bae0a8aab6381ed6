"""Lasting and momentary paces of the engines of a cell.

Addresses engines that differ in speed for good, and of which some are slower
still for less than a second.
"""

from __future__ import annotations

from collections import deque
from math import pow
from statistics import median
from typing import TYPE_CHECKING

from mulberrypass.policy.health.lasting_paces import LastingPaces

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Sequence

# Weight of the lasting pace among the costs of online work, as an exponent.
# With 1 the fast engines have no slot left when a pulse or a long prompt
# comes (trial: share in time 0.983 against 0.984, 99th percentile of the time
# to first event 294 ms against 283 ms).
LASTING_WEIGHT = 0.5
FIGURE_AGE_S = 0.5
MIN_SLOWNESS = 0.01
MAX_SLOWNESS = 100.0
# Figures of an engine after which its usual one is known.
MIN_FIGURES = 8
MAX_FIGURES = 32
# Multiple of the expected time to first token at which work is overdue; the
# times of sound engines vary by less.
OVERDUE = 3.0
MAX_OVERDUE = 4.0
MIN_PENDING = 2


class MomentaryPaces:
    """What engines say of the moment, and overdue work, for half a second."""

    def __init__(self) -> None:
        self._figures: dict[str, tuple[float, float]] = {}
        self._usual: dict[str, deque[float]] = {}
        self._peers = 1.0

    def keep(self, names: Iterable[str]) -> None:
        """Forget all engines but these."""
        kept = frozenset(names)
        for known in (self._figures, self._usual):
            for name in known.keys() - kept:
                del known[name]

    def note(self, name: str, slowness: float, now: float) -> None:
        """Record an engine's figure; one out of bounds is ignored."""
        if not MIN_SLOWNESS <= slowness <= MAX_SLOWNESS:
            return
        usual = self._usual.setdefault(name, deque(maxlen=MAX_FIGURES))
        usual.append(slowness)
        if len(usual) >= MIN_FIGURES:
            # An engine that always names the same figure tells nothing of
            # the moment; its lasting pace says it already.
            slowness /= max(1.0, median(usual))
        self._figures[name] = (slowness, now)

    def evaluate(
        self,
        now: float,
        pending_ages: Mapping[str, Sequence[float]],
        step_s: float,
        lasting: LastingPaces,
    ) -> None:
        """Find overdue work, and how slow the engines are together.

        Calls without a stream report no first event. They make work overdue
        at all engines, so that an engine is compared with its peers too.

        :param pending_ages: ages of work without a first event, relative to
            the expected steps
        :param step_s: usual seconds of a step; 0 if unknown
        """
        if step_s > 0 and pending_ages:
            late = {
                name: median(ages) / lasting.pace(name)
                for name, ages in pending_ages.items()
            }
            expected_s = max(step_s, median(late.values()))
            for name, age_s in late.items():
                ratio = age_s / expected_s
                if ratio >= OVERDUE and len(pending_ages[name]) >= MIN_PENDING:
                    self._figures[name] = (min(MAX_OVERDUE, ratio), now)
        paces = [self._valid(name, now) for name in lasting.names]
        self._peers = max(1.0, median(paces)) if paces else 1.0

    def pace(self, name: str, now: float) -> float:
        """Return the pace of the moment, at least 1; 1 if unknown."""
        return max(1.0, self._valid(name, now) / self._peers)

    def _valid(self, name: str, now: float) -> float:
        value, at = self._figures.get(name, (1.0, now))
        return value if now - at <= FIGURE_AGE_S else 1.0


class EnginePaces:
    """Both figures of the engines of a cell."""

    def __init__(self) -> None:
        self.lasting = LastingPaces()
        self.momentary = MomentaryPaces()
        self._addresses: dict[str, str] = {}
        self._token_s: deque[float] = deque(maxlen=MAX_FIGURES)

    def set_engines(self, addresses: Mapping[str, str]) -> None:
        """Set the engines and their addresses, by name."""
        self.lasting.set_engines(addresses)
        before, self._addresses = self._addresses, dict(addresses)
        self.momentary.keep(
            name
            for name, address in addresses.items()
            if before.get(name) == address
        )

    def note_token_s(self, token_s: float) -> None:
        """Record the seconds per token of an answer."""
        self._token_s.append(token_s)

    def evaluate(
        self, now: float, pending_ages: Mapping[str, Sequence[float]]
    ) -> None:
        """Update both figures.

        :param pending_ages: ages of work without a first event, relative to
            the expected steps
        """
        self.lasting.evaluate(now)
        self.momentary.evaluate(
            now, pending_ages, self.lasting.step_s, self.lasting
        )

    def online(self, name: str, now: float) -> float:
        """Return the factor of the cost of online work."""
        lasting = pow(self.lasting.pace(name), LASTING_WEIGHT)
        return lasting * self.momentary.pace(name, now)

    def first_event_s(self, name: str, steps: float, now: float) -> float:
        """Return the expected seconds to a first event on a slower engine.

        :param steps: expected time to first token, in steps
        :returns: 0 if unknown, or if the engine isn't slower than its peers
        """
        pace = self.lasting.pace(name) * self.momentary.pace(name, now)
        return steps * self.lasting.step_s * pace if pace > 1 else 0.0

    def completion_s(self, name: str, steps: float, tokens: int) -> float:
        """Return the expected seconds of an item; 0 if unknown.

        :param steps: expected time to first token, in steps
        """
        token_s = median(self._token_s) if self._token_s else 0.0
        seconds = steps * self.lasting.step_s + tokens * token_s
        return seconds * self.lasting.pace(name)


__all__ = ["EnginePaces", "MomentaryPaces"]
