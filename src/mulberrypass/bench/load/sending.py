"""Runs a load plan from several processes, as many callers would."""

from __future__ import annotations

from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
import multiprocessing
import sys
import threading
import time
from typing import TYPE_CHECKING

from mulberrypass.bench.load.direct_sender import DirectSender
from mulberrypass.bench.load.entry_sender import EntrySender
from mulberrypass.bench.load.open_loop import Outcome, Sample, send_all

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from mulberrypass.bench.load.open_loop import LoadPlan, Sender
    from mulberrypass.bench.processes.cluster import Cluster

PARTS = 4
LEAD_S = 2.5
SWITCH_INTERVAL_S = 0.000_5
SYSTEM = "mulberrypass"


@dataclass(frozen=True, slots=True)
class Route:
    """Which way the requests take.

    :param policy: ``mulberrypass``, or a baseline that goes directly
    :param batch: whether a baseline runs batch work beside
    """

    policy: str
    seeds: tuple[str, ...]
    engines: tuple[str, ...]
    customers: tuple[str, ...]
    slots: int
    batch: bool = False

    def open(self, part: int) -> Sender:
        """Make the sender of one process."""
        if self.policy == SYSTEM:
            return EntrySender(self.seeds, self.customers)
        slots = max(1, self.slots // PARTS)
        sender = DirectSender(self.engines, slots, self.policy)
        if self.batch:
            sender.start_batch(part)
        return sender


def run_plan(
    plan: LoadPlan,
    cluster: Cluster,
    policy: str,
    batch: bool = False,
    events: Collection[tuple[float, Callable[[], None]]] = (),
) -> Outcome:
    """Send a plan's requests, and gather what they showed.

    :param events: what else is done, by seconds after the start
    """
    route = Route(
        policy,
        cluster.seeds(),
        cluster.engines,
        cluster.shape.customers,
        cluster.shape.slots,
        batch,
    )
    context = multiprocessing.get_context("spawn")
    start = time.monotonic() + LEAD_S
    counted: list[int] = []
    marks = (plan.warm_s, plan.seconds)
    timers = [
        *(_timer(start, at, action) for at, action in events),
        *(
            _timer(
                start, at, lambda: counted.append(cluster.finished_tokens())
            )
            for at in marks
        ),
    ]
    with ProcessPoolExecutor(PARTS, mp_context=context) as pool:
        futures = [
            pool.submit(_send_part, plan, route, start, part)
            for part in range(PARTS)
        ]
        samples = [s for future in futures for s in future.result()]
    for timer in timers:
        timer.join()
    samples.sort(key=lambda sample: sample.index)
    finished = counted[-1] - counted[0]
    return Outcome(plan, samples, finished, plan.seconds - plan.warm_s)


def _send_part(
    plan: LoadPlan, route: Route, start: float, part: int
) -> list[Sample]:
    sys.setswitchinterval(SWITCH_INTERVAL_S)
    sender = route.open(part)
    try:
        return send_all(plan, sender, start, part, PARTS)
    finally:
        sender.close()


def _timer(
    start: float, at: float, action: Callable[[], None]
) -> threading.Timer:
    timer = threading.Timer(start + at - time.monotonic(), action)
    timer.start()
    return timer


__all__ = ["PARTS", "SYSTEM", "run_plan"]
