"""Lasting paces of the engines of a cell.

Addresses engines of one service that differ in speed for good by more than a
factor of two. A pace is relative to the other engines, so that no engine
counts as slow if all are.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from math import exp, log
from statistics import median
from typing import TYPE_CHECKING

from mulberrypass.model.value_class import value_class
from mulberrypass.policy.health.samples import Samples

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable, Mapping, Sequence

# Samples within this time count once, so that a window covers seconds at any
# rate of requests.
BUCKET_S = 0.25
WINDOW_S = 20.0
MAX_BUCKETS = 80
# 2 s at least, which a slowdown of 0.6 s can't dominate.
MIN_BUCKETS = 8
# Weight of the assumption that an engine is like its peers, in buckets.
PRIOR_WEIGHT = 3.0
# A slowdown by more than this is never learned as an engine's own pace, so
# that health still sees it.
MAX_PACE = 2.5
# Engines that are alike differ by less in their medians of few samples; they
# are treated as equal.
ALIKE = 1.2
# Slowness of an engine without a lasting pace that health overlooks, as it
# may be the engine's own.
MAX_UNPROVEN_PACE = 1.5
HINT_WEIGHT = 16.0
# Own samples, in buckets, at which a hint has no weight any more.
HINT_BUCKETS = 24.0
HINT_AGE_S = 60.0


class _Window:
    """Means of the samples of each quarter of a second.

    :ivar figure: median of the means, once there are enough; stays known
        while the engine has no work
    :ivar count: number of means in the figure
    """

    def __init__(self) -> None:
        self._means = Samples(MAX_BUCKETS)
        self._began_at = 0.0
        self._sum = 0.0
        self._count = 0
        self.figure = 0.0
        self.count = 0

    def add(self, value: float, now: float) -> None:
        """Add a sample."""
        self._close(now)
        if not self._count:
            self._began_at = now
        self._sum += value
        self._count += 1

    def update(self, now: float) -> None:
        """Update the figure."""
        self._close(now)
        self._means.drop_old(now - WINDOW_S)
        if len(self._means) >= MIN_BUCKETS:
            self.figure = self._means.median()
            self.count = len(self._means)

    def unproven(self) -> float:
        """Return the figure, or that of fewer samples; 0 if unknown."""
        if self.figure or not len(self._means):
            return self.figure
        return self._means.median()

    def _close(self, now: float) -> None:
        if self._count and now - self._began_at >= BUCKET_S:
            self._means.add(self._began_at, self._sum / self._count)
            self._sum = 0.0
            self._count = 0


@value_class
class _Hint:
    pace: float
    told_at: float


@dataclass(slots=True)
class _Record:
    """What is known of an engine.

    :param pace: time of a step relative to the peers' median; 0 if unknown
    :param unproven: the same of too few samples, within narrow bounds
    """

    address: str
    takes_hints: bool
    steps: _Window = field(default_factory=_Window)
    tokens: _Window = field(default_factory=_Window)
    hint: _Hint | None = None
    pace: float = 0.0
    unproven: float = 1.0


@value_class
class _Peers:
    """Medians of the engines' figures; 0 if too few are known."""

    step_s: float
    token_ratio: float

    @classmethod
    def of(cls, records: Iterable[_Record], unproven: bool) -> _Peers:
        """Return the medians, perhaps also over figures of few samples."""
        known = tuple(records)
        if unproven:
            steps = [r.steps.unproven() for r in known]
            tokens = [r.tokens.unproven() for r in known]
        else:
            steps = [r.steps.figure for r in known]
            tokens = [r.tokens.figure for r in known]
        return cls(_known_median(steps), _known_median(tokens))

    def ratio(self, step_s: float, token_ratio: float) -> float:
        """Return the mean ratio of an engine's figures; 0 if unknown."""
        pairs = ((step_s, self.step_s), (token_ratio, self.token_ratio))
        logs = [log(own / peer) for own, peer in pairs if own and peer]
        return exp(sum(logs) / len(logs)) if logs else 0.0


