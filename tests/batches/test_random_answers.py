"""Items at engines that misbehave at random, with random revocations."""

from __future__ import annotations

from concurrent.futures import ThreadPoolExecutor
import random
import threading
import time
from typing import TYPE_CHECKING
import unittest

from mulberrypass.batches.run import ItemRun
from mulberrypass.model.batch_jobs import ItemOutcome, ItemState
from mulberrypass.platform.engines import HttpEngineClient
from mulberrypass.platform.headers import REQUEST_ID
from mulberrypass.platform.site import HostPort
from mulberrypass.platform.stand_in.engine import event
from mulberrypass.platform.stand_in.raw_engine import (
    RawEngine,
    RawFaults,
    RunEnd,
)
from mulberrypass.policy.batches.order import ItemPace
from mulberrypass.relay.directory import Directory
from mulberrypass.relay.forward import RelayDependencies
from mulberrypass.relay.permits import PermitAcquirer
from mulberrypass.relay.watch import CallWatch
from tests.batches import cases
from tests.batches.cases import run_item
from tests.engine.endless import HOST
from tests.relay.fakes import ScriptedPermits, engine, request, table

if TYPE_CHECKING:
    from mulberrypass.model.batch_jobs import BatchItem, JobHead
    from mulberrypass.relay.api import RelayRequest

SEEDS = range(6)
ITEMS = 12
ENGINES = 2
EVENTS = 6
EVENT_S = 0.004
CALM_AFTER_S = 1.5
GIVE_UP_S = 20.0
MAX_ATTEMPTS = 1_000
QUEUED_ENDS = 2


class RandomAnswersTest(unittest.TestCase):
    """Outputs that were not whole, or another item's."""

    def setUp(self) -> None:
        self.faults = [RawFaults() for _ in range(ENGINES)]
        self.engines = [
            RawEngine(f"e{n}", HostPort(HOST, 0), EVENTS, EVENT_S, faults)
            for n, faults in enumerate(self.faults)
        ]
        for each in self.engines:
            each.start()
            self.addCleanup(each.end)
        self.directory = Directory()
        route = cases.route(max_attempts=MAX_ATTEMPTS)
        self.directory.apply_routes(table(route))
        self.directory.set_engines(
            engine(each.name, address=f"{each.at.host}:{each.at.port}")
            for each in self.engines
        )
        self.client = HttpEngineClient()
        self.addCleanup(self.client.retain, frozenset())
        self.watch = CallWatch()
        self.watch.start()
        self.addCleanup(self.watch.stop)

    def make_run(self, item_id: str, permits: ScriptedPermits) -> ItemRun:
        def make_request(
            _head: JobHead, _item: BatchItem, after: int | None
        ) -> RelayRequest:
            return request(
                request_id=item_id,
                headers=((REQUEST_ID, item_id),),
                after_event=after,
            )

        return ItemRun(
            RelayDependencies(
                self.directory,
                PermitAcquirer("entry@a", permits, self.directory),
                self.client,
                self.watch,
            ),
            cases.head(first_s=time.time()),
            0,
            cases.item(0, item_id=item_id),
            make_request,
            lambda: False,
            ItemPace(),
            time.monotonic() + GIVE_UP_S,
        )

    def misbehave(self, rng: random.Random, until: float) -> None:
        """Change the faults of the engines until they turn calm."""
        while time.monotonic() < until:
            faults = rng.choice(self.faults)
            faults.unframed = rng.random() < 0.5
            faults.repeated = rng.random() < 0.5
            faults.failures = rng.choice((0, 0, 1, 2))
            faults.refusals = rng.choice((0, 0, 1))
            faults.ids_in_refusals = rng.random() < 0.5
            # In the middle of an event, or never.
            faults.break_after = rng.choice((None, None, 12, 33))
            faults.resumed_bytes = rng.choice((None, None, None, 12))
            faults.unstamped = rng.choice((0, 0, 1))
            if len(faults.ends) < QUEUED_ENDS:
                faults.ends.append(random_end(rng))
            time.sleep(rng.random() * 0.01)
        for faults in self.faults:
            faults.unframed = faults.repeated = False
            faults.failures = faults.refusals = faults.unstamped = 0
            faults.break_after = faults.resumed_bytes = None
            faults.ends.clear()

    def revoke(
        self, rng: random.Random, permits: list[ScriptedPermits], until: float
    ) -> None:
        while time.monotonic() < until:
            revoke = rng.choice(permits).revoke
            if revoke is not None:
                revoke()
            time.sleep(rng.random() * 0.004)

    def play(self, seed: int) -> list[ItemOutcome | None]:
        """Run all items of a seed, some of them more than once."""
        rng = random.Random(seed)
        until = time.monotonic() + CALM_AFTER_S
        permits = [
            ScriptedPermits(*rng.sample(["e0", "e1"], ENGINES))
            for _ in range(ITEMS)
        ]
        others = [
            threading.Thread(target=self.misbehave, args=(rng, until)),
            threading.Thread(target=self.revoke, args=(rng, permits, until)),
        ]
        for thread in others:
            thread.start()
        with ThreadPoolExecutor(ITEMS) as pool:
            # Each id runs twice side by side, as over a takeover.
            runs = [
                pool.submit(run_item, self.make_run(f"i{seed}-{n // 2}", p))
                for n, p in enumerate(permits)
            ]
            outcomes = [run.result() for run in runs]
        for thread in others:
            thread.join()
        return outcomes

    def test_outputs_are_whole(self) -> None:
        for seed in SEEDS:
            outcomes = self.play(seed)
            for number, outcome in enumerate(outcomes):
                with self.subTest(seed=seed, number=number):
                    assert outcome is not None
                    self.assertIs(ItemState.COMPLETED, outcome.state)
                    item_id = f"i{seed}-{number // 2}"
                    self.assertEqual(outcome.item_id, item_id)
                    self.assertEqual(whole(item_id), outcome.output)


def random_end(rng: random.Random) -> RunEnd:
    """Return how a run ends.

    Two runs that end plainly at the same event can't be told from whole
    ones, so a run that ends so has brought at least one new event, or none.
    """
    unframed = rng.random() < 0.8
    if rng.random() < 0.2:
        return RunEnd(rng.randrange(EVENTS), reset=True, unframed=unframed)
    events = rng.choice((None, None, 0, 2, 3, 4))
    return RunEnd(events, unframed=unframed, again=rng.random() < 0.5)


def whole(item_id: str) -> str:
    """Return the whole output of an item."""
    return "\n".join(
        event(item_id, number).decode().partition("data: ")[2].strip()
        for number in range(1, EVENTS + 1)
    )


if __name__ == "__main__":
    unittest.main()
