"""Tests of the trust in an engine that sends bytes without an end."""

from __future__ import annotations

import heapq
import random
from typing import TYPE_CHECKING
import unittest

from mulberrypass.policy.admission.settings import HealthSettings
from mulberrypass.policy.messages import Grant, Release, ReleaseOutcome
from tests.policy.admission.cases import MEMBERS, ask, engine, make_cell

if TYPE_CHECKING:
    from collections.abc import Iterable

    from mulberrypass.policy.admission.cell import CellDecision

FAULTY = "core-0"
ENGINES = (FAULTY, "core-1", "core-2")
SLOTS = 8
HOLDERS = sorted(MEMBERS)
ASK_EACH_S = 0.02
SOUND_S = 0.2
# From the request to the end of an answer that had to yield.
FLOOD_S = 0.4
PLAY_S = 60.0
SEED = 31


class EndlessEngineTest(unittest.TestCase):
    """An engine whose answers are turned away is avoided by all instances."""

    def play(self, share: float) -> list[float]:
        """Return when the faulty engine got requests.

        :param share: of its answers that have no end
        """
        rng = random.Random(SEED)
        cell = make_cell([engine(name, SLOTS) for name in ENGINES])
        ends: list[tuple[float, str, ReleaseOutcome, float]] = []
        floods = []

        def grant(decisions: Iterable[CellDecision], now: float) -> None:
            for each in decisions:
                if not isinstance(each.message, Grant):
                    continue
                flood = each.message.backend == FAULTY
                flood = flood and rng.random() < share
                if flood:
                    floods.append(now)
                took_s = FLOOD_S if flood else SOUND_S
                outcome = (
                    ReleaseOutcome.FAILED if flood else ReleaseOutcome.DONE
                )
                end = (now + took_s, each.message.ask_id, outcome, took_s)
                heapq.heappush(ends, end)

        for number in range(round(PLAY_S / ASK_EACH_S)):
            now = number * ASK_EACH_S
            while ends and ends[0][0] <= now:
                _, ask_id, outcome, took_s = heapq.heappop(ends)
                grant(cell.handle(Release(ask_id, outcome, took_s), now), now)
            holder = HOLDERS[number % len(HOLDERS)]
            made = ask(f"a{number}", holder=holder)
            grant(cell.handle(made, now), now)
            grant(cell.tick(now), now)
        return floods

    def test_it_gets_single_requests_after_its_first_answers(self) -> None:
        floods = self.play(share=1.0)
        first = [at for at in floods if at < 2 * FLOOD_S]
        self.assertLessEqual(len(first), 2 * SLOTS)
        later = [at for at in floods if at >= 2 * FLOOD_S]
        # Holds and waits between probes double up to the longest one.
        longest_s = HealthSettings().max_probe_interval_s
        self.assertLessEqual(len(later), 2 * PLAY_S / longest_s)


if __name__ == "__main__":
    unittest.main()
