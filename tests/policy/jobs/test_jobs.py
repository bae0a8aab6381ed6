"""Tests of the assignment of lots and the progress of jobs."""

from __future__ import annotations

from dataclasses import replace
import unittest

from mulberrypass.policy.jobs.churn import ChurnDetector
from mulberrypass.policy.jobs.commands import (
    FleetView,
    FlushAges,
    HolderSettings,
    JobSnapshot,
    LeaseNext,
    Poll,
    TakeOver,
)
from mulberrypass.policy.jobs.holder import LotHolder
from mulberrypass.policy.jobs.jobs import (
    HeldLot,
    Holder,
    JobState,
    LotCounts,
    OpenJob,
    active_holders,
    lease_order,
    orphaned_lots,
    view,
)
from mulberrypass.policy.jobs.lots import LotKey, LotTerms
from mulberrypass.policy.jobs.polls import PollSchedule

OWN = Holder("batch@a", 5)
JOB = OpenJob("j-1", "x", "s", 100.0, 1.0, 3, 1)


class TestView(unittest.TestCase):
    """The counts add up in every state."""

    def test_counts(self) -> None:
        lots = [LotCounts(done=3, failed=1), LotCounts(indeterminate=1)]
        table = (
            (JobState.RUNNING, False, 0, 5, 10.0),
            (JobState.CANCELLED, False, 0, 5, None),
            (JobState.CANCELLED, True, 5, 0, 0.0),
        )
        for state, settled, cancelled, pending, remaining in table:
            with self.subTest(state=state, settled=settled):
                shown = view(state, 10, lots, settled, 10.0)
                self.assertEqual(cancelled, shown.cancelled)
                self.assertEqual(pending, shown.pending)
                self.assertEqual(remaining, shown.remaining_s)
                self.assertEqual(
                    (3, 1, 1), (shown.done, shown.failed, shown.indeterminate)
                )


class TestLeaseOrder(unittest.TestCase):
    """Lots are leased fairly across customers, then by due time."""

    def test_active_holders(self) -> None:
        names = [f"batch@{n}" for n in range(10)]
        chosen = active_holders(names, 600, 192)
        self.assertEqual(4, len(chosen))
        self.assertEqual(chosen, active_holders(names[::-1], 600, 192))
        left = active_holders([n for n in names if n != chosen[1]], 600, 192)
        self.assertEqual(3, len(set(chosen) & set(left)))
        for few, slots, count in ((names, 0, 2), (names[:1], 600, 1)):
            self.assertEqual(count, len(active_holders(few, slots, 192)))

    def test_order(self) -> None:
        many = [replace(JOB, job=f"j-x{n}", due=float(n)) for n in range(3)]
        other = replace(JOB, job="j-y", customer="y", due=50.0)
        held = [
            HeldLot(LotKey("j-x0", n), "x", "batch@b", 1) for n in range(2)
        ]
        table: tuple[
            tuple[
                str,
                list[OpenJob],
                list[HeldLot],
                dict[str, float],
                list[str],
            ],
            ...,
        ] = (
            ("by due time", many, [], {}, ["j-x0", "j-x1", "j-x2"]),
            (
                "customers take turns",
                [*many, other],
                [],
                {},
                ["j-x0", "j-y", "j-x1", "j-x2"],
            ),
            (
                "held lots count",
                [*many, other],
                held,
                {},
                ["j-y", "j-x0", "j-x1", "j-x2"],
            ),
            (
                "by weight",
                [*many, other],
                held,
                {"x": 10.0},
                ["j-x0", "j-x1", "j-x2", "j-y"],
            ),
        )
        for name, jobs, running, weights, expected in table:
            with self.subTest(name):
                order = lease_order(jobs, running, weights)
                self.assertEqual(expected, [job.job for job in order])

    def test_orphaned_lots(self) -> None:
        key = LotKey("j-1", 0)
        live = {"batch@a": 5, "batch@b": 7}
        table = (
            ("live", "batch@b", 7, (), False),
            ("an older incarnation", "batch@b", 6, (), True),
            ("gone", "batch@c", 1, (), True),
            ("own and held", "batch@a", 5, (key,), False),
            ("own, and forgotten", "batch@a", 5, (), True),
        )
        for name, holder, incarnation, keys, lost in table:
            with self.subTest(name):
                held = HeldLot(key, "x", holder, incarnation)
                found = orphaned_lots([held], live, OWN, keys)
                self.assertEqual(lost, bool(found))


