"""Takes slow and failing engines of a cell out by degrees."""

from __future__ import annotations

from dataclasses import dataclass, field
from statistics import median
from typing import TYPE_CHECKING

from mulberrypass.policy.health.samples import Peers, Samples

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping, Sequence

    from mulberrypass.policy.admission.settings import HealthSettings

MIN_SLOW_SAMPLES = 3
MIN_OVERDUE = 2
FULL_SHARE = 1.0


@dataclass(frozen=True, slots=True)
class HealthState:
    """What the dump shows of an engine's health.

    :param share: share of its slots that new work may fill
    :param ratio: how many times slower than its peers it last was
    :param why: what that ratio was seen in
    """

    share: float
    failures: int
    held_until: float
    ratio: float = 0.0
    why: str = ""


@dataclass(slots=True)
class _Record:
    first: Samples
    pace: Samples
    call: Samples
    share: float = FULL_SHARE
    failures: int = 0
    holds: int = 0
    held_until: float = 0.0
    probe_at: float = 0.0
    probe_wait_s: float = 0.0
    ratio: float = 0.0
    why: str = ""
    overdue: Sequence[float] = field(default_factory=tuple)

    def clear(self) -> None:
        self.first.clear()
        self.pace.clear()
        self.call.clear()


class HealthBoard:
    """Scores the engines of one cell against the median of their peers."""

    def __init__(self, settings: HealthSettings) -> None:
        self._settings = settings
        self._records: dict[str, _Record] = {}
        self._next_at = 0.0

    def set_engines(self, names: Collection[str]) -> None:
        """Set the engines that may get new work."""
        for name in tuple(self._records):
            if name not in names:
                del self._records[name]
        for name in names:
            if name not in self._records:
                self._records[name] = self._new_record()
        while len(self.reduced()) > self._most():
            self._restore_best()

    def share(self, name: str) -> float:
        """Give the share of an engine's slots that new work may fill."""
        record = self._records.get(name)
        return record.share if record else 0.0

    def reduced(self) -> list[str]:
        """Name the engines that are taken out in part."""
        return [n for n, r in self._records.items() if r.share < FULL_SHARE]

    def cap(self, name: str, slots: int, now: float) -> int:
        """Give the slots of an engine that may be filled now."""
        record = self._records.get(name)
        if record is None or now < record.held_until:
            return 0
        if record.share <= self._settings.out_share:
            return 1 if now >= record.probe_at else 0
        return max(1, int(slots * record.share))

    def probe_due(self, name: str, now: float) -> bool:
        """Whether a reduced engine is to get one piece of work now."""
        record = self._records.get(name)
        return (
            record is not None
            and record.share < FULL_SHARE
            and now >= max(record.probe_at, record.held_until)
        )

    def probed(self, name: str, now: float) -> None:
        """Note that a probe goes to a reduced engine."""
        record = self._records[name]
        first = self._settings.probe_interval_s
        longest = self._settings.max_probe_interval_s
        record.probe_wait_s = min(longest, max(first, record.probe_wait_s * 2))
        record.probe_at = now + record.probe_wait_s

    def first_token(self, name: str, value: float, now: float) -> None:
        """Take in a first token's time, relative to what was expected."""
        record = self._records.get(name)
        if record is not None:
            record.first.add(now, value)

    def pace(self, name: str, value: float, now: float) -> None:
        """Take in the time of a token, relative to what is usual."""
        record = self._records.get(name)
        if record is not None:
            record.failures = 0
            record.pace.add(now, value)

    def call(self, name: str, seconds: float, now: float) -> None:
        """Take in the time of a call that gave no tokens."""
        record = self._records.get(name)
        if record is not None:
            record.failures = 0
            record.call.add(now, seconds)

    def failed(self, name: str, now: float) -> None:
        """Take in a failure; several in a row hold the engine back."""
        record = self._records.get(name)
        if record is None:
            return
        record.failures += 1
        if record.failures < self._settings.failures:
            return
        if not self._make_room(name):
            return
        hold = self._settings.first_hold_s * 2.0**record.holds
        record.held_until = now + min(hold, self._settings.max_hold_s)
        record.holds += 1
        record.failures = 0
        record.probe_at = record.held_until
        record.share = self._settings.out_share

    def due(self, now: float) -> bool:
        """Whether shares are to be evaluated again."""
        return now >= self._next_at

    def evaluate(
        self, now: float, overdue: Mapping[str, Sequence[float]]
    ) -> None:
        """Change shares by the samples since the last change.

        :param overdue: ages of work that has no first token yet, relative
            to what was expected
        """
        self._next_at = now + self._settings.interval_s
        oldest = now - self._settings.sample_age_s
        for name, record in self._records.items():
            record.overdue = overdue.get(name, ())
            record.first.drop_old(oldest)
            record.pace.drop_old(oldest)
            record.call.drop_old(oldest)
        firsts = Peers.of(r.first for r in self._records.values())
        paces = Peers.of(r.pace for r in self._records.values())
        calls = Peers.of(r.call for r in self._records.values())
        ratios = {
            name: self._ratio(record, firsts, paces, calls)
            for name, record in self._records.items()
        }
        order = sorted(
            (n for n, r in ratios.items() if r is not None),
            key=lambda n: -(ratios[n] or 0.0),
        )
        for name in order:
            self._adjust(name, ratios[name] or 0.0)

    def state(self) -> dict[str, HealthState]:
        """Give what the dump shows."""
        return {
            name: HealthState(
                r.share, r.failures, r.held_until, r.ratio, r.why
            )
            for name, r in self._records.items()
        }

    def _adjust(self, name: str, ratio: float) -> None:
        record = self._records[name]
        record.ratio = ratio
        if ratio > self._settings.slow_ratio:
            if record.share == FULL_SHARE and self._at_limit():
                return
            share = record.share * self._settings.decrease_factor
            record.share = max(self._settings.out_share, share)
            record.clear()
        elif record.share < FULL_SHARE and ratio < self._settings.well_ratio:
            share = record.share + self._settings.increase_step
            record.clear()
            self._raise_share(record, share)

    def _raise_share(self, record: _Record, share: float) -> None:
        record.share = min(FULL_SHARE, share)
        record.probe_wait_s = 0.0
        if record.share == FULL_SHARE:
            record.holds = 0

    def _ratio(
        self, record: _Record, firsts: Peers, paces: Peers, calls: Peers
    ) -> float | None:
        """Give how many times slower than its peers an engine is.

        Calls without tokens speak only of services that give none.
        """
        ratios: list[tuple[float, str]] = []
        weight = self._settings.first_weight
        least = MIN_SLOW_SAMPLES if record.share == FULL_SHARE else 1
        usual = firsts.without(record.first)
        if usual and len(record.first) >= least:
            ratio = record.first.median() / usual * weight
            ratios.append((ratio, "first token"))
        if usual and len(record.overdue) >= min(MIN_OVERDUE, least):
            late = median(record.overdue) / usual * weight
            if late > self._settings.slow_ratio:
                ratios.append((late, "overdue"))
        usual = paces.without(record.pace)
        if usual and len(record.pace) >= least:
            ratios.append((record.pace.median() / usual, "pace"))
        usual = calls.without(record.call)
        plain = not paces.medians and not firsts.medians
        if plain and usual and len(record.call) >= least:
            ratios.append((record.call.median() / usual, "call"))
        if not ratios:
            return None
        ratio, record.why = max(ratios)
        return ratio

    def _make_room(self, name: str) -> bool:
        if self._records[name].share < FULL_SHARE or not self._at_limit():
            return True
        return self._restore_best()

    def _restore_best(self) -> bool:
        """Put the least slow reduced engine back in whole."""
        names = [n for n in self.reduced() if not self._records[n].holds]
        if not names and len(self.reduced()) > self._most():
            names = self.reduced()
        if not names:
            return False
        best = max(names, key=lambda n: self._records[n].share)
        self._records[best].held_until = 0.0
        self._records[best].clear()
        self._raise_share(self._records[best], FULL_SHARE)
        return True

    def _at_limit(self) -> bool:
        return len(self.reduced()) >= self._most()

    def _most(self) -> int:
        return len(self._records) // 2

    def _new_record(self) -> _Record:
        most = self._settings.samples
        return _Record(Samples(most), Samples(most), Samples(most))


__all__ = ["HealthBoard", "HealthState"]
