"""Tests of what keeps a request that crashes engines away from them."""

from __future__ import annotations

from dataclasses import replace
import unittest
from unittest.mock import patch

from mulberrypass.policy.health import crashes as module
from mulberrypass.policy.health.crashes import Crash, CrashHistory
from mulberrypass.policy.health.requests import count_occasions
from tests.known_red import known_red

SERVICE = "rackmind"
SERVICES = ("rackmind", "rackmind-canary", "rackmind-next")
DEADLY, DEADLY_2 = 0xDEAD, 0xDEAE
SHARED, SUBJECT = 10, 11
# Of the users' pages: crashes before a request counts as known.
KNOWN_CRASHES = 3
# Engines of the largest site.
ENGINES = 600
# Longer than a part that is in doubt is kept after five crashes.
DOUBT_S = 60.0


def crash(
    number: int,
    *requests: int,
    parts: tuple[int, ...] = (),
    at_ms: int | None = None,
    service: str = SERVICE,
) -> Crash:
    """Return a crash, a second after the one before."""
    at_ms = number * 1_000 if at_ms is None else at_ms
    return Crash(
        f"i-{number}@0",
        service,
        at_ms,
        frozenset(parts),
        requests=frozenset(requests),
    )


class DeadlyRequestTest(unittest.TestCase):
    def setUp(self) -> None:
        self.history = CrashHistory(member="entry@a")

    def add(self, *crashes: Crash, now: float = 0.0) -> None:
        for each in crashes:
            self.history.merge(each, now)

    def held(self, request: int) -> bool:
        return self.history.crashing_request(request, 0.0) is not None

    def test_request_crashes_engines_of_each_service_of_its_route(
        self,
    ) -> None:
        """Each service counted for itself, on a route with several."""
        reached = 0
        for number in range(4 * KNOWN_CRASHES):
            if self.held(DEADLY):
                continue
            reached += 1
            service = SERVICES[number % len(SERVICES)]
            self.add(crash(number, DEADLY, service=service))
        self.assertEqual(KNOWN_CRASHES, reached)

    def test_answer_of_another_service_clears_no_crash(self) -> None:
        for number in range(KNOWN_CRASHES):
            self.add(crash(number, DEADLY))
        self.history.clear_request(SERVICES[1], DEADLY)
        self.assertTrue(self.held(DEADLY))

    def test_lost_zones_push_a_deadly_request_out(self) -> None:
        """Many engines that end at once count as one crash of a part."""
        self.add(*(crash(number, DEADLY) for number in range(KNOWN_CRASHES)))
        for number in range(ENGINES // 2):
            self.add(
                crash(
                    100 + number,
                    1_000 + number,
                    parts=(SHARED,),
                    at_ms=100_000,
                )
            )
        self.assertTrue(self.held(DEADLY))

    @known_red(33)
    def test_parts_of_two_deadly_requests_are_refused_for_long(self) -> None:
        """Sound requests and items that share the parts are owed."""
        parts = (SHARED, SUBJECT)
        for number in range(KNOWN_CRASHES):
            self.add(crash(number, DEADLY, parts=parts))
        for number in range(10, 10 + KNOWN_CRASHES - 1):
            self.add(crash(number, DEADLY_2, parts=parts))
        self.assertIsNone(self.history.quarantine(SERVICE, parts, DOUBT_S))

    def test_bad_part_in_requests_that_come_again(self) -> None:
        """Crashes of one request counted once, so that more engines ended."""
        requests = (DEADLY, DEADLY, DEADLY, 100, 101)
        for number, request in enumerate(requests):
            found = crash(number, request, parts=(SHARED,))
            found = replace(found, familiar=frozenset({SHARED}))
            self.assertIsNone(self.history.quarantine(SERVICE, (SHARED,), 0.0))
            self.add(found)
        self.assertIsNotNone(self.history.quarantine(SERVICE, (SHARED,), 0.0))

    def test_learning_a_crash_takes_long_beside_many(self) -> None:
        """Parts of few crashes were counted again for each verdict."""
        parts_each = 16
        for number in range(256):
            parts = range(number * parts_each, (number + 1) * parts_each)
            self.add(crash(number, number, parts=tuple(parts)))
        counting = f"{module.__name__}.count_occasions"
        with patch(counting, wraps=count_occasions) as counted:
            self.history.quarantined(0.0)
        self.assertLess(counted.call_count, 256)


if __name__ == "__main__":
    unittest.main()