class LastingPaces:
    """Learns the lasting pace of each engine over some seconds.

    The caller leaves out samples of engines that are held back or reduced.
    """

    def __init__(self) -> None:
        self._records: dict[str, _Record] = {}
        self._configured = False
        self._peers = _Peers(0.0, 0.0)

    @property
    def step_s(self) -> float:
        """The engines' median seconds of a step; 0 if unknown."""
        return self._peers.step_s

    def set_engines(self, addresses: Mapping[str, str]) -> None:
        """Set the engines, by name.

        One that is gone, or is back at another address, loses its pace.
        Hints are about the engines that the owner has found, not about one
        that appears later, as that may have had the name before.
        """
        found: dict[str, _Record] = {}
        for name, address in addresses.items():
            record = self._records.get(name)
            if record is None or record.address != address:
                record = _Record(address, not self._configured)
            found[name] = record
        self._records = found
        self._configured = self._configured or bool(found)

    def record_first_token(self, name: str, step_s: float, now: float) -> None:
        """Record a time to first token, relative to its expected steps."""
        record = self._records.get(name)
        if record is not None and step_s > 0:
            record.steps.add(step_s, now)

    def record_token_time(self, name: str, ratio: float, now: float) -> None:
        """Record a time per token, relative to the holder's baseline."""
        record = self._records.get(name)
        if record is not None and ratio > 0:
            record.tokens.add(ratio, now)

    def hint(self, name: str, pace: float, age_s: float, now: float) -> None:
        """Take a former owner's figure; of several the latest counts."""
        record = self._records.get(name)
        if record is None or not record.takes_hints:
            return
        # Also false for a figure that is no number.
        if not (1 / MAX_PACE <= pace <= MAX_PACE and 0 <= age_s < HINT_AGE_S):
            return
        told_at = now - age_s
        if record.hint is None or record.hint.told_at < told_at:
            record.hint = _Hint(pace, told_at)
            self._update(record, self._peers, now)

    def evaluate(self, now: float) -> None:
        """Update the paces from the samples."""
        for record in self._records.values():
            record.steps.update(now)
            record.tokens.update(now)
        self._peers = _Peers.of(self._records.values(), unproven=False)
        for record in self._records.values():
            self._update(record, self._peers, now)
        if all(record.pace for record in self._records.values()):
            return
        peers = _Peers.of(self._records.values(), unproven=True)
        for record in self._records.values():
            ratio = peers.ratio(
                record.steps.unproven(), record.tokens.unproven()
            )
            record.unproven = min(MAX_UNPROVEN_PACE, max(1.0, ratio))

    def known(self, name: str) -> float:
        """Return the pace of an engine; 0 if unknown."""
        record = self._records.get(name)
        return record.pace if record is not None else 0.0

    def pace(self, name: str) -> float:
        """Return the pace by which to choose; 1 if alike or unknown."""
        pace = self.known(name)
        return 1.0 if 1 / ALIKE < pace < ALIKE else pace or 1.0

    def for_health(self, reduced: Collection[str]) -> dict[str, float]:
        """Return what health must expect of each engine.

        :param reduced: engines that have been found slow or failing; without
            a lasting pace they must be as fast as their peers to recover
        """
        paces = {}
        for name, record in self._records.items():
            unproven = 1.0 if name in reduced else record.unproven
            paces[name] = self.pace(name) if record.pace else unproven
        return paces

    @property
    def names(self) -> Collection[str]:
        """The names of the engines."""
        return self._records.keys()

    def uneven(self) -> bool:
        """Return whether any engine differs from its peers."""
        return any(self.pace(name) != 1.0 for name in self._records)

    def _update(self, record: _Record, peers: _Peers, now: float) -> None:
        hint = record.hint
        if hint is not None and now - hint.told_at >= HINT_AGE_S:
            hint = record.hint = None
        own = peers.ratio(record.steps.figure, record.tokens.figure)
        count = max(record.steps.count, record.tokens.count) if own else 0
        if not count and hint is None:
            record.pace = 0.0
            return
        hinted = 0.0
        if hint is not None:
            hinted = HINT_WEIGHT * max(0.0, 1 - count / HINT_BUCKETS)
        total = count + max(hinted, PRIOR_WEIGHT)
        logs = count * log(own) if own else 0.0
        if hint is not None and hinted:
            logs += hinted * log(hint.pace)
        record.pace = min(MAX_PACE, max(1 / MAX_PACE, exp(logs / total)))


def _known_median(figures: Sequence[float]) -> float:
    """Return the median of known figures, if half of all are known."""
    known = [figure for figure in figures if figure > 0]
    if len(known) < 2 or 2 * len(known) < len(figures):
        return 0.0
    return median(known)


__all__ = ["HINT_AGE_S", "LastingPaces"]
