"""Tests of sound work under which engines have crashed by chance."""

from __future__ import annotations

import threading
import time

from tests.platform.raw_site import RawSiteTest, Reply, stream_route

# Of the users' pages: time after a fault until requests are served again.
RECOVERY_S = 12.0
# Of the users' pages: engines that may end before a part, and a request that
# comes again, are known to crash them.
PART_CRASHES, REQUEST_CRASHES = 5, 3
SENDS = 12
GAP_S = 0.15
SHARED, SUBJECT = "a1", "c3"
POLLED = b"polled"


class TwoInstancesTest(RawSiteTest):
    """Two instances, and one route to the engines."""

    routes = (stream_route("lookup", MaxAttempts=1),)

    def setUp(self) -> None:
        super().setUp()
        self.instances = [self.start_instance() for _ in range(2)]

    def send_to(
        self, number: int, parts: str, body: bytes | None = None
    ) -> Reply:
        at = self.instances[number % len(self.instances)]
        return self.send(at, "/lookup/1", parts, number, body)


class CrashedByChanceTest(TwoInstancesTest):
    """The only engine of a service crashes several times, and is sound.

    A part, or a request, that was there each time was held for an hour.
    """

    engine_count = 1

    def crash_engine(
        self, crashes: int, parts: str, body: bytes | None = None
    ) -> None:
        """Let the engine crash, and be sound from then on."""
        self.faults.crash_parts = frozenset({SHARED})
        self.faults.crash_bodies = frozenset({POLLED})
        for number in range(200, 200 + 100):
            if len(self.ended) == crashes:
                break
            self.send_to(number, parts, body)
            time.sleep(GAP_S)
        self.assertEqual(crashes, len(self.ended))
        self.faults.crash_parts = frozenset()
        self.faults.crash_bodies = frozenset()

    def assert_served_again(
        self, parts: str, body: bytes | None = None
    ) -> None:
        """Check that requests are served within ``RECOVERY_S``."""
        end = time.monotonic() + RECOVERY_S
        number = 1_000
        while self.send_to(number, parts, body).status != 200:
            self.assertLess(time.monotonic(), end, "held for long")
            time.sleep(GAP_S)
            number += 1
        time.sleep(2.0)
        for number in range(2_000, 2_010):
            self.assertEqual(200, self.send_to(number, parts, body).status)

    def test_part_of_all_prompts_is_held_for_long(self) -> None:
        self.crash_engine(3, f"{SHARED} {SUBJECT}")
        self.assert_served_again(f"{SHARED} {SUBJECT}")

    def test_familiar_part_of_all_prompts_is_held_for_long(self) -> None:
        for number in range(10):
            self.send_to(number, f"{SHARED} {SUBJECT}")
        self.crash_engine(PART_CRASHES, f"{SHARED} {SUBJECT}")
        self.assert_served_again(f"{SHARED} {SUBJECT}")

    def test_request_that_comes_again_is_held_for_long(self) -> None:
        self.crash_engine(3, "", POLLED)
        self.assert_served_again("", POLLED)

    def test_part_is_held_for_long_once_all_instances_are_lost(self) -> None:
        self.crash_engine(3, f"{SHARED} {SUBJECT}")
        time.sleep(1.0)
        for process in self.processes:
            process.stop()
        self.instances = [self.start_instance() for _ in range(2)]
        self.assert_served_again(f"{SHARED} {SUBJECT}")

    def test_part_is_held_for_long_while_the_store_is_down(self) -> None:
        self.crash_engine(3, f"{SHARED} {SUBJECT}")
        time.sleep(2.0)
        self.rows.faults.down = True
        self.assert_served_again(f"{SHARED} {SUBJECT}")
        self.rows.faults.down = False


class TriedAgainTest(TwoInstancesTest):
    """Requests that do crash engines are tried one at a time."""

    def crash_for(self, parts: str, body: bytes | None) -> int:
        """Send many requests until a trial is over; return the crashes."""
        self.faults.crash_parts = frozenset({SHARED})
        self.faults.crash_bodies = frozenset({POLLED})
        for number in range(200, 200 + 100):
            if self.send_to(number, parts, body).status == 502:
                break
            time.sleep(GAP_S)
        time.sleep(1.0)
        ends_at = time.monotonic() + RECOVERY_S + 1.0

        def send_many(sender: int) -> None:
            number = 10_000 * sender
            while time.monotonic() < ends_at:
                number += 1
                self.send_to(number, parts, body)
                time.sleep(GAP_S / 3)

        threads = [
            threading.Thread(target=send_many, args=(sender,))
            for sender in range(1, SENDS + 1)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        return len(self.ended)

    def test_several_requests_try_a_part_at_once(self) -> None:
        self.assertEqual(3 + 1, self.crash_for(f"{SHARED} {SUBJECT}", None))

    def test_several_copies_of_a_request_are_tried_at_once(self) -> None:
        self.assertEqual(REQUEST_CRASHES + 1, self.crash_for("", POLLED))

    def test_several_requests_try_a_part_while_the_store_is_down(
        self,
    ) -> None:
        self.rows.faults.down = True
        self.assertEqual(3 + 1, self.crash_for(f"{SHARED} {SUBJECT}", None))
        self.rows.faults.down = False
