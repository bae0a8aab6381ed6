"""Tests of what an instance learns from connections that end early."""

from __future__ import annotations

import socket
import threading
import time
import unittest

from mulberrypass.policy.health.crashes import Crash, QuarantineSettings
from mulberrypass.relay.crash_guard import (
    COLLECT_S,
    REQUEST_CRASHES,
    CrashGuard,
    QuarantinedError,
    is_listening_at,
)
from tests.relay.fakes import engine

SERVICE = "rackmind"
SHARED, SOUND, BAD = 1, 2, 3
REQUEST, OTHER_REQUEST = 0xD1, 0xD2
CRASHES = QuarantineSettings().crashes
GIVE_UP_S = 10.0
EXAMINED_S = 10 * COLLECT_S


class CrashGuardTest(unittest.TestCase):
    def setUp(self) -> None:
        self.leaving: set[str] = set()
        self.listening: bool | None = False
        self.published: list[Crash] = []
        self.now = 0.0
        self.merges = 0
        self.examined = 0
        self.guard = self.make_guard()
        self.guard.subscribe(self.published.append)

    def make_guard(self) -> CrashGuard:
        guard = CrashGuard(
            self.leaving.__contains__,
            self.look,
            self.clock,
            lambda: self.now,
        )
        guard.start()
        self.addCleanup(guard.stop)
        return guard

    def look(self, _address: str) -> bool | None:
        """Tell whether an engine listens; count the examinations."""
        self.examined += 1
        return self.listening

    def clock(self) -> float:
        """Tell the time, also of a merge, which holds the guard's lock."""
        if threading.current_thread() is not threading.main_thread():
            self.merges += 1
        return self.now

    def wait_for_examination(self, examined: int, merges: int) -> None:
        """Wait until one more examination has had its effect."""
        end = time.monotonic() + GIVE_UP_S
        while self.examined == examined or (
            self.listening is False and self.merges == merges
        ):
            self.assertLess(time.monotonic(), end, "not examined")
            time.sleep(COLLECT_S / 10)

    def lose(self, number: int, *parts: int, born_ms: int = 0) -> None:
        """End a connection to an engine, and wait for the examination."""
        self.now += 1.0
        lost = engine(f"i-{number}", born_ms=born_ms)
        before = self.examined, self.merges
        self.guard.on_connection_ended(lost, parts)
        if lost.name not in self.leaving:
            self.wait_for_examination(*before)

    def lose_request(self, number: int, request: int, *parts: int) -> None:
        """The same for a request that comes again."""
        self.now += 1.0
        lost = engine(f"i-{number}")
        before = self.examined, self.merges
        self.guard.on_connection_ended(lost, parts, request)
        self.wait_for_examination(*before)

    def refusal(self, request: int, *parts: int) -> QuarantinedError | None:
        try:
            self.guard.check(SERVICE, parts, request)
        except QuarantinedError as exc:
            return exc
        return None

    def is_refused(self, *parts: int, by: CrashGuard | None = None) -> bool:
        try:
            (by or self.guard).check(SERVICE, parts)
        except QuarantinedError:
            return True
        return False

    def test_part_that_crashed_several_engines_is_refused(self) -> None:
        self.guard.on_begun(SERVICE, (SHARED,))
        for number in range(CRASHES):
            self.assertFalse(self.is_refused(SHARED, BAD))
            self.lose(number, SHARED, BAD)
        self.assertTrue(self.is_refused(SHARED, BAD))
        self.assertFalse(self.is_refused(SHARED, SOUND))

    def test_request_without_parts_is_refused(self) -> None:
        for number in range(CRASHES):
            self.assertIsNone(self.refusal(REQUEST))
            self.lose_request(number, REQUEST)
        found = self.refusal(REQUEST)
        assert found is not None
        self.assertEqual(REQUEST_CRASHES, found.reason)
        self.assertIsNone(found.part)
        self.assertIsNone(self.refusal(OTHER_REQUEST))
        self.assertIn(f"{SERVICE}:{REQUEST:016x}", self.state_requests())

    def state_requests(self) -> list[str]:
        found: list[str] = self.guard.state()["requests"]
        return found

    def test_item_is_not_refused_for_itself(self) -> None:
        for number in range(CRASHES):
            self.lose_request(number, REQUEST)
        self.assertFalse(self.is_refused())

    def test_answer_that_begins_clears_its_request(self) -> None:
        for number in range(CRASHES):
            self.lose_request(number, REQUEST)
        self.guard.on_begun(SERVICE, (), REQUEST)
        self.assertIsNone(self.refusal(REQUEST))

    def test_request_crashes_engines_that_are_leaving(self) -> None:
        """Their crashes were left out, so that it went on to others."""
        for number in range(CRASHES):
            self.leaving.add(f"i-{number}")
            self.lose_request(number, REQUEST, BAD)
        self.assertIsNotNone(self.refusal(REQUEST))
        self.assertFalse(self.is_refused(BAD))

    def test_ends_that_are_no_crashes_do_not_count(self) -> None:
        cases = {"reset only": True, "no reply": None}
        for name, listening in cases.items():
            self.listening = listening
            for number in range(CRASHES):
                self.lose(number, BAD)
            self.assertFalse(self.is_refused(BAD), name)
        self.listening = False
        for number in range(CRASHES):
            self.leaving.add(f"i-{number}")
            self.lose(number, BAD)
        self.assertFalse(self.is_refused(BAD), "leaving")
        for _ in range(CRASHES):
            self.lose(9, BAD)
        self.assertFalse(self.is_refused(BAD), "one crash, seen often")

    def test_engine_that_keeps_its_name_crashes_again(self) -> None:
        for born_ms in range(CRASHES):
            self.lose(1, BAD, born_ms=born_ms)
        self.assertTrue(self.is_refused(BAD))

    def test_answer_that_begins_clears_its_parts_everywhere(self) -> None:
        for number in range(CRASHES):
            self.lose(number, SHARED)
        other = self.make_guard()
        for crash in self.published:
            other.learn(crash)
        self.assertTrue(self.is_refused(SHARED, SOUND, by=other))
        self.guard.on_begun(SERVICE, (SHARED, SOUND))
        for crash in self.published:
            other.learn(crash)
        self.assertFalse(self.is_refused(SHARED, SOUND, by=other))

    def test_member_tells_that_a_suspect_is_familiar(self) -> None:
        self.guard.on_begun(SERVICE, (SHARED,))
        suspects = frozenset((SHARED, BAD))
        self.guard.learn(Crash("i-1@0", SERVICE, 0, suspects))
        self.assertEqual(
            [frozenset((SHARED,))], [c.familiar for c in self.published]
        )


class ListeningTest(unittest.TestCase):
    def test_listening(self) -> None:
        server = socket.create_server(("127.0.0.1", 0))
        address = f"127.0.0.1:{server.getsockname()[1]}"
        self.assertIs(True, is_listening_at(address))
        server.close()
        self.assertIs(False, is_listening_at(address))
