"""Tests of a request that crashes each engine it reaches, and comes again."""

from __future__ import annotations

from functools import partial
import json
import threading
import time
from unittest.mock import patch

from mulberrypass.policy.health import requests
from tests.platform.raw_site import RawSiteTest, Reply, stream_route

# Of the users' pages: engines that may crash before the request is known.
MAX_CRASHES = 3
SENDS = 12
GAP_S = 0.15
# Of the users' pages, less than the time within which all must know.
KNOWN_WITHIN_S = 1.5
SHARED, SUBJECT = "a1", "c3"
DEADLY, DEADLY_2 = b"deadly", b"deadly too"
REASON = "request_crashes_engines"


# Trials, which are allowed, would be counted in a run that takes long.
NO_TRIAL_S = 3_600.0


class CrashingRequestTest(RawSiteTest):
    """One request crashes engine after engine."""

    routes = (
        stream_route("lookup", MaxAttempts=1),
        stream_route("slip", Resumable=True),
    )

    def setUp(self) -> None:
        no_trial = partial(requests.RequestSettings, trial_after_s=NO_TRIAL_S)
        replaced = patch.object(requests, "RequestSettings", no_trial)
        replaced.start()
        self.addCleanup(replaced.stop)
        super().setUp()
        self.faults.crash_bodies = frozenset({DEADLY, DEADLY_2})
        self.instances = [self.start_instance() for _ in range(2)]

    def send_deadly(
        self, number: int, parts: str = "", body: bytes = DEADLY
    ) -> Reply:
        at = self.instances[number % len(self.instances)]
        return self.send(at, "/lookup/1", parts, number, body)

    def crash_engines(self) -> None:
        """Send the request until it is refused."""
        for number in range(200, 200 + SENDS):
            if REASON.encode() in self.send_deadly(number).body:
                return
            time.sleep(GAP_S)
        self.fail("the request was never refused")

    def assert_refused(self, number: int) -> None:
        """Check that it reaches no engine, and what the caller gets."""
        before = len(self.ended)
        reply = self.send_deadly(number)
        self.assertEqual(502, reply.status)
        self.assertEqual(
            {"reason": REASON, "ran": "no"}, json.loads(reply.body)
        )
        self.assertNotIn("retry-after", reply.headers)
        self.assertEqual(before, len(self.ended))

    def test_request_without_shared_parts_crashes_engines(self) -> None:
        for number in range(SENDS):
            self.send_deadly(number)
            time.sleep(GAP_S)
        self.assertLessEqual(len(self.ended), MAX_CRASHES)

    def test_request_with_parts_of_sound_ones_crashes_engines(self) -> None:
        """Answers to sound requests cleared its parts each time."""
        parts = f"{SHARED} {SUBJECT}"
        for number in range(SENDS):
            self.send_deadly(number, parts)
            time.sleep(GAP_S)
            at = self.instances[number % 2]
            self.send(at, "/lookup/1", parts, 100 + number)
        self.assertLessEqual(len(self.ended), MAX_CRASHES)

    def test_two_requests_that_crash_engines_together(self) -> None:
        """Neither is spared as the other may be the cause."""
        for number in range(0, 2 * SENDS, 2):
            threads = [
                threading.Thread(
                    target=self.send_deadly, args=(number + i, "", body)
                )
                for i, body in enumerate((DEADLY, DEADLY_2))
            ]
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join()
            time.sleep(GAP_S)
        self.assertLessEqual(len(self.ended), 2 * MAX_CRASHES)

    def test_sound_request_with_its_parts_is_served(self) -> None:
        parts = f"{SHARED} {SUBJECT}"
        for number in range(SENDS):
            self.send_deadly(number, parts)
            time.sleep(GAP_S)
        time.sleep(KNOWN_WITHIN_S)
        for number, at in enumerate(self.instances, 100):
            reply = self.send(at, "/lookup/1", parts, number)
            self.assertEqual(200, reply.status)

    def test_request_is_refused_by_an_instance_that_starts(self) -> None:
        self.crash_engines()
        time.sleep(KNOWN_WITHIN_S)
        self.instances.append(self.start_instance())
        time.sleep(KNOWN_WITHIN_S)
        for number in range(300, 303):
            self.assert_refused(number)

    def test_request_crashes_engines_while_the_store_is_down(self) -> None:
        self.rows.faults.down = True
        self.crash_engines()
        time.sleep(KNOWN_WITHIN_S)
        for number in range(300, 302):
            self.assert_refused(number)
        self.assertLessEqual(len(self.ended), MAX_CRASHES)
        self.rows.faults.down = False

    def test_request_is_refused_after_a_loss_of_all_instances(self) -> None:
        self.crash_engines()
        time.sleep(KNOWN_WITHIN_S)
        for process in self.processes:
            process.stop()
        self.instances = [self.start_instance()]
        time.sleep(KNOWN_WITHIN_S)
        self.assert_refused(400)
