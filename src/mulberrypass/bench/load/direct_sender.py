"""Baselines: senders that call the engines directly, without the system."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections import deque
import random
import threading
import time
from typing import TYPE_CHECKING

from mulberrypass.bench.load.open_loop import (
    OutgoingRequest,
    RequestResult,
    Sender,
    make_prompt,
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
    """Load balancer that chooses the engine of each request or item."""

    @abstractmethod
    def acquire(self) -> int:
        """Choose an engine, after waiting for a slot if necessary."""

    def release(self, engine: int) -> None:
        """Record the end of a run at an engine."""
        return


class RoundRobinChooser(Chooser):
    """Chooses the engines in turn."""

    def __init__(self, engines: int) -> None:
        self._engines = engines
        self._next = 0
        self._lock = threading.Lock()

    def acquire(self) -> int:
        """Return the next engine."""
        with self._lock:
            self._next += 1
            return self._next % self._engines


class LeastOutstandingChooser(Chooser):
    """Chooses the engine with the fewest runs."""

    def __init__(self, engines: int) -> None:
        self._outstanding = [0] * engines
        self._lock = threading.Lock()

    def acquire(self) -> int:
        """Return the engine with the fewest runs."""
        with self._lock:
            counts = self._outstanding
            least_loaded = min(range(len(counts)), key=counts.__getitem__)
            counts[least_loaded] += 1
            return least_loaded

    def release(self, engine: int) -> None:
        """Decrement the count of the engine's runs."""
        with self._lock:
            self._outstanding[engine] -= 1


class QueueChooser(LeastOutstandingChooser):
    """One first-in, first-out queue before engines with capped slots."""

    def __init__(self, engines: int, slots: int) -> None:
        super().__init__(engines)
        self._slots = slots
        self._waiting: deque[_QueueEntry] = deque()

    def acquire(self) -> int:
        """Wait in the queue and return the engine with the fewest runs."""
        entry = _QueueEntry()
        with self._lock:
            self._waiting.append(entry)
            self._fill()
        entry.ready.wait()
        return entry.engine

    def release(self, engine: int) -> None:
        """Free the slot and admit the next in the queue."""
        with self._lock:
            self._outstanding[engine] -= 1
            self._fill()

    def _fill(self) -> None:
        counts = self._outstanding
        while self._waiting:
            least_loaded = min(range(len(counts)), key=counts.__getitem__)
            if counts[least_loaded] >= self._slots:
                return
            counts[least_loaded] += 1
            entry = self._waiting.popleft()
            entry.engine = least_loaded
            entry.ready.set()


class _QueueEntry:
    def __init__(self) -> None:
        self.ready = threading.Event()
        self.engine = 0


class DirectSender(Sender):
    """Sends all work to the engines directly, through one chooser."""

    def __init__(
        self, engines: Sequence[str], slots: int, baseline: str
    ) -> None:
        self._engines = [HttpModelEngine(address) for address in engines]
        self._chooser = _make_chooser(baseline, len(engines), slots)
        self._baseline = baseline
        self._slots = slots
        self._stop = threading.Event()
        self._threads: list[threading.Thread] = []

    def send(self, req: OutgoingRequest) -> RequestResult:
        """Send a request and wait for the end of its answer."""
        engine = self._chooser.acquire()
        try:
            request_id = (
                f"o-{req.arrival.customer}-{req.index}-{req.intended_at}"
            )
            deadline_s = max(0.1, req.remaining_s + BATCH_DEADLINE_S)
            return self._generate(engine, request_id, req, 1, deadline_s)
        finally:
            self._chooser.release(engine)

    def start_batch(self, seed: int) -> None:
        """Keep one batch item submitted for each slot.

        With "no priority" there are two for each slot, so that one runs
        while one is queued.
        """
        factor = 2 if self._baseline == "no priority" else 1
        count = self._slots * len(self._engines) * factor
        for worker in range(count):
            thread = threading.Thread(
                target=self._run_batch, args=(worker, seed), daemon=True
            )
            self._threads.append(thread)
            thread.start()

    def close(self) -> None:
        """Stop the batch work and close idle connections."""
        self._stop.set()
        for thread in self._threads:
            thread.join()
        for engine in self._engines:
            engine.close()

    def _run_batch(self, worker: int, seed: int) -> None:
        rng = random.Random(f"{seed}/{worker}")
        item = 0
        while not self._stop.is_set():
            item += 1
            arrival = Arrival(0.0, BATCH_SIZES.draw(rng), f"b{worker}")
            now = time.monotonic()
            req = OutgoingRequest(
                item, arrival, make_prompt(arrival, item, f"{now}"), now, 60.0
            )
            engine = self._chooser.acquire()
            try:
                self._generate(
                    engine,
                    f"b-{worker}-{item}-{now}",
                    req,
                    BATCH_CHUNK_TOKENS,
                    BATCH_DEADLINE_S,
                )
            finally:
                self._chooser.release(engine)

    def _generate(
        self,
        engine: int,
        request_id: str,
        req: OutgoingRequest,
        chunk_tokens: int,
        deadline_s: float,
    ) -> RequestResult:
        result = RequestResult()
        size = req.arrival.size
        generation = GenerationRequest(
            request_id,
            "rackmind",
            "r1",
            req.prompt,
            size.output_tokens,
            chunk_tokens,
        )
        events = self._engines[engine].generate(generation, deadline_s)
        for event in events:
            if self._stop.is_set() and chunk_tokens > 1:
                self._engines[engine].cancel(request_id)
                break
            _record_event(event, result)
        return result


def _record_event(
    event: Result[StreamEvent, EngineFailed], result: RequestResult
) -> None:
    if event.is_error():
        result.error = event.error.reason
        return
    match event.ok:
        case Tokens(tokens=tokens):
            result.add_tokens(tokens)
        case Finished():
            return


def _make_chooser(baseline: str, engines: int, slots: int) -> Chooser:
    match baseline:
        case "round robin":
            return RoundRobinChooser(engines)
        case "least outstanding":
            return LeastOutstandingChooser(engines)
        case _:
            return QueueChooser(engines, slots)


BASELINES = ("round robin", "least outstanding", "no priority")


__all__ = ["BASELINES", "Chooser", "DirectSender"]
