"""Tests of the source of the next configuration and of polling."""

from __future__ import annotations

import unittest

from mulberrypass.policy.storage.generation import (
    MAX_BACKOFF_S,
    FromPeer,
    FromStore,
    NextSource,
    Unreachable,
    UpToDate,
    applies,
    next_source,
    poll_after_s,
)


class NextSourceTest(unittest.TestCase):
    """Members are preferred to the store; only newer ones are fetched."""

    def test_choice(self) -> None:
        cases: tuple[
            tuple[str, int, int, dict[str, int], bool, NextSource], ...
        ] = (
            ("nothing known", 0, 0, {}, False, UpToDate()),
            ("older head", 5, 4, {}, False, UpToDate()),
            ("older hint", 5, 5, {"a": 4}, False, UpToDate()),
            ("newer head", 5, 6, {}, False, FromStore(6)),
            ("store failed", 5, 6, {}, True, Unreachable(6)),
            ("newer hint", 5, 5, {"a": 7}, False, FromPeer("a", 7)),
            ("both", 5, 7, {"a": 7}, False, FromPeer("a", 7)),
            ("head is newer", 5, 8, {"a": 7}, False, FromStore(8)),
            ("head unreachable", 5, 8, {"a": 7}, True, FromPeer("a", 7)),
            ("newest hint", 5, 0, {"a": 6, "b": 7}, True, FromPeer("b", 7)),
        )
        for name, in_force, head, hints, failed, expected in cases:
            with self.subTest(name):
                found = next_source(in_force, head, hints, failed, 0.999)
                self.assertEqual(expected, found)

    def test_holders_share_the_fetches(self) -> None:
        hints = {"a": 2, "b": 2, "c": 2}
        draws = (0.0, 0.5, 0.999, 1.0)
        found = [next_source(1, 0, hints, False, draw) for draw in draws]
        expected = [FromPeer(member, 2) for member in "abcc"]
        self.assertEqual(expected, found)

    def test_only_newer_generations_apply(self) -> None:
        offers = ((3, 4, True), (3, 3, False), (3, 2, False))
        for in_force, offered, expected in offers:
            with self.subTest(offered=offered):
                self.assertEqual(expected, applies(in_force, offered))


class PollTest(unittest.TestCase):
    """The fleet's rate of head reads is bounded."""

    def test_interval(self) -> None:
        self.assertEqual(1.0, poll_after_s(10, 0, 0.5))
        self.assertEqual(6.0, poll_after_s(1_200, 0, 0.5))
        self.assertEqual(MAX_BACKOFF_S, poll_after_s(10, 9, 0.5))
        self.assertEqual(
            (0.75, 1.25),
            (
                poll_after_s(10, 0, 0.0),
                poll_after_s(10, 0, 1.0),
            ),
        )


if __name__ == "__main__":
    unittest.main()
