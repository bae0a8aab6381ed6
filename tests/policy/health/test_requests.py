"""Tests of the inference of requests that crash engines."""

from __future__ import annotations

from dataclasses import dataclass, field, replace
import random
import unittest

from mulberrypass.policy.health.crashes import Crash, CrashHistory
from mulberrypass.policy.health.requests import RequestSettings

SERVICE = "rackmind"
SETTINGS = RequestSettings()
DEADLY, DEADLY_2, SOUND = 0xDEAD, 0xDEAE, 0x50
PART, PART_2, SHARED = 1, 2, 10
# Of the users' pages: crashes before a request counts as known, the time that
# it takes all to know, and requests with it that may reach engines afterwards.
KNOWN_CRASHES, CONTACT_S, MAX_REPEATS = 3, 3.0, 3
MAX_WRONGLY_REFUSED = 0.02
SEEDS = 100


def crash(
    number: int,
    *requests: int,
    parts: tuple[int, ...] = (),
    at_ms: int | None = None,
) -> Crash:
    """Return a crash, a second after the one before."""
    at_ms = number * 1_000 if at_ms is None else at_ms
    return Crash(
        f"i-{number}@0",
        SERVICE,
        at_ms,
        frozenset(parts),
        requests=frozenset(requests),
    )


class RequestQuarantineTest(unittest.TestCase):
    def setUp(self) -> None:
        self.history = CrashHistory(member="entry@a")

    def add(self, *crashes: Crash, now: float = 0.0) -> None:
        for each in crashes:
            self.history.merge(each, now)

    def held(self, request: int, now: float = 0.0) -> bool:
        found = self.history.crashing_request(request, now)
        return found is not None

    def part_held(self, *parts: int) -> bool:
        return self.history.quarantine(SERVICE, parts, 0.0) is not None

    def test_request_of_three_crashes_is_quarantined(self) -> None:
        for number in range(KNOWN_CRASHES):
            self.assertFalse(self.held(DEADLY))
            self.add(crash(number, DEADLY, 100 + number))
        self.assertTrue(self.held(DEADLY))
        self.assertFalse(self.held(100))

    def test_requests_that_always_crash_together_are_both_held(self) -> None:
        self.add(*(crash(n, DEADLY, DEADLY_2) for n in range(KNOWN_CRASHES)))
        self.assertTrue(self.held(DEADLY))
        self.assertTrue(self.held(DEADLY_2))

    def test_request_whose_answer_begins_is_cleared(self) -> None:
        self.add(*(crash(n, DEADLY, SOUND) for n in range(KNOWN_CRASHES)))
        cleared = self.history.clear_request(SERVICE, SOUND)
        self.assertEqual(KNOWN_CRASHES, len(cleared))
        self.assertFalse(self.held(SOUND))
        self.assertTrue(self.held(DEADLY))
        self.add(*(crash(n, SOUND) for n in range(KNOWN_CRASHES)))
        self.assertFalse(self.held(SOUND), "by late reports")

    def test_lost_rack_quarantines_no_request(self) -> None:
        self.add(*(crash(n, SOUND, at_ms=500 + n * 5) for n in range(9)))
        self.assertFalse(self.held(SOUND))

    def test_two_copies_at_one_moment_are_two_crashes(self) -> None:
        self.add(crash(0, DEADLY), crash(1, DEADLY, at_ms=5_000))
        self.add(crash(2, DEADLY, at_ms=5_010))
        self.assertTrue(self.held(DEADLY))

    def test_parts_of_a_crashing_request_stay_free(self) -> None:
        """A sound request that shared them was refused."""
        for number in range(KNOWN_CRASHES):
            self.add(crash(number, DEADLY, parts=(SHARED, PART)))
        self.assertTrue(self.held(DEADLY))
        self.assertFalse(self.part_held(SHARED, PART))

    def test_part_of_other_requests_too_is_quarantined(self) -> None:
        for number in range(KNOWN_CRASHES):
            self.add(crash(number, DEADLY, parts=(SHARED, PART)))
        self.history.clear(SERVICE, SHARED)
        self.add(crash(3, 100, parts=(SHARED, PART)))
        self.assertFalse(self.part_held(SHARED, PART))
        self.add(crash(4, 101, parts=(SHARED, PART)))
        self.assertTrue(self.part_held(SHARED, PART))
        self.assertFalse(self.part_held(SHARED, PART_2))

    def test_trials_become_rarer_and_end(self) -> None:
        now = 0.0
        self.add(*(crash(number, DEADLY) for number in range(KNOWN_CRASHES)))
        trials = 0
        for number in range(KNOWN_CRASHES, SETTINGS.no_trial_crashes):
            wait_s = SETTINGS.trial_after_s * 2 ** (number - KNOWN_CRASHES)
            self.assertTrue(self.held(DEADLY, now=now + wait_s - 1))
            now += 2 * wait_s
            self.assertFalse(self.held(DEADLY, now=now))
            trials += 1
            self.add(crash(number, DEADLY), now=now)
        self.assertTrue(self.held(DEADLY, now=now + 1e9))
        self.assertLessEqual(trials, MAX_REPEATS)

    def test_members_try_at_different_times(self) -> None:
        crashes = [crash(number, DEADLY) for number in range(KNOWN_CRASHES)]
        starts = set()
        step_s = SETTINGS.trial_after_s / 3_600
        for member in range(20):
            history = CrashHistory(member=f"entry-{member}")
            for each in crashes:
                history.merge(each, 0.0)
            now = SETTINGS.trial_after_s
            while history.crashing_request(DEADLY, now):
                now += step_s
            starts.add(now)
            self.assertLess(now, 2 * SETTINGS.trial_after_s + step_s)
        self.assertGreater(len(starts), 15)

    def test_new_request_is_found_beside_many_known_ones(self) -> None:
        """Each of its crashes was forgotten at once for older ones."""
        for number in range(300):
            self.add(crash(number, 1_000 + number // KNOWN_CRASHES))
        self.add(*(crash(1_000 + n, DEADLY) for n in range(KNOWN_CRASHES)))
        self.assertTrue(self.held(DEADLY))

    def test_many_requests_push_no_other_out(self) -> None:
        self.add(*(crash(number, DEADLY) for number in range(KNOWN_CRASHES)))
        for number in range(10, 1_000):
            self.add(crash(number, 1_000 + number))
        self.assertTrue(self.held(DEADLY))


@dataclass(slots=True)
class Report:
    """A crash on its way from one member to another."""

    to: int
    due: float
    crash: Crash


@dataclass(slots=True)
class Day:
    """Members that learn of crashes late, deadly and sound requests.

    :ivar refused: sound requests refused for themselves or for a part
    :ivar refused_themselves: those refused for themselves
    :ivar reached: times at which each deadly request reached an engine
    """

    rng: random.Random
    members: int = 3
    step_s: float = 0.1
    chance_crash: float = 0.03
    gossip_s: float = 0.5
    deadly: tuple[int, ...] = ()
    now: float = 0.0
    engines: int = 0
    refused: int = 0
    refused_themselves: int = 0
    sound: int = 0
    stored: dict[str, Crash] = field(default_factory=dict)
    reached: dict[int, list[float]] = field(default_factory=dict)
    crashed: dict[int, list[float]] = field(default_factory=dict)
    known: list[CrashHistory] = field(default_factory=list)
    reports: list[Report] = field(default_factory=list)

    def play(self, steps: int) -> None:
        """Play, with restarts of one member and of all."""
        self.known = [self._start(n) for n in range(self.members)]
        for _ in range(steps):
            self.now += self.step_s
            self._deliver()
            match self.rng.random():
                case chance if chance < 0.01:
                    at = self.rng.randrange(self.members)
                    self.known[at] = self._start(at)
                case chance if chance < 0.013:
                    self.known = [self._start(n) for n in range(self.members)]
            self._send()

    def _start(self, member: int) -> CrashHistory:
        history = CrashHistory(member=f"m{member}")
        for crash_ in self.stored.values():
            history.merge(crash_, self.now)
        return history

    def _deliver(self) -> None:
        due = [r for r in self.reports if r.due <= self.now]
        self.reports = [r for r in self.reports if r.due > self.now]
        for report in due:
            self.known[report.to].merge(report.crash, self.now)

    def _publish(self, member: int, found: Crash) -> None:
        before = self.stored.get(found.engine)
        merged = found if before is None else before.merge(found)
        self.stored[found.engine] = merged
        for other in range(self.members):
            if other != member:
                due = self.now + self.rng.uniform(0, self.gossip_s)
                self.reports.append(Report(other, due, found))

    def _send(self) -> None:
        """Send some requests to three engines."""
        running: dict[int, list[tuple[int, int, tuple[int, ...]]]] = {}
        for request in self._requests():
            member = self.rng.randrange(self.members)
            deadly = request in self.deadly
            parts = (SHARED + request % 3, request % 7)
            history = self.known[member]
            held = history.crashing_request(request, self.now)
            held_part = history.quarantine(SERVICE, parts, self.now)
            if not deadly:
                self.sound += 1
                self.refused += bool(held or held_part)
                self.refused_themselves += bool(held)
            if held or held_part:
                continue
            if deadly:
                self.reached.setdefault(request, []).append(self.now)
            at = self.rng.randrange(3)
            running.setdefault(at, []).append((member, request, parts))
        for each in running.values():
            self._run(each)

    def _requests(self) -> list[int]:
        found = [d for d in self.deadly if self.rng.random() < 0.3]
        found += [0x100 + self.rng.randrange(60) for _ in range(4)]
        return found

    def _run(self, running: list[tuple[int, int, tuple[int, ...]]]) -> None:
        deadly = {r for _, r, _ in running if r in self.deadly}
        if not deadly and self.rng.random() > self.chance_crash:
            for member, request, parts in running:
                self._begin(member, request, parts)
            return
        self.engines += 1
        for request in deadly:
            self.crashed.setdefault(request, []).append(self.now)
        for member, request, parts in running:
            found = crash(
                self.engines, request, parts=parts, at_ms=int(self.now * 1_000)
            )
            merged = self.known[member].merge(found, self.now)
            if merged is not None:
                self._publish(member, merged)

    def _begin(
        self, member: int, request: int, parts: tuple[int, ...]
    ) -> None:
        history = self.known[member]
        changed = list(history.clear_request(SERVICE, request))
        for part in parts:
            changed += history.clear(SERVICE, part)
        for engine in {each.engine for each in changed}:
            found = history.get(engine)
            assert found is not None
            self._publish(member, found)


class RequestDayTest(unittest.TestCase):
    """Random days of the rules alone."""

    def check(self, day: Day) -> None:
        day.play(400)
        for request, times in day.reached.items():
            crashed = day.crashed[request]
            if len(crashed) < KNOWN_CRASHES:
                continue
            known_at = crashed[KNOWN_CRASHES - 1] + CONTACT_S
            late = [at for at in times if at > known_at]
            self.assertLessEqual(len(late), MAX_REPEATS)

    def test_deadly_requests_stay_within_the_bound(self) -> None:
        refused = sound = 0
        for seed in range(SEEDS):
            rng = random.Random(seed)
            count = rng.randrange(1, 4)
            deadly = tuple(rng.sample(range(0x200, 0x240), count))
            with self.subTest(seed=seed):
                day = Day(rng, rng.randrange(2, 6), deadly=deadly)
                self.check(day)
                refused += day.refused
                sound += day.sound
        self.assertLess(refused, MAX_WRONGLY_REFUSED * sound)

    def test_chance_crashes_quarantine_hardly_any_request(self) -> None:
        refused = sound = 0
        for seed in range(SEEDS // 4):
            day = Day(random.Random(seed), chance_crash=0.1)
            day.play(400)
            refused += day.refused_themselves
            sound += day.sound
        self.assertLess(refused, MAX_WRONGLY_REFUSED * sound)


class MergeTest(unittest.TestCase):
    def test_merge_order_does_not_matter(self) -> None:
        rng = random.Random(2)
        reports = [
            replace(
                crash(rng.randrange(5), *rng.sample(range(9), 3), at_ms=7),
                cleared_requests=frozenset(rng.sample(range(9), 1)),
            )
            for _ in range(40)
        ]
        first, second = CrashHistory(), CrashHistory()
        for each in reports:
            first.merge(each, 0.0)
        for each in rng.sample(reports, len(reports)):
            second.merge(each, 0.0)
        self.assertEqual(
            sorted(first.crashes(), key=lambda c: c.engine),
            sorted(second.crashes(), key=lambda c: c.engine),
        )
