"""Tests of recorded requests with lost replies, outages and crashes."""

from __future__ import annotations

from concurrent.futures import ThreadPoolExecutor
from dataclasses import replace
from functools import partial
import itertools
import time
from typing import TYPE_CHECKING
import unittest

from mulberrypass.model.member import Member
from mulberrypass.model.outcome import Ran
from mulberrypass.online.call import Completed, Failed
from mulberrypass.online.execution import OnlineDependencies, new_ask_numbers
from mulberrypass.online.recorded import RecordedRuns
from mulberrypass.online.records import EXPIRY_TABLE, Records, RecordState
from mulberrypass.online.recovery import LOST_AFTER_S, Sweeper
from mulberrypass.online.shared import SharedPolicy
from mulberrypass.peer.api import Membership
from mulberrypass.policy.messages import RefusalReason, Refuse
from mulberrypass.runtime.metrics import Metrics
from mulberrypass.testing.platform_faults import CallFault, Faults
from mulberrypass.testing.platform_memory import MemoryTable
from mulberrypass.testing.platform_state import FakePlatform
from tests.online.fakes import (
    BOOKING,
    DOCK,
    FakeBackends,
    FixedConfiguration,
    ScriptedPermits,
    make_call,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from mulberrypass.online.call import CallEvent

UNHEDGED = replace(DOCK, hedge=False)
DEADLINE_AT = 1e12


class FixedMembership(Membership):
    """A fixed set of members."""

    def __init__(self, *members: Member) -> None:
        self.known = members

    def members(self, program: str) -> tuple[Member, ...]:
        return self.known

    def live(self, program: str) -> tuple[Member, ...]:
        return self.known

    def leaving_backends(self) -> frozenset[str]:
        return frozenset()

    def report_leaving_backend(self, backend: str) -> None:
        raise NotImplementedError

    def subscribe(self, changed: Callable[[], None]) -> None:
        raise NotImplementedError


class Instance:
    """One instance's recorded requests, on a shared platform."""

    def __init__(
        self,
        name: str,
        platform: FakePlatform,
        backends: FakeBackends,
        incarnation: int = 1,
        permits: ScriptedPermits | None = None,
    ) -> None:
        self.me = Member(name, "entry", "z", "127.0.0.1", incarnation)
        self.executor = ThreadPoolExecutor(4)
        self.configuration = FixedConfiguration()
        self.records = Records(MemoryTable(platform), name, incarnation)
        deps = OnlineDependencies(
            member=name,
            permits=permits or ScriptedPermits(),
            backends=backends,  # type: ignore[arg-type]
            configuration=self.configuration,
            executor=self.executor,
            metrics=Metrics("test"),
            policy=SharedPolicy(),
            ask_numbers=new_ask_numbers(),
        )
        runners = ThreadPoolExecutor(4)
        self.runners = runners
        self.runs = RecordedRuns(
            deps, self.records, runners, 4, sleep=lambda _s: None
        )

    def sweeper(self, *known: Member) -> Sweeper:
        return Sweeper(
            self.me,
            FixedMembership(*known),
            self.configuration,
            self.records,
            self.runs,
        )

    def settle(self) -> None:
        """Wait until all runs have ended."""
        self.runners.shutdown()
        self.executor.shutdown()


def last(events: list[CallEvent]) -> Completed | Failed:
    end = events[-1]
    assert isinstance(end, Completed | Failed)
    return end


class RecordedRunsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.platform = FakePlatform(sleep=lambda _s: None)
        self.backends = FakeBackends()

    def instance(self, name: str, incarnation: int = 1) -> Instance:
        return Instance(name, self.platform, self.backends, incarnation)

    def started(self) -> int:
        engines = self.backends.engines.values()
        plains = self.backends.plains.values()
        on_engines = sum(len(engine.started) for engine in engines)
        return on_engines + sum(len(plain.started) for plain in plains)

    def test_resend_to_another_instance_returns_the_same_outcome(self) -> None:
        one, two = self.instance("entry@1"), self.instance("entry@2")
        first = last(
            list(one.runs.events(make_call(UNHEDGED, "r-1"), DEADLINE_AT))
        )
        again = last(
            list(two.runs.events(make_call(UNHEDGED, "r-1"), DEADLINE_AT))
        )
        self.assertEqual(first, again)
        assert isinstance(first, Completed)
        self.assertTrue(first.recorded)
        self.assertEqual(1, self.started())

    def test_different_request_with_the_same_key_is_refused(self) -> None:
        one = self.instance("entry@1")
        list(one.runs.events(make_call(UNHEDGED, "r-1"), DEADLINE_AT))
        changed = replace(make_call(UNHEDGED, "r-1"), payload="another")
        outcome = last(list(one.runs.events(changed, DEADLINE_AT)))
        assert isinstance(outcome, Failed)
        self.assertEqual((409, Ran.NO), (outcome.status, outcome.ran))

    def test_store_down_refuses_as_not_run(self) -> None:
        one = self.instance("entry@1")
        self.platform.set_faults(Faults(outage=True))
        outcome = last(
            list(one.runs.events(make_call(UNHEDGED, "r-1"), DEADLINE_AT))
        )
        assert isinstance(outcome, Failed)
        self.assertEqual((503, Ran.NO), (outcome.status, outcome.ran))
        self.assertEqual(0, self.started())

    def test_refused_request_leaves_no_record(self) -> None:
        refuse = Refuse("", RefusalReason.DEADLINE, 0.1)
        permits = ScriptedPermits(refuse)
        one = Instance("entry@1", self.platform, self.backends, 1, permits)
        outcome = last(
            list(one.runs.events(make_call(UNHEDGED, "r-1"), DEADLINE_AT))
        )
        assert isinstance(outcome, Failed)
        self.assertEqual(Ran.NO, outcome.ran)
        self.assertEqual((), self.platform.all_rows("request"))
        self.assertEqual((), self.platform.all_rows("pending"))
        again = last(
            list(one.runs.events(make_call(UNHEDGED, "r-1"), DEADLINE_AT))
        )
        self.assertIsInstance(again, Completed)

    def test_all_fault_sequences_of_three_writes(self) -> None:
        """Whichever writes fail, there is one outcome and it is durable."""
        faults = (
            CallFault.PASS,
            CallFault.LOSE_REPLY,
            CallFault.LOSE_REQUEST,
            CallFault.REFUSE,
        )
        services = (("slip", UNHEDGED), ("booking", BOOKING))
        for script in itertools.product(faults, repeat=3):
            for name, service in services:
                with self.subTest(script=script, service=name):
                    self.setUp()
                    self._one_faulty_run(script, service is BOOKING)

    def _one_faulty_run(
        self, script: tuple[CallFault, ...], once: bool
    ) -> None:
        permits = ScriptedPermits(*["p-1"] * 9) if once else None
        one = Instance("entry@1", self.platform, self.backends, 1, permits)
        two = Instance("entry@2", self.platform, self.backends)
        self.platform.script_writes(script)
        service = BOOKING if once else UNHEDGED
        call = make_call(service, "r-1")
        reply = last(list(one.runs.events(call, DEADLINE_AT)))
        one.settle()
        if isinstance(reply, Failed) and reply.ran is Ran.NO:
            self.assertEqual(0, self.started())
            return
        sweeper = two.sweeper(two.me)
        for turn in range(len(script) + 2):
            sweeper.sweep(turn * LOST_AFTER_S)
        two.settle()
        if script[0] is CallFault.LOSE_REQUEST:
            self.assertEqual((), self.platform.all_rows("pending"))
            self.assertEqual(0, self.started())
            return
        (row,) = self.platform.all_rows("request")
        self.assertEqual("done", row.row["state"])
        self.assertEqual((), self.platform.all_rows("pending"))
        if isinstance(reply, Completed) and reply.recorded:
            self.assertEqual(reply.output, row.row["outcome"]["output"])
        if once:
            self.assertLessEqual(self.started(), 1)

    def test_unconfirmed_acceptance_is_run_by_its_own_instance(self) -> None:
        one = self.instance("entry@1")
        self.platform.script_writes([CallFault.LOSE_REPLY])
        reply = last(
            list(one.runs.events(make_call(UNHEDGED, "r-1"), DEADLINE_AT))
        )
        assert isinstance(reply, Failed)
        self.assertEqual(Ran.MAYBE, reply.ran)
        self.assertEqual(1, one.sweeper(one.me).sweep(0.0))
        one.settle()
        (row,) = self.platform.all_rows("request")
        self.assertEqual("done", row.row["state"])
        self.assertEqual(frozenset(), one.runs.unconfirmed())

    def test_request_of_a_lost_instance_is_taken_over(self) -> None:
        one, two = self.instance("entry@1"), self.instance("entry@2")
        call = make_call(UNHEDGED, "r-1")
        self.assertTrue(one.records.accept(call, DEADLINE_AT).is_ok())
        sweeper = two.sweeper(two.me)
        self.assertEqual(0, sweeper.sweep(0.0))
        self.assertEqual(1, sweeper.sweep(LOST_AFTER_S))
        two.settle()
        found = two.records.read("r-1").ok
        assert found is not None
        self.assertEqual(RecordState.DONE, found.state)
        self.assertIsInstance(found.outcome, Completed)

    def test_only_requests_of_lost_incarnations_are_taken_over(self) -> None:
        one, two = self.instance("entry@1"), self.instance("entry@2")
        one.records.accept(make_call(UNHEDGED, "r-1"), DEADLINE_AT)
        restarted = replace(one.me, incarnation=2)
        for known, taken in ((one.me, 0), (restarted, 1)):
            with self.subTest(incarnation=known.incarnation):
                sweeper = two.sweeper(two.me, known)
                sweeper.sweep(0.0)
                self.assertEqual(taken, sweeper.sweep(LOST_AFTER_S))

    def test_outcome_is_removed_after_its_retention(self) -> None:
        one = self.instance("entry@1")
        list(one.runs.events(make_call(UNHEDGED, "r-1"), DEADLINE_AT))
        hour = 3_600
        retention_s = UNHEDGED.result_ttl_s
        for later_s, left in (
            (retention_s - 1, 1),
            (retention_s + 2 * hour, 0),
        ):
            with self.subTest(later_s=later_s):
                wall = time.time() + later_s
                records = Records(
                    MemoryTable(self.platform),
                    "entry@2",
                    1,
                    partial(float, wall),
                )
                self.assertEqual(1 - left, records.remove_expired())
                self.assertEqual(left, len(self.platform.all_rows("request")))
        self.assertEqual((), self.platform.all_rows(EXPIRY_TABLE))

    def test_started_non_idempotent_request_is_indeterminate(self) -> None:
        one, two = self.instance("entry@1"), self.instance("entry@2")
        accepted = one.records.accept(make_call(BOOKING, "r-1"), DEADLINE_AT)
        started = one.records.start(accepted.ok)
        sweeper = two.sweeper(two.me)
        sweeper.sweep(0.0)
        sweeper.sweep(LOST_AFTER_S)
        two.settle()
        found = two.records.read("r-1").ok
        assert found is not None
        assert isinstance(found.outcome, Failed)
        self.assertEqual("indeterminate", found.outcome.code)
        self.assertEqual(0, self.started())
        late = one.records.finish(started.ok, Completed({}, "stop", 0, "p-1"))
        self.assertTrue(late.is_error(), "a paused holder is fenced")
