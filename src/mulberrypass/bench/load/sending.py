"""Runs a load plan from several sender processes."""

from __future__ import annotations

from concurrent.futures import ProcessPoolExecutor
import multiprocessing
import sys
import threading
import time
from typing import TYPE_CHECKING

from mulberrypass.bench.load.direct_sender import DirectSender
from mulberrypass.bench.load.entry_sender import EntrySender
from mulberrypass.bench.load.open_loop import LoadOutcome, Sample, send_all
from mulberrypass.model.value_class import value_class

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from mulberrypass.bench.load.open_loop import LoadPlan, Sender
    from mulberrypass.bench.processes.cluster import Cluster

SENDER_PROCESSES = 4
START_DELAY_S = 2.5
SWITCH_INTERVAL_S = 0.000_5
SYSTEM = "mulberrypass"


@value_class
class SenderSpec:
    """How the sender processes send their requests.

    :param policy: ``mulberrypass``, or a baseline that bypasses the system
    :param slots: slots of each engine
    :param batch: whether a baseline also runs batch work
    """

    policy: str
    seeds: tuple[str, ...]
    engines: tuple[str, ...]
    customers: tuple[str, ...]
    slots: int
    batch: bool = False

    def make_sender(self, part: int) -> Sender:
        """Create the sender of one process."""
        if self.policy == SYSTEM:
            return EntrySender(self.seeds, self.customers)
        slots = max(1, self.slots // SENDER_PROCESSES)
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
) -> LoadOutcome:
    """Send the requests of a plan and collect the results.

    :param events: actions to run, with their seconds after the start
    """
    spec = SenderSpec(
        policy,
        cluster.seeds(),
        cluster.engines,
        cluster.shape.customers,
        cluster.shape.slots,
        batch,
    )
    context = multiprocessing.get_context("spawn")
    start = time.monotonic() + START_DELAY_S
    token_counts: list[int] = []
    window = (plan.warm_up_s, plan.seconds)
    timers = [
        *(_start_timer(start, at, action) for at, action in events),
        *(
            _start_timer(
                start,
                at,
                lambda: token_counts.append(cluster.finished_tokens()),
            )
            for at in window
        ),
    ]
    with ProcessPoolExecutor(SENDER_PROCESSES, mp_context=context) as pool:
        futures = [
            pool.submit(_send_part, plan, spec, start, part)
            for part in range(SENDER_PROCESSES)
        ]
        samples = [s for future in futures for s in future.result()]
    for timer in timers:
        timer.join()
    samples.sort(key=lambda sample: sample.index)
    finished = token_counts[-1] - token_counts[0]
    return LoadOutcome(plan, samples, finished, plan.seconds - plan.warm_up_s)


def _send_part(
    plan: LoadPlan, spec: SenderSpec, start: float, part: int
) -> list[Sample]:
    sys.setswitchinterval(SWITCH_INTERVAL_S)
    sender = spec.make_sender(part)
    try:
        return send_all(plan, sender, start, part, SENDER_PROCESSES)
    finally:
        sender.close()


def _start_timer(
    start: float, at: float, action: Callable[[], None]
) -> threading.Timer:
    timer = threading.Timer(start + at - time.monotonic(), action)
    timer.start()
    return timer


__all__ = ["SENDER_PROCESSES", "SYSTEM", "run_plan"]
