"""Simulation of one policy on a fleet of modelled engines."""

from __future__ import annotations

from dataclasses import field
from functools import partial
import random
from typing import TYPE_CHECKING

from mulberrypass.bench.load.recorder import Recorder
from mulberrypass.bench.load.workload import BATCH_SIZES
from mulberrypass.bench.model.engine import (
    NETWORK_DELAY_S,
    ModelledEngine,
    VirtualClock,
    Work,
)
from mulberrypass.bench.model.policies import EngineFleet
from mulberrypass.model.value_class import value_class
from mulberrypass.policy.messages import WorkClass
from mulberrypass.testing.engine_step import EngineShape

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence as AbcSequence

    from mulberrypass.bench.load.workload import Arrival, SizeRange
    from mulberrypass.bench.model.policies import Policy
    from mulberrypass.testing.engine_step import Sequence

BATCH_CUSTOMER = "night"
BATCH_BUDGET_S = 3_600.0


@value_class
class Slowdown:
    """Temporary slowdown of some engines.

    :param factor: factor by which their steps take longer
    """

    engines: tuple[int, ...]
    factor: float
    start: float
    end: float


@value_class
class Scenario:
    """Load and faults of one simulation.

    :param batch: whether batch items are always waiting
    :param warm_up_s: seconds at the start that are not measured
    :param customers: customers whose online work is measured; empty for all
    :param max_measured: number of first online requests that are measured
    :param deadline_s: time budget of an online request
    """

    seconds: float
    online: tuple[Arrival, ...]
    batch: bool = False
    batch_sizes: SizeRange = BATCH_SIZES
    batch_at: float = 0.0
    warm_up_s: float = 2.0
    slowdown: Slowdown | None = None
    customers: tuple[str, ...] = ()
    max_measured: int = 1_000_000_000
    deadline_s: float = 30.0
    engines: int = 5
    shape: EngineShape = field(default_factory=EngineShape)
    seed: int = 1


@value_class
class SimulationResult:
    """Measurements of one simulation."""

    online: Recorder
    refusal: Recorder
    batch_tokens_per_s: float
    batch_sent: int
    batch_done: int


class ModelFleet(EngineFleet):
    """Modelled engines with one policy in one scenario."""

    def __init__(
        self, scenario: Scenario, policy: Callable[[EngineFleet], Policy]
    ) -> None:
        self.clock = VirtualClock()
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

    def run(self) -> SimulationResult:
        """Run the scenario to its end and return the measurements."""
        scenario = self._scenario
        self._schedule_online(scenario.online)
        self._schedule_slowdown(scenario.slowdown)
        if scenario.batch:
            for _ in range(self._policy.batch_items):
                self.clock.at(scenario.batch_at, self._new_item)
        self.clock.run(scenario.seconds)
        measured_s = scenario.seconds - scenario.warm_up_s
        return SimulationResult(
            self._online,
            self._refusal,
            self._batch_tokens / measured_s,
            self._batch_sent,
            self._batch_done,
        )

    def dispatch(self, work: Work, engine: int) -> None:
        """Send work to an engine."""
        work.engine = engine
        work.sent_at = self.clock.now
        self._batch_sent += not work.online
        submit = partial(self._engines[engine].submit, work)
        self.clock.after(NETWORK_DELAY_S, submit)

    def cancel(self, work: Work) -> None:
        """Cancel work at its engine."""
        cancel = partial(self._engines[work.engine].cancel, work.run_id)
        self.clock.after(NETWORK_DELAY_S, cancel)

    def refuse(self, work: Work) -> None:
        """Record that the caller received a refusal."""
        if self._is_measured(work):
            self._online.record_refused()
            self._refusal.total.record(self.clock.now - work.arrived)

    def _schedule_online(self, arrivals: AbcSequence[Arrival]) -> None:
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
            submit = partial(self._policy.submit, work)
            self.clock.at(arrival.at, submit)

    def _schedule_slowdown(self, slowdown: Slowdown | None) -> None:
        if slowdown is None:
            return
        for index in slowdown.engines:
            slow_down = partial(self._set_slow, index, slowdown.factor)
            self.clock.at(slowdown.start, slow_down)
            self.clock.at(slowdown.end, partial(self._set_slow, index, 1.0))

    def _set_slow(self, index: int, factor: float) -> None:
        self._engines[index].slow_factor = factor

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
        self._policy.submit(work)

    def _on_token(self, work: Work, sequence: Sequence) -> None:
        first = sequence.generated == 1
        finished = sequence.finished
        receive = partial(
            self._receive_token, work, work.run_id, first, finished
        )
        self.clock.after(NETWORK_DELAY_S, receive)

    def _receive_token(
        self, work: Work, run_id: str, first: bool, finished: bool
    ) -> None:
        if work.run_id != run_id:
            return
        now = self.clock.now
        measured = self._is_measured(work)
        if first:
            self._policy.on_first_token(work)
            if measured and work.online:
                self._online.first.record(now - work.arrived)
        elif work.online:
            gap = now - work.last_token_at
            work.gaps_s.append(gap)
            if measured:
                self._online.gap.record(gap)
        work.last_token_at = now
        if finished:
            self._policy.on_done(work)
            self._finish(work, measured)

    def _finish(self, work: Work, measured: bool) -> None:
        now = self.clock.now
        if work.online:
            if measured:
                late = now - work.arrived > work.budget_s
                tokens = 0 if late else work.size.output_tokens
                self._online.record_done(now - work.arrived, tokens)
                if late:
                    self._online.record_late()
            return
        if now >= self._scenario.warm_up_s:
            self._batch_done += 1
            self._batch_tokens += work.size.output_tokens
        self._new_item()

    def _is_measured(self, work: Work) -> bool:
        if not work.online or work.arrived < self._scenario.warm_up_s:
            return False
        if work.index >= self._scenario.max_measured:
            return False
        customers = self._scenario.customers
        return not customers or work.customer in customers


__all__ = ["ModelFleet", "Scenario", "SimulationResult", "Slowdown"]
