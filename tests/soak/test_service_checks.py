"""Tests of the checks on which services run what."""

from __future__ import annotations

import unittest

from mulberrypass.platform.stand_in.engine import EngineLog
from mulberrypass.soak.records import AttemptRecord, JobRecord, SoakRecords
from mulberrypass.soak.service_checks import APPLY_GRACE_S, check_services

FORMER, LATER = "generation", "rewriting"
SERVICES = {"0": FORMER, "1": LATER}
MOVED_AT = 100.0
MOVES = ((0.0, FORMER), (MOVED_AT, LATER))
LATE = MOVED_AT + APPLY_GRACE_S + 0.1


class ServiceCheckTest(unittest.TestCase):
    def check(
        self,
        engine: str,
        at: float,
        sent: float | None = None,
        undisturbed: bool = True,
    ) -> list[str]:
        """Return what is reported of one run.

        :param sent: when the request was sent; ``None`` for an item
        """
        logs = {name: EngineLog() for name in SERVICES}
        logs[engine].began.append((at, "w1"))
        records = SoakRecords()
        if sent is None:
            records.add_job(JobRecord("j1", ("w1",)))
        else:
            records.add_attempt(AttemptRecord("w1", 0, sent, at + 1.0, 200))
        found = check_services(
            records, logs, SERVICES, MOVES, lambda *_: undisturbed
        )
        return [violation.subject for violation in found]

    def test_item_at_a_service_that_no_version_allows(self) -> None:
        self.assertEqual(["w1"], self.check("1", MOVED_AT - 1.0))

    def test_item_at_the_former_service_long_after_the_move(self) -> None:
        self.assertEqual(["w1"], self.check("0", LATE))

    def test_item_at_the_former_service_soon_after_the_move(self) -> None:
        self.assertEqual([], self.check("0", MOVED_AT + 1.0))

    def test_item_where_the_route_leads(self) -> None:
        self.assertEqual([], self.check("0", MOVED_AT - 1.0))
        self.assertEqual([], self.check("1", LATE))

    def test_request_that_was_sent_after_the_move(self) -> None:
        self.assertEqual(["w1"], self.check("0", LATE + 5.0, LATE))

    def test_request_that_ends_where_it_has_begun(self) -> None:
        self.assertEqual([], self.check("0", LATE + 5.0, MOVED_AT))

    def test_disturbed_run_is_not_judged(self) -> None:
        self.assertEqual([], self.check("0", LATE, undisturbed=False))


if __name__ == "__main__":
    unittest.main()
