"""Tests of the step model of an engine."""

from __future__ import annotations

import unittest

from mulberrypass.testing.engine_step import EngineShape, Sequence, StepModel


class StepModelTest(unittest.TestCase):
    def test_step_duration(self) -> None:
        for prompts, duration_s in (
            ((), 0.015),
            ((100,), 0.015 + 0.000_15 + 0.005),
            ((400, 400), 0.015 + 0.000_3 + 0.025_6),
        ):
            with self.subTest(prompts=prompts):
                model = StepModel(EngineShape())
                for index, tokens in enumerate(prompts):
                    model.add(Sequence(str(index), tokens, 1))
                self.assertAlmostEqual(duration_s, model.begin())

    def test_prefill_in_order_of_admission(self) -> None:
        model = StepModel(EngineShape())
        model.add(Sequence("long", 1_000, 2))
        model.add(Sequence("short", 20, 2))
        advanced = []
        for _ in range(3):
            model.begin()
            advanced.append([s.request_id for s in model.end()])
        self.assertEqual([[], ["long", "short"], ["long", "short"]], advanced)
        self.assertTrue(model.idle)

    def test_slots_and_memory_limit_running_sequences(self) -> None:
        for shape, running in (
            (EngineShape(slots=2), 2),
            (EngineShape(kv_tokens=45), 4),
            (EngineShape(kv_tokens=1), 1),
        ):
            with self.subTest(shape=shape):
                model = StepModel(shape)
                for index in range(6):
                    model.add(Sequence(str(index), 6, 5))
                model.begin()
                self.assertEqual(running, model.running)
                self.assertEqual(6 - running, model.waiting)
                self.assertEqual(11 * running, model.kv_used)

    def test_removed_sequences_release_memory(self) -> None:
        model = StepModel(EngineShape(slots=1))
        for name in ("a", "b", "c"):
            model.add(Sequence(name, 600, 5))
        model.begin()
        model.remove("a")
        model.remove("b")
        model.end()
        model.begin()
        self.assertEqual((1, 0, 605), (model.running, 0, model.kv_used))

    def test_cached_blocks_skip_prefill_until_evicted(self) -> None:
        changes: list[tuple[int, bool]] = []
        model = StepModel(
            EngineShape(cache_tokens=48),
            lambda block, stored: changes.append((block, stored)),
        )

        def prefilled(blocks: tuple[int, ...]) -> float:
            tokens = len(blocks) * 16
            model.add(Sequence("s", tokens, 1, blocks))
            prefill_s = model.begin() - 0.015 - 0.000_15
            model.end()
            return round(prefill_s / 0.000_05)

        self.assertEqual(32, prefilled((1, 2)))
        self.assertEqual(1, prefilled((1, 2)))
        self.assertEqual(16, prefilled((1, 3)))
        self.assertEqual(16, prefilled((4,)))
        self.assertIn((2, False), changes)
        self.assertEqual(16, prefilled((1, 2)))
