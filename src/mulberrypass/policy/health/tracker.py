"""Gradual removal of slow and failing engines of a cell."""

from __future__ import annotations

from dataclasses import dataclass, field
from statistics import median
from typing import TYPE_CHECKING

from mulberrypass.model.value_class import value_class
from mulberrypass.policy.health.samples import PeerMedians, Samples

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping, Sequence

    from mulberrypass.policy.admission.settings import HealthSettings

MIN_SLOW_SAMPLES = 3
MIN_PENDING = 2
FULL_SHARE = 1.0


@value_class
class HealthState:
    """Health of an engine, as shown in the state dump.

    :param share: share of its slots that new work may fill
    :param ratio: its last latency relative to its peers' median
    :param why: kind of latency that gave this ratio
    """

    share: float
    failures: int
    held_until: float
    ratio: float = 0.0
    why: str = ""


@dataclass(slots=True)
class _Record:
    first_tokens: Samples
    token_times: Samples
    calls: Samples
    share: float = FULL_SHARE
    failures: int = 0
    hold_count: int = 0
    held_until: float = 0.0
    probe_at: float = 0.0
    probe_wait_s: float = 0.0
    ratio: float = 0.0
    why: str = ""
    pace: float = 1.0
    pending_ages: Sequence[float] = field(default_factory=tuple)

    def clear(self) -> None:
        self.first_tokens.clear()
        self.token_times.clear()
        self.calls.clear()


