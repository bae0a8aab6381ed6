"""Runs one policy against modelled engines, and measures it."""

from __future__ import annotations

from dataclasses import dataclass, field
from functools import partial
import random
from typing import TYPE_CHECKING

from mulberrypass.bench.load.recorder import Recorder
from mulberrypass.bench.load.workload import BATCH_SIZES
from mulberrypass.bench.model.engine import (
    NETWORK_S,
    Clock,
    ModelledEngine,
    Work,
)
from mulberrypass.bench.model.policies import Fleet
from mulberrypass.policy.messages import WorkClass
from mulberrypass.testing.engine_step import EngineShape

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence as ListedMachine

    from mulberrypass.bench.load.workload import Arrival, Sizes
    from mulberrypass.bench.model.policies import Policy
    from mulberrypass.testing.engine_step import Sequence

BATCH_CUSTOMER = "night"
BATCH_BUDGET_S = 3_600.0


@dataclass(frozen=True, slots=True)
class Slowdown:
    """Engines that are slower for a while.

    :param factor: how many times longer their steps take
    """

    engines: tuple[int, ...]
    factor: float
    start: float
    end: float


@dataclass(frozen=True, slots=True)
class Scenario:
    """What happens to the fleet.

    :param batch: whether batch work is always waiting
    :param warm_s: seconds at the start that are not measured
    :param customers: whose online work is measured; empty for all
    :param measured: how many of the first online requests are measured
    :param deadline_s: budget of an online request
    """

    seconds: float
    online: tuple[Arrival, ...]
    batch: bool = False
    batch_sizes: Sizes = BATCH_SIZES
    batch_at: float = 0.0
    warm_s: float = 2.0
    slowdown: Slowdown | None = None
    customers: tuple[str, ...] = ()
    measured: int = 1_000_000_000
    deadline_s: float = 30.0
    engines: int = 5
    shape: EngineShape = field(default_factory=EngineShape)
    seed: int = 1


@dataclass(frozen=True, slots=True)
class Measured:
    """What was measured of one run."""

    online: Recorder
    refusal: Recorder
    batch_tokens_per_s: float
    batch_sent: int
    batch_done: int


class ModelFleet(Fleet):
    """Modelled engines under one policy and one scenario."""

    def __init__(
        self, scenario: Scenario, policy: Callable[[Fleet], Policy]
    ) -> None:
        self.clock = Clock()
        self.shape = scenario.shape
        self.engines = scenario.engines
        self._scenario = scenario
        self._rng = random.Random(scenario.seed)
        self._engines = [
            ModelledEngine(i, self.shape, self.clock, self._on_token)
            for i in range(self.engines)
        ]
        self._online = Recorder()
        self._refusal = Recorder()
        self._batch_tokens = 0
        self._batch_done = 0
        self._batch_sent = 0
        self._items = 0
        self._policy = policy(self)

    def run(self) -> Measured:
        """Run the scenario to its end."""
        scenario = self._scenario
        self._schedule_online(scenario.online)
        self._schedule_slowdown(scenario.slowdown)
        if scenario.batch:
            for _ in range(self._policy.batch_items):
                self.clock.at(scenario.batch_at, self._new_item)
        self.clock.run(scenario.seconds)
        measured_s = scenario.seconds - scenario.warm_s
        return Measured(
            self._online,
            self._refusal,
            self._batch_tokens / measured_s,
            self._batch_sent,
            self._batch_done,
        )

    def dispatch(self, work: Work, engine: int) -> None:
        """Send a piece of work to an engine."""
        work.engine = engine
        work.sent_at = self.clock.now
        self._batch_sent += not work.online
        submit = partial(self._engines[engine].submit, work)
        self.clock.after(NETWORK_S, submit)

    def cancel(self, work: Work) -> None:
        """Cancel a piece of work at its engine."""
        cancel = partial(self._engines[work.engine].cancel, work.run_id)
        self.clock.after(NETWORK_S, cancel)

    def refused(self, work: Work) -> None:
        """Note that the caller heard that the work did not run."""
        if self._counts(work):
            self._online.refuse()
            self._refusal.total.record(self.clock.now - work.arrived)

    def _schedule_online(self, arrivals: ListedMachine[Arrival]) -> None:
        for index, arrival in enumerate(arrivals):
            work = Work(
                f"r{index}",
                WorkClass.ONLINE,
                arrival.customer,
                arrival.size,
                arrival.at,
                self._scenario.deadline_s,
                index=index,
            )
            arrive = partial(self._policy.arrive, work)
            self.clock.at(arrival.at, arrive)

    def _schedule_slowdown(self, slowdown: Slowdown | None) -> None:
        if slowdown is None:
            return
        for index in slowdown.engines:
            slow = partial(self._set_slow, index, slowdown.factor)
            self.clock.at(slowdown.start, slow)
            self.clock.at(slowdown.end, partial(self._set_slow, index, 1.0))

    def _set_slow(self, index: int, factor: float) -> None:
        self._engines[index].slow = factor

    def _new_item(self) -> None:
        size = self._scenario.batch_sizes.draw(self._rng)
        self._items += 1
        work = Work(
            f"b{self._items}",
            WorkClass.BATCH,
            BATCH_CUSTOMER,
            size,
            self.clock.now,
            BATCH_BUDGET_S,
        )
        self._policy.arrive(work)

    def _on_token(self, work: Work, sequence: Sequence) -> None:
        first = sequence.generated == 1
        finished = sequence.finished
        heard = partial(self._hear, work, work.run_id, first, finished)
        self.clock.after(NETWORK_S, heard)

    def _hear(
        self, work: Work, run_id: str, first: bool, finished: bool
    ) -> None:
        if work.run_id != run_id:
            return
        now = self.clock.now
        counts = self._counts(work)
        if first:
            self._policy.first_token(work)
            if counts and work.online:
                self._online.first.record(now - work.arrived)
        elif work.online:
            gap = now - work.last_at
            work.gaps_s.append(gap)
            if counts:
                self._online.gap.record(gap)
        work.last_at = now
        if finished:
            self._policy.done(work)
            self._finish(work, counts)

    def _finish(self, work: Work, counts: bool) -> None:
        now = self.clock.now
        if work.online:
            if counts:
                late = now - work.arrived > work.budget_s
                tokens = 0 if late else work.size.output_tokens
                self._online.finish(now - work.arrived, tokens)
                if late:
                    self._online.late()
            return
        if now >= self._scenario.warm_s:
            self._batch_done += 1
            self._batch_tokens += work.size.output_tokens
        self._new_item()

    def _counts(self, work: Work) -> bool:
        if not work.online or work.arrived < self._scenario.warm_s:
            return False
        if work.index >= self._scenario.measured:
            return False
        customers = self._scenario.customers
        return not customers or work.customer in customers


__all__ = ["Measured", "ModelFleet", "Scenario", "Slowdown"]
