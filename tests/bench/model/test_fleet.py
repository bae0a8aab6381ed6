"""Tests of workloads, the fleet simulation and experiment results."""

from __future__ import annotations

from functools import partial
import json
import unittest

from mulberrypass.bench.load.recorder import Recorder
from mulberrypass.bench.load.workload import (
    ONLINE_SIZES,
    Arrival,
    RequestSize,
    SizeRange,
    engine_capacity,
    poisson_arrivals,
)
from mulberrypass.bench.model.fleet import ModelFleet, Scenario, Slowdown
from mulberrypass.bench.model.policies import (
    CellPolicy,
    LeastOutstanding,
    NoPriority,
    RoundRobin,
)
from mulberrypass.bench.results import (
    ExperimentResult,
    at_least,
    at_most,
    make_row,
)
from mulberrypass.testing.engine_step import EngineShape

POLICIES = (RoundRobin, LeastOutstanding, NoPriority, CellPolicy)


class WorkloadTest(unittest.TestCase):
    def test_arrivals_depend_on_seed_and_rate(self) -> None:
        draw = partial(poisson_arrivals, 50.0, 100.0, ONLINE_SIZES, "a")
        arrivals = list(draw(7))
        self.assertEqual(arrivals, list(draw(7)))
        self.assertNotEqual(arrivals, list(draw(8)))
        self.assertAlmostEqual(5_000, len(arrivals), delta=300)
        self.assertTrue(all(0 < a.at < 100 for a in arrivals))

    def test_engine_sustains_its_capacity(self) -> None:
        sizes = SizeRange(100, 100, 50, 50)
        rate = engine_capacity(EngineShape(), sizes)
        for share, sustained in ((0.9, True), (1.3, False)):
            with self.subTest(share=share):
                online = tuple(
                    poisson_arrivals(rate * share, 40.0, sizes, "a", 1)
                )
                scenario = Scenario(40.0, online, engines=1)
                measured = ModelFleet(scenario, RoundRobin).run()
                tail_ms = measured.online.first.summary().p99_ms
                self.assertEqual(sustained, tail_ms < 1_000)


class ModelFleetTest(unittest.TestCase):
    def test_request_latency_follows_the_step_model(self) -> None:
        online = (Arrival(1.0, RequestSize(100, 3), "a"),)
        scenario = Scenario(9.0, online, warm_up_s=0.0, engines=1)
        measured = ModelFleet(scenario, RoundRobin).run()
        first = measured.online.first.summary().max_ms
        # Two network delays and one step with prefill, then two steps.
        self.assertAlmostEqual(3.0 + 20.15, first, delta=0.1)
        total = measured.online.total.summary().max_ms
        self.assertAlmostEqual(3.0 + 20.15 + 2 * 15.15, total, delta=0.1)

    def test_every_policy_finishes_online_work(self) -> None:
        online = tuple(poisson_arrivals(20.0, 5.0, ONLINE_SIZES, "a", 3))
        for policy in POLICIES:
            with self.subTest(policy=policy.__name__):
                scenario = Scenario(
                    40.0, online, True, warm_up_s=0.0, engines=2
                )
                measured = ModelFleet(scenario, policy).run()
                self.assertEqual(len(online), measured.online.done)
                self.assertGreater(measured.batch_done, 0)

    def test_slow_engines_raise_the_tail_latency(self) -> None:
        online = tuple(poisson_arrivals(60.0, 10.0, ONLINE_SIZES, "a", 3))
        tails = []
        for factor in (1.0, 10.0):
            slowdown = Slowdown((0,), factor, 0.0, 10.0)
            scenario = Scenario(30.0, online, slowdown=slowdown, engines=2)
            measured = ModelFleet(scenario, RoundRobin).run()
            tails.append(measured.online.first.summary().p99_ms)
        self.assertGreater(tails[1], 3 * tails[0])


class ResultsTest(unittest.TestCase):
    def test_targets_in_json_and_table(self) -> None:
        recorder = Recorder()
        for ms in range(1, 101):
            recorder.first.record(ms / 1_000)
        targets = (
            at_most("a", 1.0, 1.0),
            at_most("b", 1.1, 1.0),
            at_least("c", 0.9, 0.9),
            at_least("d", float("nan"), 0.9),
        )
        result = ExperimentResult(
            "x", "model", 1, 2.0, [make_row("r", recorder)], targets
        )
        doc = json.loads(result.to_json())
        met = [target["met"] for target in doc["targets"]]
        self.assertEqual([True, False, True, False], met)
        first = doc["rows"][0]["first"]
        self.assertAlmostEqual(99.0, first["p99_ms"], delta=0.2)
        self.assertEqual(2, result.table().count("MISSED"))
