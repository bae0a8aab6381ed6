"""Tests of group commit."""

from __future__ import annotations

import random
import unittest

from expression import Error, Ok

from mulberrypass.model.store import (
    Absent,
    Always,
    Check,
    Committed,
    Conflict,
    Op,
    Put,
    Throttled,
    Unavailable,
)
from mulberrypass.policy.storage.budget import Backoff
from mulberrypass.policy.storage.commit import (
    Entry,
    EntryOutcome,
    Flight,
    GroupCommit,
    GroupLimits,
)
from mulberrypass.testing.platform_faults import Faults
from mulberrypass.testing.platform_state import FakePlatform

BACKOFF = Backoff(floor_s=1.0, base_s=1.0, cap_s=8.0)


def _put(key: str) -> Put:
    return Put("t", key, {}, Always())


def _entry(ticket: int, *ops: Op, size: int = 10, until: float = 99) -> Entry:
    return Entry(ticket, ops, size, until)


def _tickets(flight: Flight | None) -> list[int]:
    return [e.ticket for e in flight.entries] if flight else []


class GroupCommitTest(unittest.TestCase):
    def group(self, *entries: Entry, limits: GroupLimits) -> GroupCommit:
        group = GroupCommit(limits, BACKOFF)
        for entry in entries:
            self.assertIsNone(group.add(entry, 0.0))
        return group

    def flights(self, *entries: Entry, limits: GroupLimits) -> list[list[int]]:
        group = self.group(*entries, limits=limits)
        found = []
        while group.waiting:
            found.append(_tickets(group.next_flight()))
        self.assertEqual(0, group.waiting_bytes)
        return found

    def test_packing(self) -> None:
        a, b, c = _put("a"), _put("b"), _put("c")
        check = Check("t", "a", Always())
        limits = GroupLimits(ops=3, bytes=100)
        table: tuple[
            tuple[str, list[tuple[Op, ...]], list[list[int]]], ...
        ] = (
            ("all fit", [(a,), (b,), (c,)], [[0, 1, 2]]),
            ("too many ops", [(a, b), (c, _put("d")), ()], [[0], [1, 2]]),
            ("one too large alone", [(a, b, c, _put("d")), (a,)], [[0], [1]]),
            ("same row in order", [(a,), (a,), (a,), (b,)], [[0, 3], [1],
             [2]]),
            ("a skipped entry blocks its rows", [(a,), (a, b), (b,), (c,)],
             [[0, 3], [1], [2]]),
            ("checks share a row", [(check,), (check, b)], [[0, 1]]),
            ("a check waits for a write", [(a,), (check,)], [[0], [1]]),
            ("a write waits for a check", [(check,), (a,)], [[0], [1]]),
        )  # fmt: skip
        for name, entries, expected in table:
            with self.subTest(name):
                made = [
                    _entry(ticket, *ops) for ticket, ops in enumerate(entries)
                ]
                self.assertEqual(expected, self.flights(*made, limits=limits))

    def test_size_limits_a_flight_and_the_queue(self) -> None:
        limits = GroupLimits(bytes=25, waiting=4, waiting_bytes=45)
        made = [_entry(n, _put(str(n)), size=10) for n in range(4)]
        self.assertEqual([[0, 1], [2, 3]], self.flights(*made, limits=limits))
        group = self.group(*made, limits=limits)
        for entry in (_entry(9, _put("x")), _entry(9, _put("x"), size=1)):
            self.assertIsInstance(group.add(entry, 0.0), Throttled)
        self.assertEqual(2, group.counters.rejected)
        self.assertEqual([0, 1], _tickets(group.next_flight()))
        self.assertIsNone(group.add(entry, 0.0))

    def test_results_of_a_flight(self) -> None:
        entries = (
            _entry(1, _put("a"), _put("b")),
            _entry(2, _put("c")),
            _entry(3, _put("d"), _put("e")),
        )
        away = Unavailable("away", maybe_applied=False)
        unsure = Unavailable("lost", maybe_applied=True)
        committed = [
            EntryOutcome(1, Ok(Committed((1, 2)))),
            EntryOutcome(2, Ok(Committed((3,)))),
            EntryOutcome(3, Ok(Committed((4, 5)))),
        ]
        for name, result, settled, left, retry_in_s in (
            ("ok", Ok(Committed((1, 2, 3, 4, 5))), committed, [], 0.0),
            ("first", Error(Conflict(1, None)),
             [EntryOutcome(1, Error(Conflict(1, None)))], [2, 3], 0.0),
            ("middle", Error(Conflict(2, None)),
             [EntryOutcome(2, Error(Conflict(0, None)))], [1, 3], 0.0),
            ("last", Error(Conflict(4, None)),
             [EntryOutcome(3, Error(Conflict(1, None)))], [1, 2], 0.0),
            ("away", Error(away), [], [1, 2, 3], 1.5),
            ("rate", Error(Throttled(4.0)), [], [1, 2, 3], 6.0),
            ("unsure", Error(unsure),
             [EntryOutcome(n, Error(unsure)) for n in (1, 2, 3)], [], 1.5),
        ):  # fmt: skip
            with self.subTest(name):
                group = self.group(*entries, limits=GroupLimits())
                late = _entry(4, _put("z"))
                flight = group.next_flight()
                assert flight is not None
                self.assertEqual(5, len(flight.ops))
                self.assertIsNone(group.add(late, 0.0))
                found = group.handle_result(flight, result, 10.0, jitter=0.5)
                self.assertEqual(settled, found)
                self.assertEqual(
                    max(0.0, retry_in_s), max(0.0, group.retry_at - 10.0)
                )
                self.assertEqual([*left, 4], _tickets(group.next_flight()))
                self.assertEqual(0, group.waiting_bytes)

    def test_failures_back_off_until_an_answer(self) -> None:
        group = self.group(_entry(1, _put("a")), limits=GroupLimits())
        waits = []
        for _ in range(6):
            flight = group.next_flight()
            assert flight is not None
            away = Unavailable("away", maybe_applied=False)
            group.handle_result(flight, Error(away), 0.0, jitter=1.0)
            waits.append(group.retry_at)
        self.assertEqual([2.0, 3.0, 5.0, 9.0, 9.0, 9.0], waits)
        flight = group.next_flight()
        assert flight is not None
        group.handle_result(flight, Ok(Committed((1,))), 0.0, 1.0)
        self.assertEqual(0, group.failures_in_a_row)
        self.assertLess(group.retry_at, 0.0)

    def test_expired_entries_fail_as_not_written(self) -> None:
        group = self.group(
            _entry(1, _put("a"), until=5.0),
            _entry(2, _put("b"), until=3.0),
            _entry(3, _put("c"), until=9.0),
            limits=GroupLimits(),
        )
        self.assertEqual(3.0, group.next_expiry)
        self.assertEqual([], group.expire(2.9))
        settled = group.expire(5.0)
        self.assertEqual([1, 2], [s.ticket for s in settled])
        for outcome in settled:
            error = outcome.result.error
            self.assertEqual(Unavailable("not written in time", False), error)
        self.assertEqual(9.0, group.next_expiry)
        self.assertEqual([3], _tickets(group.next_flight()))

    def test_random_entries_finish_once_with_the_outcome_of_a_lone_write(
        self,
    ) -> None:
        for seed in range(60):
            with self.subTest(seed=seed):
                self.run_random(random.Random(seed))

    def run_random(self, rng: random.Random) -> None:
        platform = FakePlatform(seed=rng.randrange(1_000))
        group = GroupCommit(GroupLimits(ops=rng.choice((4, 20))), BACKOFF)
        results: dict[int, EntryOutcome] = {}
        now = 0.0
        for ticket in range(40):
            keys = rng.sample("abcdefghij", rng.randint(1, 3))
            ops = tuple(
                Put("t", key, {"by": ticket}, Absent()) for key in keys
            )
            group.add(Entry(ticket, ops, 10, now + 50.0), now)
            while group.waiting and rng.random() < 0.5:
                platform.set_faults(Faults(outage=rng.random() < 0.2))
                now = self.fly(group, platform, results, now, rng)
        platform.set_faults(Faults())
        while group.waiting:
            now = self.fly(group, platform, results, now, rng)
        self.assertEqual(set(range(40)), set(results))
        stored = {row.key: row.row["by"] for row in platform.all_rows("t")}
        done = [t for t, s in results.items() if s.result.is_ok()]
        self.assertEqual(set(done), set(stored.values()))

    def fly(
        self,
        group: GroupCommit,
        platform: FakePlatform,
        results: dict[int, EntryOutcome],
        now: float,
        rng: random.Random,
    ) -> float:
        flight = group.next_flight()
        assert flight is not None
        rows = [(op.table, op.key) for op in flight.ops]
        self.assertEqual(len(rows), len(set(rows)))
        result = platform.transact(flight.ops)
        now += rng.random()
        outcomes = group.handle_result(flight, result, now, rng.random())
        now = max(now, group.retry_at)
        for outcome in outcomes + group.expire(now):
            self.assertNotIn(outcome.ticket, results)
            results[outcome.ticket] = outcome
        return now


if __name__ == "__main__":
    unittest.main()
