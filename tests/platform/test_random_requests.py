"""Random days of requests that crash engines and come again."""

from __future__ import annotations

from collections import Counter
import random
import time
import unittest

from tests.platform import test_random_day as parts_day

# Of the users' pages: crashes before a request counts as known, the time
# after the last of them that it takes all to know, and requests afterwards.
KNOWN_CRASHES, CONTACT_S, MAX_REPEATS = 3, 3.0, 3
SUBJECTS = ("c1", "c2", "c3")
# Bodies and the shared parts of their prompts; sound requests hold these too.
DEADLY = {b"deadly 1": "", b"deadly 2": "a1 c1", b"deadly 3": "a1 c2"}
DEADLY_SHARE = 0.1


class RandomRequestsTest(parts_day.RandomDayTest):
    """Three deadly requests beside sound ones with the same parts."""

    def _spoil(self) -> None:
        self.faults.crash_bodies = frozenset(DEADLY)

    def _send(self, sender: int, seed: float) -> None:
        rng = random.Random(seed)
        number = sender * 10_000 + 1
        while time.monotonic() < self.ends_at:
            number += 1
            body = None
            parts = f"a1 {rng.choice(SUBJECTS)}"
            if rng.random() < DEADLY_SHARE:
                body, parts = rng.choice(tuple(DEADLY.items()))
            at = rng.choice(self.instances)
            path = (
                "/lookup/1" if body else rng.choice(("/lookup/1", "/slip/1"))
            )
            began = time.monotonic()
            try:
                reply = self.send(at, path, parts, number, body)
            except OSError:
                continue
            if body is None:
                self.served.append((began, reply.status == 200))
            time.sleep(parts_day.PAUSE_S)

    def _check_bad_parts(self) -> None:
        """Check that no deadly request reaches an engine too often."""
        reached = Counter[bytes]()
        for body in DEADLY:
            times = sorted(
                req.at
                for engine in self.engines
                for req in engine.requests
                if req.body == body
            )
            reached[body] = len(times)
            known = times[KNOWN_CRASHES - 1 : KNOWN_CRASHES]
            late = [at for at in times if known and at > known[0] + CONTACT_S]
            self.assertLessEqual(len(late), MAX_REPEATS, body)
        self.assertGreater(max(reached.values()), 0)


if __name__ == "__main__":
    unittest.main()
