"""Baselines: callers who go straight to the engines, without the system."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections import deque
import random
import threading
import time
from typing import TYPE_CHECKING

from mulberrypass.bench.load.open_loop import (
    Answered,
    Outgoing,
    Sender,
    prompt_of,
)
from mulberrypass.bench.load.workload import BATCH_SIZES, Arrival
from mulberrypass.engine.api import Finished, GenerationRequest, Tokens
from mulberrypass.engine.model_client import HttpModelEngine

if TYPE_CHECKING:
    from collections.abc import Sequence

    from expression import Result

    from mulberrypass.engine.api import EngineFailed, StreamEvent

BATCH_CHUNK_TOKENS = 16
BATCH_DEADLINE_S = 300.0


class Chooser(ABC):
    """Chooses an engine for each piece of work."""

    @abstractmethod
    def take(self) -> int:
        """Choose an engine; may wait for a slot."""

    def give_back(self, engine: int) -> None:
        """Hear of the end of a piece of work."""
        return


class RoundRobinChooser(Chooser):
    """One engine after the other."""

    def __init__(self, engines: int) -> None:
        self._engines = engines
        self._next = 0
        self._lock = threading.Lock()

    def take(self) -> int:
        """Give the next engine."""
        with self._lock:
            self._next += 1
            return self._next % self._engines


class LeastOutstandingChooser(Chooser):
    """The engine with the least outstanding."""

    def __init__(self, engines: int) -> None:
        self._outstanding = [0] * engines
        self._lock = threading.Lock()

    def take(self) -> int:
        """Give the engine with the least outstanding."""
        with self._lock:
            counts = self._outstanding
            least = min(range(len(counts)), key=counts.__getitem__)
            counts[least] += 1
            return least

    def give_back(self, engine: int) -> None:
        """Count a piece of work out."""
        with self._lock:
            self._outstanding[engine] -= 1


class QueueChooser(LeastOutstandingChooser):
    """One queue in order of arrival, before engines with capped slots."""

    def __init__(self, engines: int, slots: int) -> None:
        super().__init__(engines)
        self._slots = slots
        self._waiting: deque[_Turn] = deque()

    def take(self) -> int:
        """Wait for a turn, and give the engine with the least."""
        turn = _Turn()
        with self._lock:
            self._waiting.append(turn)
            self._fill()
        turn.ready.wait()
        return turn.engine

    def give_back(self, engine: int) -> None:
        """Count a piece of work out, and let the next go."""
        with self._lock:
            self._outstanding[engine] -= 1
            self._fill()

    def _fill(self) -> None:
        counts = self._outstanding
        while self._waiting:
            least = min(range(len(counts)), key=counts.__getitem__)
            if counts[least] >= self._slots:
                return
            counts[least] += 1
            turn = self._waiting.popleft()
            turn.engine = least
            turn.ready.set()


class _Turn:
    def __init__(self) -> None:
        self.ready = threading.Event()
        self.engine = 0


class DirectSender(Sender):
    """Sends to the engines themselves, by one chooser for all work."""

    def __init__(
        self, engines: Sequence[str], slots: int, baseline: str
    ) -> None:
        self._engines = [HttpModelEngine(address) for address in engines]
        self._chooser = _chooser(baseline, len(engines), slots)
        self._baseline = baseline
        self._slots = slots
        self._stop = threading.Event()
        self._threads: list[threading.Thread] = []

    def send(self, req: Outgoing) -> Answered:
        """Send a request, and wait for its end."""
        engine = self._chooser.take()
        try:
            name = f"o-{req.arrival.customer}-{req.index}-{req.intended}"
            left = max(0.1, req.left_s + BATCH_DEADLINE_S)
            return self._generate(engine, name, req, 1, left)
        finally:
            self._chooser.give_back(engine)

    def start_batch(self, seed: int) -> None:
        """Keep as many batch items going as there are slots, or more."""
        factor = 2 if self._baseline == "no priority" else 1
        count = self._slots * len(self._engines) * factor
        for worker in range(count):
            thread = threading.Thread(
                target=self._batch, args=(worker, seed), daemon=True
            )
            self._threads.append(thread)
            thread.start()

    def close(self) -> None:
        """End the batch work, and close idle connections."""
        self._stop.set()
        for thread in self._threads:
            thread.join()
        for engine in self._engines:
            engine.close()

    def _batch(self, worker: int, seed: int) -> None:
        rng = random.Random(f"{seed}/{worker}")
        item = 0
        while not self._stop.is_set():
            item += 1
            arrival = Arrival(0.0, BATCH_SIZES.draw(rng), f"b{worker}")
            now = time.monotonic()
            req = Outgoing(
                item, arrival, prompt_of(arrival, item, f"{now}"), now, 60.0
            )
            engine = self._chooser.take()
            try:
                self._generate(
                    engine,
                    f"b-{worker}-{item}-{now}",
                    req,
                    BATCH_CHUNK_TOKENS,
                    BATCH_DEADLINE_S,
                )
            finally:
                self._chooser.give_back(engine)

    def _generate(
        self,
        engine: int,
        name: str,
        req: Outgoing,
        chunk: int,
        deadline_s: float,
    ) -> Answered:
        answered = Answered()
        size = req.arrival.size
        generation = GenerationRequest(
            name, "rackmind", "r1", req.prompt, size.output_tokens, chunk
        )
        events = self._engines[engine].generate(generation, deadline_s)
        for event in events:
            if self._stop.is_set() and chunk > 1:
                self._engines[engine].cancel(name)
                break
            _take_in(event, answered)
        return answered


def _take_in(
    event: Result[StreamEvent, EngineFailed], answered: Answered
) -> None:
    if event.is_error():
        answered.error = event.error.reason
        return
    match event.ok:
        case Tokens(tokens=tokens):
            answered.add(tokens)
        case Finished():
            return


def _chooser(baseline: str, engines: int, slots: int) -> Chooser:
    match baseline:
        case "round robin":
            return RoundRobinChooser(engines)
        case "least outstanding":
            return LeastOutstandingChooser(engines)
        case _:
            return QueueChooser(engines, slots)


BASELINES = ("round robin", "least outstanding", "no priority")


__all__ = ["BASELINES", "Chooser", "DirectSender"]