class TestFlushAges(unittest.TestCase):
    """The rate of flushes by age doesn't grow with the holders."""

    def test_ages(self) -> None:
        ages = FlushAges(5.0, 60.0, 2.0)
        for holders, expected in ((1, 5.0), (40, 20.0), (500, 60.0)):
            with self.subTest(holders=holders):
                self.assertEqual(expected, ages.age_s(holders))


class TestChurnDetector(unittest.TestCase):
    """Lost and restarted members count as churn, new members don't."""

    def test_changes_of_members(self) -> None:
        known = {"batch@a": 1, "batch@b": 1}
        rows = (
            (known, False),
            (known | {"batch@c": 1}, False),
            (known | {"batch@b": 2}, True),
            ({"batch@a": 1}, True),
        )
        for live, active in rows:
            with self.subTest(live=live):
                churn = ChurnDetector(60.0)
                churn.observe(known, 0.0)
                churn.observe(live, 1.0)
                churn.observe(live, 2.0)
                self.assertEqual(active, churn.active(60.9))
                self.assertFalse(churn.active(61.0))


class TestPollSchedule(unittest.TestCase):
    """No work starts after an old poll, except during an outage."""

    def setUp(self) -> None:
        """Answer a first poll that was sent at 0."""
        self.polls = PollSchedule(HolderSettings())
        self.assertTrue(self.polls.due(busy=True, now=0.0))
        self.assertTrue(self.polls.blocked(0.0))
        self.polls.answered()

    def test_slow_answer(self) -> None:
        self.assertTrue(self.polls.due(busy=True, now=1.0))
        for now, blocked in ((1.9, False), (2.0, True)):
            self.polls.due(busy=True, now=now)
            self.assertEqual(blocked, self.polls.blocked(now))
        self.polls.answered()
        self.assertFalse(self.polls.blocked(2.9))

    def test_failures(self) -> None:
        for unavailable, blocked in ((True, False), (False, True)):
            with self.subTest(unavailable=unavailable):
                self.setUp()
                self.polls.due(busy=True, now=1.0)
                self.polls.failed(unavailable)
                for now in (1.5, 2.0, 2.5):
                    self.polls.due(busy=True, now=now)
                self.assertEqual(blocked, self.polls.blocked(2.5))

    def test_pause(self) -> None:
        self.polls.due(busy=True, now=1.0)
        self.polls.due(busy=True, now=9.0)
        self.polls.failed(unavailable=True)
        self.polls.due(busy=True, now=9.1)
        self.assertTrue(self.polls.blocked(9.1))
        self.polls.failed(unavailable=True)
        self.polls.due(busy=True, now=9.2)
        self.assertFalse(self.polls.blocked(9.2))


class TestLotHolder(unittest.TestCase):
    """A holder takes over lots of lost members only."""

    def commands(
        self, live: dict[str, int], until: float, idempotent: bool
    ) -> list[object]:
        """Return the commands of a holder that sees another holder's lot."""
        holder = LotHolder(
            OWN,
            HolderSettings(),
            lambda job: LotTerms(
                job.customer, job.service, idempotent, 3, job.due
            ),
        )
        held = HeldLot(LotKey("j-1", 0), "x", "batch@b", 1)
        fleet = FleetView(live, ("batch@a",), 10, {})
        now = 0.0
        found: list[object] = []
        while now <= until:
            holder.tick(fleet, now)
            for command in holder.take_commands():
                found.append(command)
                if isinstance(command, Poll):
                    holder.polled(JobSnapshot((JOB,), (held,)), now)
                if isinstance(command, LeaseNext):
                    holder.not_leased(True, now)
            now += 0.5
        return found

    def test_takeover(self) -> None:
        table: tuple[tuple[str, dict[str, int], float, bool, bool], ...] = (
            ("live", {"batch@b": 1}, 20.0, True, False),
            ("not known yet", {}, 9.0, True, False),
            ("gone", {}, 11.0, True, True),
            ("started again", {"batch@b": 2}, 1.0, False, True),
            ("gone, non-idempotent", {}, 9.5, False, False),
            ("gone for long, non-idempotent", {}, 12.0, False, True),
        )
        for name, live, until, idempotent, taken in table:
            with self.subTest(name):
                members = {"batch@a": 5, **live}
                commands = self.commands(members, until, idempotent)
                found = any(isinstance(c, TakeOver) for c in commands)
                self.assertEqual(taken, found)
