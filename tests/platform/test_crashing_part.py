"""Tests of a part of a prompt that crashes each engine it reaches."""

from __future__ import annotations

from functools import partial
import json
import time
from unittest.mock import patch

from mulberrypass.policy.health import crashes
from tests.platform.raw_site import RawSiteTest, stream_route

# Of the users' pages: engines that may end before the part is known.
MAX_CRASHES = 5
GAP_S = 0.15
SHARED, SOUND, CRASHING = "a1", "c3", "bad"
REASON = b"prompt_crashes_engines"
# Of the users' pages, less than the time within which all must know.
KNOWN_WITHIN_S = 1.5


# Trials, which are allowed, would be counted in a run that takes long.
NO_TRIALS_S = (3_600.0,)


class CrashingPartTest(RawSiteTest):
    """One part of a prompt crashes engine after engine."""

    routes = (
        stream_route("lookup", MaxAttempts=1),
        stream_route("slip", Resumable=True),
    )

    def setUp(self) -> None:
        no_trial = partial(
            crashes.QuarantineSettings, trials_after_s=NO_TRIALS_S
        )
        replaced = patch.object(crashes, "QuarantineSettings", no_trial)
        replaced.start()
        self.addCleanup(replaced.stop)
        super().setUp()
        self.faults.crash_parts = frozenset({CRASHING})
        self.instances = [self.start_instance() for _ in range(2)]

    def crash_engines(self) -> None:
        """Send the part until an instance refuses it."""
        for number in range(200, 200 + 4 * MAX_CRASHES):
            at = self.instances[number % 2]
            self.send(at, "/lookup/1", f"{SHARED} {SOUND}", 1_000 + number)
            reply = self.send(at, "/lookup/1", f"{SHARED} {CRASHING}", number)
            if reply.status == 502 and REASON in reply.body:
                return
            time.sleep(GAP_S)
        self.fail("the part was never refused")

    def assert_refused(self, at: str, path: str, number: int) -> None:
        """Check that the part reaches no engine, and what the caller gets."""
        before = len(self.ended)
        reply = self.send(at, path, f"ff {CRASHING}", number)
        self.assertEqual(502, reply.status)
        self.assertEqual(
            {"reason": REASON.decode(), "ran": "no"}, json.loads(reply.body)
        )
        self.assertNotIn("retry-after", reply.headers)
        self.assertEqual(before, len(self.ended))

    def test_part_crashes_engine_after_engine_again_elsewhere(self) -> None:
        """All instances know, one that has just started too."""
        self.crash_engines()
        time.sleep(KNOWN_WITHIN_S)
        self.instances.append(self.start_instance())
        time.sleep(KNOWN_WITHIN_S)
        for number, at in enumerate(self.instances, 300):
            self.assert_refused(at, "/lookup/1", number)
            self.assert_refused(at, "/slip/1", 100 + number)

    def test_part_crashes_engines_while_the_store_is_down(self) -> None:
        self.rows.faults.down = True
        self.crash_engines()
        time.sleep(KNOWN_WITHIN_S)
        for number, at in enumerate(self.instances, 300):
            self.assert_refused(at, "/lookup/1", number)
        self.rows.faults.down = False

    def test_part_crashes_engines_after_a_loss_of_all_instances(self) -> None:
        self.crash_engines()
        time.sleep(KNOWN_WITHIN_S)
        for process in self.processes:
            process.stop()
        at = self.start_instance()
        time.sleep(KNOWN_WITHIN_S)
        self.assert_refused(at, "/lookup/1", 400)

    def test_part_crashes_engine_after_engine(self) -> None:
        for number in range(1, 41, 2):
            at = self.instances[number // 2 % 2]
            self.send(at, "/lookup/1", f"{SHARED} {CRASHING}", number)
            time.sleep(GAP_S)
            self.send(at, "/lookup/1", f"{SHARED} {SOUND}", number + 1)
        self.assertLessEqual(len(self.ended), MAX_CRASHES)
        for number, at in enumerate(self.instances, 100):
            sound = self.send(at, "/lookup/1", f"{SHARED} {SOUND}", number)
            self.assertEqual(200, sound.status)