class HealthTracker:
    """Compares each engine of a cell with the median of its peers.

    An engine that is slower for good is judged by its own lasting pace.
    At most half of the engines have a reduced share at any time.
    """

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
        while len(self.reduced()) > self._max_reduced():
            self._restore_best()

    def share(self, name: str) -> float:
        """Return the share of an engine's slots that new work may fill."""
        record = self._records.get(name)
        return record.share if record else 0.0

    def reduced(self) -> list[str]:
        """Return the names of the engines with a reduced share."""
        return [n for n, r in self._records.items() if r.share < FULL_SHARE]

    def cap(self, name: str, slots: int, now: float) -> int:
        """Return the number of slots of an engine that may be filled now."""
        record = self._records.get(name)
        if record is None or now < record.held_until:
            return 0
        if record.share <= self._settings.out_share:
            return 1 if now >= record.probe_at else 0
        return max(1, int(slots * record.share))

    def probe_due(self, name: str, now: float) -> bool:
        """Return whether a reduced engine should get a probe now."""
        record = self._records.get(name)
        return (
            record is not None
            and record.share < FULL_SHARE
            and now >= max(record.probe_at, record.held_until)
        )

    def record_probe(self, name: str, now: float) -> None:
        """Record a probe of a reduced engine and delay the next one."""
        record = self._records[name]
        first = self._settings.probe_interval_s
        longest = self._settings.max_probe_interval_s
        record.probe_wait_s = min(longest, max(first, record.probe_wait_s * 2))
        record.probe_at = now + record.probe_wait_s

    def record_first_token(self, name: str, value: float, now: float) -> None:
        """Record a time to first token, relative to the expected one."""
        record = self._records.get(name)
        if record is not None:
            record.first_tokens.add(now, value)

    def record_token_time(self, name: str, value: float, now: float) -> None:
        """Record a time per token, relative to the holder's baseline."""
        record = self._records.get(name)
        if record is not None:
            record.failures = 0
            record.token_times.add(now, value)

    def record_call(self, name: str, seconds: float, now: float) -> None:
        """Record the duration of a call without tokens."""
        record = self._records.get(name)
        if record is not None:
            record.failures = 0
            record.calls.add(now, seconds)

    def record_failure(self, name: str, now: float) -> None:
        """Record a failure; several in a row hold the engine back."""
        record = self._records.get(name)
        if record is None:
            return
        record.failures += 1
        if record.failures < self._settings.failures:
            return
        if not self._ensure_reducible(name):
            return
        hold = self._settings.first_hold_s * 2.0**record.hold_count
        record.held_until = now + min(hold, self._settings.max_hold_s)
        record.hold_count += 1
        record.failures = 0
        record.probe_at = record.held_until
        record.share = self._settings.out_share

    def due(self, now: float) -> bool:
        """Return whether the next evaluation is due."""
        return now >= self._next_at

    def evaluate(
        self,
        now: float,
        pending_ages: Mapping[str, Sequence[float]],
        paces: Mapping[str, float] | None = None,
    ) -> None:
        """Adjust the shares by the samples since the last change.

        :param pending_ages: ages of work without a first token, relative
            to the expected time to first token
        :param paces: lasting paces of engines; 1 for others
        """
        self._next_at = now + self._settings.interval_s
        oldest = now - self._settings.sample_age_s
        for name, record in self._records.items():
            record.pending_ages = pending_ages.get(name, ())
            record.pace = (paces or {}).get(name, 1.0)
            record.first_tokens.drop_old(oldest)
            record.token_times.drop_old(oldest)
            record.calls.drop_old(oldest)
        records = self._records.values()
        first_tokens = PeerMedians.of(
            (r.first_tokens, r.pace) for r in records
        )
        token_times = PeerMedians.of((r.token_times, r.pace) for r in records)
        calls = PeerMedians.of((r.calls, 1.0) for r in records)
        ratios = {
            name: self._ratio(record, first_tokens, token_times, calls)
            for name, record in self._records.items()
        }
        order = sorted(
            (n for n, r in ratios.items() if r is not None),
            key=lambda n: -(ratios[n] or 0.0),
        )
        for name in order:
            self._adjust(name, ratios[name] or 0.0)

    def state(self) -> dict[str, HealthState]:
        """Return the health of each engine for the state dump."""
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
            record.hold_count = 0

    def _ratio(
        self,
        record: _Record,
        first_tokens: PeerMedians,
        token_times: PeerMedians,
        calls: PeerMedians,
    ) -> float | None:
        """Return an engine's latency relative to its peers, if known.

        Calls without tokens count only if no engine has token samples.
        """
        ratios: list[tuple[float, str]] = []
        weight = self._settings.first_weight
        min_samples = MIN_SLOW_SAMPLES if record.share == FULL_SHARE else 1
        pace = record.pace
        peer_median = first_tokens.excluding(record.first_tokens, pace) * pace
        if peer_median and len(record.first_tokens) >= min_samples:
            ratio = record.first_tokens.median() / peer_median * weight
            ratios.append((ratio, "first token"))
        if peer_median and len(record.pending_ages) >= min(
            MIN_PENDING, min_samples
        ):
            late = median(record.pending_ages) / peer_median * weight
            if late > self._settings.slow_ratio:
                ratios.append((late, "overdue"))
        peer_median = token_times.excluding(record.token_times, pace) * pace
        if peer_median and len(record.token_times) >= min_samples:
            ratios.append((record.token_times.median() / peer_median, "pace"))
        peer_median = calls.excluding(record.calls, 1.0)
        plain = not token_times.medians and not first_tokens.medians
        if plain and peer_median and len(record.calls) >= min_samples:
            ratios.append((record.calls.median() / peer_median, "call"))
        if not ratios:
            return None
        ratio, record.why = max(ratios)
        return ratio

    def _ensure_reducible(self, name: str) -> bool:
        if self._records[name].share < FULL_SHARE or not self._at_limit():
            return True
        return self._restore_best()

    def _restore_best(self) -> bool:
        """Restore the reduced engine with the highest share in full.

        :returns: whether there was one
        """
        names = [n for n in self.reduced() if not self._records[n].hold_count]
        if not names and len(self.reduced()) > self._max_reduced():
            names = self.reduced()
        if not names:
            return False
        best = max(names, key=lambda n: self._records[n].share)
        self._records[best].held_until = 0.0
        self._records[best].clear()
        self._raise_share(self._records[best], FULL_SHARE)
        return True

    def _at_limit(self) -> bool:
        return len(self.reduced()) >= self._max_reduced()

    def _max_reduced(self) -> int:
        return len(self._records) // 2

    def _new_record(self) -> _Record:
        max_samples = self._settings.samples
        return _Record(
            Samples(max_samples), Samples(max_samples), Samples(max_samples)
        )


__all__ = ["HealthTracker", "HealthState"]
