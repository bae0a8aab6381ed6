"""Random days of engines that prompts crash, and of engines with limits."""

from __future__ import annotations

from collections import Counter
import random
import threading
import time
import unittest

from tests.platform.raw_site import RawSiteTest, stream_route

# Of the users' pages: crashes before a part counts as known, the time after
# the last of them that it takes all to know, and requests allowed afterwards.
KNOWN_CRASHES, CONTACT_S, MAX_REPEATS = 5, 3.0, 3
DAY_S = 14.0
SENDERS, PAUSE_S = 6, 0.12
BAD_PARTS = ("bad1", "bad2")
SHARED_PARTS = ("a1", "a2", "a3")
SOUND_PARTS = tuple(f"c{number}" for number in range(40))
BAD_SHARE = 0.12
LAST_S = 4.0
MIN_SERVED = 0.5


class RandomDayTest(RawSiteTest):
    """Two bad parts, instances that come and go, a store that fails.

    :cvar seeds: seeds of the days to play
    """

    engine_count = 5
    seeds: tuple[int, ...] = (1,)
    routes = (
        stream_route("lookup", MaxAttempts=1),
        stream_route("slip", Resumable=True),
    )

    def setUp(self) -> None:
        super().setUp()
        self.instances = [self.start_instance() for _ in range(3)]
        self.served: list[tuple[float, bool]] = []

    def test_day(self) -> None:
        for seed in self.seeds:
            with self.subTest(seed=seed):
                self.setUp()
                self._play(random.Random(seed))
                self._check_bad_parts()
                self._check_sound_requests()
                self.doCleanups()

    def _play(self, rng: random.Random) -> None:
        self.ends_at = time.monotonic() + DAY_S
        self._spoil()
        threads = [
            threading.Thread(target=self._send, args=(number, rng.random()))
            for number in range(SENDERS)
        ]
        for thread in threads:
            thread.start()
        while time.monotonic() < self.ends_at - LAST_S:
            time.sleep(rng.uniform(0.3, 1.5))
            self._disturb(rng)
        self.rows.faults.down = False
        for thread in threads:
            thread.join()

    def _spoil(self) -> None:
        """Let some requests crash engines."""
        self.faults.crash_parts = frozenset(BAD_PARTS)

    def _disturb(self, rng: random.Random) -> None:
        match rng.choice(("store", "stop", "start", "crash", "cut")):
            case "store":
                self.rows.faults.down = not self.rows.faults.down
            case "stop" if len(self.instances) > 2:
                self.instances.pop(0)
                self.processes.pop(0).stop()
            case "start" if len(self.instances) < 4:
                if not self.rows.faults.down:
                    self.instances.append(self.start_instance())
            case "crash":
                live = [e for e in self.engines if not e.ended.is_set()]
                rng.choice(live or self.engines).end()
            case "cut":
                self.faults.break_after = rng.choice((None, 0, 40))

    def _send(self, sender: int, seed: float) -> None:
        rng = random.Random(seed)
        number = sender * 10_000 + 1
        while time.monotonic() < self.ends_at:
            number += 1
            bad = rng.random() < BAD_SHARE
            part = rng.choice(BAD_PARTS if bad else SOUND_PARTS)
            path = rng.choice(("/lookup/1", "/slip/1"))
            at = rng.choice(self.instances)
            began = time.monotonic()
            try:
                parts = f"{rng.choice(SHARED_PARTS)} {part}"
                reply = self.send(at, path, parts, number)
            except OSError:
                continue
            if not bad:
                self.served.append((began, reply.status == 200))
            time.sleep(PAUSE_S)

    def _check_bad_parts(self) -> None:
        for part in BAD_PARTS:
            times = sorted(
                req.at
                for engine in self.engines
                for req in engine.requests
                if part in req.parts
            )
            known = times[KNOWN_CRASHES - 1 : KNOWN_CRASHES]
            late = [at for at in times if known and at > known[0] + CONTACT_S]
            self.assertLessEqual(len(late), MAX_REPEATS, part)

    def _check_sound_requests(self) -> None:
        last = Counter(
            served
            for began, served in self.served
            if began > self.ends_at - LAST_S / 2
        )
        self.assertGreater(last[True], MIN_SERVED * last.total())


if __name__ == "__main__":
    unittest.main()
