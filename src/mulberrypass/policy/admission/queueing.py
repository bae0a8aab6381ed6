"""Weighted fair queueing of customers, earliest deadline first in each."""

from __future__ import annotations

from dataclasses import dataclass, field, replace
import heapq
from typing import TYPE_CHECKING

from mulberrypass.model.value_class import value_class

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Iterator, Mapping

    from mulberrypass.policy.messages import Ask

PROMPT_TOKEN_WORK = 0.125
# Asks below this form the smallest class; each further one is twice as large.
SMALLEST_CLASS_TOKENS = 1_024
# Longer than any deadline, so that late work sorts after all other work.
LATE_OFFSET_S = 3_600.0


@value_class
class Lane:
    """Requirements that asks share; each lane is a queue of its own.

    :param size: class of the KV memory needed, so that a large ask that
        waits for memory doesn't hold up its customer's small ones
    """

    version: str
    avoid: tuple[str, ...]
    revocable: bool
    size: int = 0


def lane_of(ask: Ask) -> Lane:
    """Return the lane of an ask."""
    tokens = ask.prompt_tokens + ask.output_tokens
    size = (tokens // SMALLEST_CLASS_TOKENS).bit_length()
    return Lane(ask.version, ask.avoid, ask.revocable, size)


def estimate_work(prompt_tokens: int, output_tokens: int) -> float:
    """Estimate the work of an ask in generated tokens; never 0."""
    return 1.0 + prompt_tokens * PROMPT_TOKEN_WORK + output_tokens


@dataclass(slots=True, eq=False)
class QueuedAsk:
    """A queued ask.

    :param deadline: time by which the work must be done
    :param drop_at: time from which it is too late to start the work
    :param order_at: sort key within a customer, lowest first; the deadline
        by default
    :param first: whether it goes before its customer's other asks that can
        still start in time
    :param waiting: false once it has left the queue; heaps drop it lazily
    """

    ask: Ask
    work: float
    deadline: float
    drop_at: float
    sequence: int
    lane: Lane
    order_at: float | None = None
    first: bool = False
    waiting: bool = True

    @property
    def tokens(self) -> int:
        """Tokens of KV memory that it may use."""
        return self.ask.prompt_tokens + self.ask.output_tokens

    def __lt__(self, other: QueuedAsk) -> bool:
        """Sort by ``order_at`` or else the deadline, then by arrival."""
        return self._rank() < other._rank()

    def _rank(self) -> tuple[bool, float, int]:
        order = self.deadline if self.order_at is None else self.order_at
        return not self.first, order, self.sequence


@dataclass(slots=True)
class _Flow:
    """Queued asks of one customer, a flow in terms of fair queueing.

    :param virtual_start: virtual time at which its next ask may start
    """

    weight: float = 1.0
    virtual_start: float = 0.0
    work: float = 0.0
    count: int = 0
    lanes: dict[Lane, list[QueuedAsk]] = field(default_factory=dict)

    def heads(self) -> list[QueuedAsk]:
        """Return the first ask of each lane, in order."""
        for lane, heap in list(self.lanes.items()):
            while heap and not heap[0].waiting:
                heapq.heappop(heap)
            if not heap:
                del self.lanes[lane]
        return sorted(heap[0] for heap in self.lanes.values())

    def latest(self) -> QueuedAsk:
        """Return the last ask in order."""
        return max(
            item
            for heap in self.lanes.values()
            for item in heap
            if item.waiting
        )


class FairQueue:
    """Queues the asks of one class in their order of service."""

    def __init__(self) -> None:
        self._flows: dict[str, _Flow] = {}
        self._backlog: dict[str, _Flow] = {}
        self._asks: dict[str, QueuedAsk] = {}
        self._drop_heap: list[tuple[float, int, QueuedAsk]] = []
        self._start_heap: list[tuple[float, int, QueuedAsk]] = []
        self._lanes: dict[Lane, int] = {}
        self._virtual_time = 0.0
        self.work = 0.0

    def __len__(self) -> int:
        """Return the number of queued asks."""
        return len(self._asks)

    def __contains__(self, ask_id: str) -> bool:
        """Return whether an ask is queued."""
        return ask_id in self._asks

    def __iter__(self) -> Iterator[QueuedAsk]:
        """Iterate over a snapshot of the queued asks, in arbitrary order."""
        return iter(tuple(self._asks.values()))

    @property
    def lanes(self) -> int:
        """Number of lanes with queued asks."""
        return len(self._lanes)

    @property
    def customers(self) -> Collection[str]:
        """Customers with queued asks."""
        return self._backlog.keys()

    def set_weights(self, weights: Mapping[str, float]) -> None:
        """Set customers' weights; customers not named weigh 1."""
        for name, weight in weights.items():
            self._flows.setdefault(name, _Flow()).weight = weight
        for name in tuple(self._flows):
            if name not in weights:
                self._forget(name)

    def count(self, customer: str) -> int:
        """Count the asks of a customer."""
        flow = self._backlog.get(customer)
        return flow.count if flow else 0

    def counts(self) -> dict[str, int]:
        """Count the asks of each customer that has any."""
        return {name: flow.count for name, flow in self._backlog.items()}

    def work_ahead(self, customer: str) -> float:
        """Return an upper bound of the work served before a new ask."""
        flow = self._flows.get(customer) or _Flow()
        active = sum(other.weight for other in self._backlog.values())
        if flow.count == 0:
            active += flow.weight
        fair = flow.work * active / flow.weight
        others = min(self.work, len(self._backlog) * self._mean_work())
        return min(self.work, max(fair, others))

    def weight(self, customer: str) -> float:
        """Return a customer's weight."""
        flow = self._flows.get(customer)
        return flow.weight if flow else 1.0

    def queued_work(self, customer: str) -> float:
        """Return the queued work of a customer."""
        flow = self._backlog.get(customer)
        return flow.work if flow else 0.0

    def add(self, queued: QueuedAsk) -> None:
        """Add an ask; an idle customer starts at the current virtual time."""
        customer = queued.ask.customer
        flow = self._flows.setdefault(customer, _Flow())
        if flow.count == 0:
            flow.virtual_start = max(flow.virtual_start, self._virtual_time)
            self._backlog[customer] = flow
        heapq.heappush(flow.lanes.setdefault(queued.lane, []), queued)
        flow.count += 1
        flow.work += queued.work
        self.work += queued.work
        self._lanes[queued.lane] = self._lanes.get(queued.lane, 0) + 1
        self._asks[queued.ask.ask_id] = queued
        entry = (queued.drop_at, queued.sequence, queued)
        heapq.heappush(self._drop_heap, entry)
        if queued.order_at is not None and queued.order_at < queued.deadline:
            start_entry = (queued.order_at, queued.sequence, queued)
            heapq.heappush(self._start_heap, start_entry)

    def remove(self, ask_id: str) -> QueuedAsk | None:
        """Remove an ask without serving it."""
        queued = self._asks.pop(ask_id, None)
        if queued is None:
            return None
        queued.waiting = False
        customer = queued.ask.customer
        flow = self._flows[customer]
        flow.count -= 1
        flow.work -= queued.work
        self.work -= queued.work
        self._lanes[queued.lane] -= 1
        if self._lanes[queued.lane] == 0:
            del self._lanes[queued.lane]
        if flow.count == 0:
            del self._backlog[customer]
            flow.lanes.clear()
            flow.work = 0.0
        if not self._asks:
            self.work = 0.0
            self._drop_heap.clear()
            self._start_heap.clear()
        return queued

    def pop_unless(self, stays: Callable[[Ask], bool]) -> list[Ask]:
        """Remove and return the asks that don't stay."""
        gone = [queued.ask for queued in self if not stays(queued.ask)]
        for ask in gone:
            self.remove(ask.ask_id)
        return gone

    def serve(self, queued: QueuedAsk) -> None:
        """Remove an ask and charge its customer for the work."""
        flow = self._flows[queued.ask.customer]
        self.remove(queued.ask.ask_id)
        virtual_start = max(flow.virtual_start, self._virtual_time)
        self._virtual_time = virtual_start
        flow.virtual_start = virtual_start + queued.work / flow.weight

    def adjust_charge(self, customer: str, extra: float) -> None:
        """Charge or refund the difference from estimated to actual work."""
        flow = self._flows.get(customer)
        if flow is not None:
            flow.virtual_start += extra / flow.weight

    def scan(self, eligible: Callable[[str], bool]) -> Iterator[QueuedAsk]:
        """Yield the head of each lane of each customer, in fair order.

        The queue must not change during the iteration.
        """
        order = [
            (
                max(flow.virtual_start, self._virtual_time),
                flow.virtual_start,
                name,
            )
            for name, flow in self._backlog.items()
        ]
        heapq.heapify(order)
        while order:
            _, _, name = heapq.heappop(order)
            if eligible(name):
                yield from self._backlog[name].heads()

    def pop_expired(self, now: float) -> list[QueuedAsk]:
        """Remove and return the asks that are too late to start."""
        late = []
        while self._drop_heap and self._drop_heap[0][0] <= now:
            _, _, queued = heapq.heappop(self._drop_heap)
            if queued.waiting:
                self.remove(queued.ask.ask_id)
                late.append(queued)
        return late

    def postpone_late(self, now: float) -> None:
        """Move asks that can no longer start in time behind all others."""
        while self._start_heap and self._start_heap[0][0] <= now:
            _, _, queued = heapq.heappop(self._start_heap)
            if queued.waiting:
                late = replace(
                    queued,
                    order_at=queued.deadline + LATE_OFFSET_S,
                    first=False,
                )
                self.remove(queued.ask.ask_id)
                self.add(late)

    def eviction_candidate(self) -> QueuedAsk | None:
        """Return the last ask of the customer with the most work by weight."""
        if not self._backlog:
            return None
        flow = max(self._backlog.values(), key=lambda f: f.work / f.weight)
        return flow.latest()

    def work_share(self, customer: str, work: float = 0.0) -> float:
        """Return a customer's queued work plus ``work``, by its weight."""
        flow = self._flows.get(customer) or _Flow()
        return (flow.work + work) / flow.weight

    def _mean_work(self) -> float:
        return self.work / max(1, len(self._asks))

    def _forget(self, name: str) -> None:
        flow = self._flows[name]
        flow.weight = 1.0
        if flow.count == 0 and flow.virtual_start <= self._virtual_time:
            del self._flows[name]


__all__ = ["FairQueue", "Lane", "QueuedAsk", "lane_of", "estimate_work"]
