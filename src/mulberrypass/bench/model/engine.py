"""Virtual clock and modelled engines for simulating policies."""

from __future__ import annotations

from dataclasses import dataclass, field
import heapq
import itertools
from typing import TYPE_CHECKING

from mulberrypass.policy.messages import WorkClass
from mulberrypass.testing.engine_step import Sequence, StepModel

if TYPE_CHECKING:
    from collections.abc import Callable

    from mulberrypass.bench.load.workload import RequestSize
    from mulberrypass.testing.engine_step import EngineShape

NETWORK_DELAY_S = 0.001_5


@dataclass(slots=True)
class Work:
    """One online request or batch item in the simulation.

    :param sent_at: time of its dispatch to an engine
    :param last_token_at: time of its latest token
    :param attempt: number of permit requests made for it so far
    :param index: its position in the order of arrival
    """

    work_id: str
    work_class: WorkClass
    customer: str
    size: RequestSize
    arrived: float
    budget_s: float = 30.0
    sent_at: float = 0.0
    last_token_at: float = 0.0
    gaps_s: list[float] = field(default_factory=list)
    attempt: int = 0
    engine: int = -1
    index: int = 0

    @property
    def online(self) -> bool:
        """Whether this is online work."""
        return self.work_class is WorkClass.ONLINE

    @property
    def gap_s(self) -> float:
        """95th percentile of the gaps between its tokens."""
        if not self.gaps_s:
            return 0.0
        return sorted(self.gaps_s)[int(len(self.gaps_s) * 0.95)]

    @property
    def run_id(self) -> str:
        """Id of the current attempt."""
        return f"{self.work_id}/{self.attempt}"


class VirtualClock:
    """Virtual time with scheduled actions."""

    def __init__(self) -> None:
        self.now = 0.0
        self._order = itertools.count()
        self._heap: list[tuple[float, int, Callable[[], None]]] = []

    def at(self, when: float, action: Callable[[], None]) -> None:
        """Schedule an action at a point in time."""
        heapq.heappush(self._heap, (when, next(self._order), action))

    def after(self, delay_s: float, action: Callable[[], None]) -> None:
        """Schedule an action after a delay."""
        self.at(self.now + delay_s, action)

    def run(self, until: float) -> None:
        """Run all actions due up to a point in time."""
        while self._heap and self._heap[0][0] <= until:
            self.now, _, action = heapq.heappop(self._heap)
            action()
        self.now = until


class ModelledEngine:
    """One engine whose steps run on a virtual clock.

    :param on_token: called for each token of each run
    :ivar slow_factor: factor by which its steps are longer than modelled
    """

    def __init__(
        self,
        index: int,
        shape: EngineShape,
        clock: VirtualClock,
        on_token: Callable[[Work, Sequence], None],
    ) -> None:
        self.index = index
        self.slow_factor = 1.0
        self._clock = clock
        self._model = StepModel(shape)
        self._on_token = on_token
        self._work_by_run: dict[str, Work] = {}
        self._stepping = False

    def submit(self, work: Work) -> None:
        """Start a run."""
        self._work_by_run[work.run_id] = work
        size = work.size
        self._model.add(
            Sequence(work.run_id, size.prompt_tokens, size.output_tokens)
        )
        if not self._stepping:
            self._stepping = True
            self._begin()

    def cancel(self, run_id: str) -> None:
        """Cancel a run; ignored if the run has ended."""
        if self._work_by_run.pop(run_id, None) is not None:
            self._model.remove(run_id)

    def _begin(self) -> None:
        if self._model.idle:
            self._stepping = False
            return
        self._clock.after(self._model.begin() * self.slow_factor, self._end)

    def _end(self) -> None:
        for sequence in self._model.end():
            work = self._work_by_run[sequence.request_id]
            if sequence.finished:
                del self._work_by_run[sequence.request_id]
            self._on_token(work, sequence)
        self._begin()


__all__ = ["ModelledEngine", "NETWORK_DELAY_S", "VirtualClock", "Work"]
