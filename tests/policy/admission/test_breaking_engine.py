"""Tests of the trust in an engine that breaks unframed streams off."""

from __future__ import annotations

import heapq
import itertools
from typing import TYPE_CHECKING
import unittest

from mulberrypass.policy.admission.settings import HealthSettings
from mulberrypass.policy.messages import (
    FirstToken,
    Grant,
    Release,
    ReleaseOutcome,
)
from tests.policy.admission.cases import MEMBERS, ask, engine, make_cell

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from mulberrypass.policy.admission.cell import CellDecision

BREAKING = "core-0"
ENGINES = (BREAKING, "core-1", "core-2")
SLOTS = 8
HOLDERS = sorted(MEMBERS)
ASK_EACH_S = 0.02
FIRST_S = 0.05
SOUND_S = 0.2
BROKEN_S = 0.1
SETTLING_S = 0.05
TOKENS = 20
BROKEN_TOKENS = 10
PLAY_S = 60.0
TICK_S = 0.02


class Play:
    """Streams without framing, whose ends a second run elsewhere settles.

    A second run shows more than one that was broken off; a third goes on.

    :ivar streams: engines that ran streams, in the order of their grants
    :ivar least_share: the least health that a sound engine had
    """

    def __init__(self, breaks: bool) -> None:
        self.cell = make_cell([engine(name, SLOTS) for name in ENGINES])
        self.breaks = breaks
        self.streams: list[tuple[float, str]] = []
        self.least_share = 1.0
        self.running = 0
        self._now = 0.0
        self._sequence = itertools.count()
        self._due: list[tuple[float, int, Callable[[], None]]] = []
        self._on_grant: dict[str, Callable[[str], None]] = {}

    def run(self) -> None:
        """Play until all has ended."""
        for number in range(round(PLAY_S / ASK_EACH_S)):
            self._after(number * ASK_EACH_S, lambda: self._stream(()))
        for number in range(round(PLAY_S / TICK_S)):
            self._after(number * TICK_S, self._tick)
        while self._due:
            self._now, _, call = heapq.heappop(self._due)
            call()
        self.running = len(self.cell.permits)

    def _after(self, seconds: float, call: Callable[[], None]) -> None:
        due = (self._now + seconds, next(self._sequence), call)
        heapq.heappush(self._due, due)

    def _tick(self) -> None:
        self._take(self.cell.tick(self._now))
        sound = (self.cell.health.share(name) for name in ENGINES[1:])
        self.least_share = min(self.least_share, *sound)

    def _take(self, decisions: Iterable[CellDecision]) -> None:
        for each in decisions:
            if isinstance(each.message, Grant):
                self._on_grant.pop(each.message.ask_id)(each.message.backend)

    def _tell(self, message: FirstToken | Release) -> None:
        self._take(self.cell.handle(message, self._now))

    def _ask(
        self, avoid: tuple[str, ...], on_grant: Callable[[str, str], None]
    ) -> None:
        number = next(self._sequence)
        ask_id = f"a{number}"
        self._on_grant[ask_id] = lambda name: on_grant(ask_id, name)
        holder = HOLDERS[number % len(HOLDERS)]
        made = ask(ask_id, holder=holder, avoid=avoid)
        self._take(self.cell.handle(made, self._now))

    def _stream(self, avoid: tuple[str, ...]) -> None:
        def begin(ask_id: str, name: str) -> None:
            self.streams.append((self._now, name))
            broken = self.breaks and name == BREAKING
            took_s = BROKEN_S if broken else SOUND_S
            tokens = BROKEN_TOKENS if broken else TOKENS
            cancelled = ReleaseOutcome.CANCELLED
            release = Release(ask_id, cancelled, took_s, tokens)
            self._after(
                FIRST_S, lambda: self._tell(FirstToken(ask_id, FIRST_S))
            )
            self._after(took_s, lambda: self._doubt(release, name, broken))

        self._ask(avoid, begin)

    def _doubt(self, release: Release, name: str, broken: bool) -> None:
        self._tell(release)
        outcome = ReleaseOutcome.FAILED if broken else ReleaseOutcome.DONE
        verdict = Release(
            release.ask_id, outcome, release.service_s, release.tokens
        )

        def begin(ask_id: str, _name: str) -> None:
            self._after(SETTLING_S, lambda: settle(ask_id))

        def settle(ask_id: str) -> None:
            own = ReleaseOutcome.CANCELLED if broken else ReleaseOutcome.DONE
            self._tell(FirstToken(ask_id, SETTLING_S))
            self._tell(Release(ask_id, own, SETTLING_S, 1))
            self._tell(verdict)
            if broken:
                self._stream((name,))

        self._ask((name,), begin)


class BreakingEngineTest(unittest.TestCase):
    """An engine that broke each stream off kept its share of the work."""

    def test_it_gets_single_streams_after_its_first_ones(self) -> None:
        play = Play(breaks=True)
        play.run()
        at = [at for at, name in play.streams if name == BREAKING]
        first = [each for each in at if each < 1.0]
        self.assertLessEqual(len(first), 2 * SLOTS)
        later = len(at) - len(first)
        # Holds and waits between probes double up to the longest one.
        longest_s = HealthSettings().max_probe_interval_s
        self.assertLessEqual(later, 2 * PLAY_S / longest_s)
        self.assertEqual((1.0, 0), (play.least_share, play.running))

    def test_sound_engines_stay(self) -> None:
        play = Play(breaks=False)
        play.run()
        self.assertEqual([], play.cell.health.reduced())
        self.assertEqual((1.0, 0), (play.least_share, play.running))
        for each in ENGINES:
            count = sum(name == each for _, name in play.streams)
            self.assertGreater(count, 0.8 * len(play.streams) / len(ENGINES))


if __name__ == "__main__":
    unittest.main()
