"""Engines and a fleet on a virtual clock, to try policies quickly."""

from __future__ import annotations

from dataclasses import dataclass, field
import heapq
import itertools
from typing import TYPE_CHECKING

from mulberrypass.policy.messages import WorkClass
from mulberrypass.testing.engine_step import Sequence, StepModel

if TYPE_CHECKING:
    from collections.abc import Callable

    from mulberrypass.bench.load.workload import Size
    from mulberrypass.testing.engine_step import EngineShape

NETWORK_S = 0.001_5


@dataclass(slots=True)
class Work:
    """One request or batch item on its way through the model.

    :param sent_at: when it went to an engine
    :param index: its place in the order of arrival
    :param attempt: how often it was sent
    """

    work_id: str
    work_class: WorkClass
    customer: str
    size: Size
    arrived: float
    budget_s: float = 30.0
    sent_at: float = 0.0
    last_at: float = 0.0
    gaps_s: list[float] = field(default_factory=list)
    attempt: int = 0
    engine: int = -1
    index: int = 0

    @property
    def online(self) -> bool:
        """Whether it is online work."""
        return self.work_class is WorkClass.ONLINE

    @property
    def gap_s(self) -> float:
        """The 95th percentile gap between its tokens."""
        if not self.gaps_s:
            return 0.0
        return sorted(self.gaps_s)[int(len(self.gaps_s) * 0.95)]

    @property
    def run_id(self) -> str:
        """Names this attempt."""
        return f"{self.work_id}/{self.attempt}"


class Clock:
    """Virtual time, and what is to be done when."""

    def __init__(self) -> None:
        self.now = 0.0
        self._order = itertools.count()
        self._heap: list[tuple[float, int, Callable[[], None]]] = []

    def at(self, when: float, action: Callable[[], None]) -> None:
        """Do something at a time."""
        heapq.heappush(self._heap, (when, next(self._order), action))

    def after(self, delay_s: float, action: Callable[[], None]) -> None:
        """Do something after a while."""
        self.at(self.now + delay_s, action)

    def run(self, until: float) -> None:
        """Do all that is due up to a time."""
        while self._heap and self._heap[0][0] <= until:
            self.now, _, action = heapq.heappop(self._heap)
            action()
        self.now = until


class ModelledEngine:
    """One engine that makes its steps on a virtual clock.

    :param on_token: told of each token of each run
    :ivar slow: factor by which its steps take longer
    """

    def __init__(
        self,
        index: int,
        shape: EngineShape,
        clock: Clock,
        on_token: Callable[[Work, Sequence], None],
    ) -> None:
        self.index = index
        self.slow = 1.0
        self._clock = clock
        self._model = StepModel(shape)
        self._on_token = on_token
        self._works: dict[str, Work] = {}
        self._stepping = False

    def submit(self, work: Work) -> None:
        """Take a run in."""
        self._works[work.run_id] = work
        size = work.size
        self._model.add(
            Sequence(work.run_id, size.prompt_tokens, size.output_tokens)
        )
        if not self._stepping:
            self._stepping = True
            self._begin()

    def cancel(self, run_id: str) -> None:
        """Drop a run."""
        if self._works.pop(run_id, None) is not None:
            self._model.remove(run_id)

    def _begin(self) -> None:
        if self._model.idle:
            self._stepping = False
            return
        self._clock.after(self._model.begin() * self.slow, self._end)

    def _end(self) -> None:
        for sequence in self._model.end():
            work = self._works[sequence.request_id]
            if sequence.finished:
                del self._works[sequence.request_id]
            self._on_token(work, sequence)
        self._begin()


__all__ = ["Clock", "ModelledEngine", "NETWORK_S", "Work"]
