"""Tests of bodies that are held until they are whole."""

from __future__ import annotations

from concurrent.futures import ThreadPoolExecutor
import unittest

from mulberrypass.engine.api import EngineFailed
from mulberrypass.engine.wire import CUT, Deadline, WireError
from mulberrypass.model.outcome import Ran
from mulberrypass.policy.held_bytes import ByteLimits
from mulberrypass.relay.whole_body import (
    BLOCK_BYTES,
    TURNED_AWAY,
    HeldBodies,
    HeldBody,
    read_whole,
)
from tests.quiet import captured_logs
from tests.relay.fakes import Script, ScriptedAnswer

LIMITS = ByteLimits(total=100, source=100, free=10)
THREADS = 8
ROUNDS = 400
DUE = Deadline(float("inf"))


class EvictedAnswer(ScriptedAnswer):
    """Has to yield to another answer before it ends."""

    def __init__(self, bodies: HeldBodies, end: EngineFailed) -> None:
        super().__init__(Script(parts=[b"x" * 70, end]), [], [])
        self._bodies = bodies
        self.body = bodies.open("e1", self.abort)

    def read_some(self, deadline: Deadline) -> bytes:
        """Read, and let the other answer grow before the end."""
        if self.body.size:
            with self._bodies.open("e2", self.abort) as other:
                other.append(b"y" * 60)
        return super().read_some(deadline)


class TurnedAwayTest(unittest.TestCase):
    """A body that yields must fail as such, and leave no bytes."""

    def setUp(self) -> None:
        self.bodies = HeldBodies(LIMITS)
        self.aborted: list[str] = []

    def open(self, name: str) -> HeldBody:
        return self.bodies.open(name, lambda: self.aborted.append(name))

    def test_longest_ends_and_the_other_goes_on(self) -> None:
        longest, other = self.open("e1"), self.open("e2")
        longest.append(b"x" * 70)
        with captured_logs() as logs:
            other.append(b"y" * 60)
        self.assertEqual(["e1"], self.aborted)
        self.assertEqual(60, self.bodies.total)
        self.assertEqual((1, 70), (self.bodies.turned_away, self.bodies.most))
        self.assertEqual(
            ["answer turned away"], [line["event"] for line in logs]
        )
        for step in (longest.complete, lambda: longest.append(b"x")):
            with self.assertRaises(WireError) as caught:
                step()
            self.assertIs(TURNED_AWAY, caught.exception.failed)
        self.assertEqual([], list(longest.take_parts()))
        self.assertEqual(Ran.YES, TURNED_AWAY.ran)

    def test_end_of_its_connection_is_no_cut(self) -> None:
        for end in (CUT, EngineFailed("deadline", Ran.MAYBE)):
            answer = EvictedAnswer(self.bodies, end)
            with self.assertRaises(WireError) as caught, answer.body as body:
                read_whole(answer, DUE, body)
            self.assertIs(TURNED_AWAY, caught.exception.failed)
            self.assertEqual(0, self.bodies.total)

    def test_cut_is_still_a_cut(self) -> None:
        answer = ScriptedAnswer(Script(parts=[b"x", CUT]), [], [])
        with self.assertRaises(WireError) as caught:
            read_whole(answer, DUE, self.open("e1"))
        self.assertIs(CUT, caught.exception.failed)

    def test_whole_body_is_kept_until_it_is_handed_on(self) -> None:
        with self.open("e1") as whole, self.open("e2") as other:
            answer = ScriptedAnswer(Script(parts=[b"x" * 60] * 2), [], [])
            bodies = self.bodies
            with self.assertRaises(WireError):
                read_whole(answer, DUE, whole)
            self.assertEqual(0, bodies.total)
            other.append(b"y" * 90)
            other.complete()
            with self.assertRaises(WireError), self.open("e3") as late:
                late.append(b"z" * 60)
            self.assertEqual([b"y" * 90], list(other.take_parts()))
            self.assertEqual(0, bodies.total)
            self.open("e4").append(b"z" * 60)

    def test_kept_bytes_may_shrink(self) -> None:
        with self.open("e1") as event, self.open("e2") as other:
            event.resize(80)
            event.resize(5)
            other.append(b"y" * 90)
            with self.assertRaises(WireError):
                event.resize(105)
            self.assertEqual(90, self.bodies.total)

    def test_small_parts_are_joined(self) -> None:
        bodies = HeldBodies()
        with bodies.open("e1", lambda: None) as body:
            for _ in range(BLOCK_BYTES + 1):
                body.append(b"x")
            sizes = [len(part) for part in body.take_parts()]
        self.assertEqual([BLOCK_BYTES, 1], sizes)

    def test_many_threads_hold_the_bound(self) -> None:
        def grow(name: str) -> None:
            for _ in range(ROUNDS):
                try:
                    with self.open(name) as body:
                        for _ in range(10):
                            body.append(b"x" * 12)
                        body.complete()
                        list(body.take_parts())
                except WireError as exc:
                    self.assertIs(TURNED_AWAY, exc.failed)

        with ThreadPoolExecutor(THREADS) as pool:
            list(pool.map(grow, [f"e{n}" for n in range(THREADS)]))
        self.assertEqual(0, self.bodies.total)
        most = LIMITS.total + THREADS * LIMITS.free + 12
        self.assertLessEqual(self.bodies.most, most)


if __name__ == "__main__":
    unittest.main()
