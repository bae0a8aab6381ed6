"""Weighted fair queueing over customers, earliest deadline within one."""

from __future__ import annotations

from dataclasses import dataclass, field, replace
import heapq
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Iterator, Mapping

    from mulberrypass.policy.messages import Ask

PROMPT_TOKEN_WORK = 0.125
# Longer than any deadline, so that late work goes behind all other.
LATE_S = 3_600.0


@dataclass(frozen=True, slots=True)
class Lane:
    """What asks need of a backend server; asks of a lane are alike."""

    version: str
    avoid: tuple[str, ...]
    revocable: bool


def lane_of(ask: Ask) -> Lane:
    """Give the lane of an ask."""
    return Lane(ask.version, ask.avoid, ask.revocable)


def work_of(prompt_tokens: int, output_tokens: int) -> float:
    """Estimate work in generated tokens; never 0."""
    return 1.0 + prompt_tokens * PROMPT_TOKEN_WORK + output_tokens


@dataclass(slots=True, eq=False)
class Queued:
    """One ask that waits.

    :param deadline: when the work must be done
    :param drop_at: when it is too late to start the work
    :param order: lower goes first within a customer; the deadline by default
    """

    ask: Ask
    work: float
    deadline: float
    drop_at: float
    sequence: int
    lane: Lane
    order: float | None = None
    waiting: bool = True

    def __lt__(self, other: Queued) -> bool:
        """Order by deadline or what stands for it, then by arrival."""
        return self._rank() < other._rank()

    def _rank(self) -> tuple[float, int]:
        order = self.deadline if self.order is None else self.order
        return order, self.sequence


@dataclass(slots=True)
class _Share:
    """One customer's part of the queue.

    :param start: virtual time at which its next ask may start
    """

    weight: float = 1.0
    start: float = 0.0
    work: float = 0.0
    count: int = 0
    lanes: dict[Lane, list[Queued]] = field(default_factory=dict)

    def heads(self) -> list[Queued]:
        """Give the earliest ask of each lane, by deadline."""
        for lane, heap in list(self.lanes.items()):
            while heap and not heap[0].waiting:
                heapq.heappop(heap)
            if not heap:
                del self.lanes[lane]
        return sorted(heap[0] for heap in self.lanes.values())

    def latest(self) -> Queued:
        """Give the ask with the latest deadline."""
        return max(
            item
            for heap in self.lanes.values()
            for item in heap
            if item.waiting
        )


class FairQueue:
    """Asks of one class, in the order in which they are to be served."""

    def __init__(self) -> None:
        self._shares: dict[str, _Share] = {}
        self._backlog: dict[str, _Share] = {}
        self._asks: dict[str, Queued] = {}
        self._drops: list[tuple[float, int, Queued]] = []
        self._starts: list[tuple[float, int, Queued]] = []
        self._lanes: dict[Lane, int] = {}
        self._virtual = 0.0
        self.work = 0.0

    def __len__(self) -> int:
        """Count the asks that wait."""
        return len(self._asks)

    def __contains__(self, ask_id: str) -> bool:
        """Whether an ask waits here."""
        return ask_id in self._asks

    def __iter__(self) -> Iterator[Queued]:
        """Give all asks that wait, in no order."""
        return iter(tuple(self._asks.values()))

    @property
    def lanes(self) -> int:
        """The number of lanes in which asks wait."""
        return len(self._lanes)

    @property
    def customers(self) -> Collection[str]:
        """The customers that have asks here."""
        return self._backlog.keys()

    def set_weights(self, weights: Mapping[str, float]) -> None:
        """Set customers' weights; customers not named weigh 1."""
        for name, weight in weights.items():
            self._shares.setdefault(name, _Share()).weight = weight
        for name in tuple(self._shares):
            if name not in weights:
                self._forget(name)

    def count(self, customer: str) -> int:
        """Count the asks of a customer."""
        share = self._backlog.get(customer)
        return share.count if share else 0

    def counts(self) -> dict[str, int]:
        """Count the asks of each customer that has any."""
        return {name: share.count for name, share in self._backlog.items()}

    def work_ahead(self, customer: str) -> float:
        """Bound the work that is served before a new ask of a customer."""
        share = self._shares.get(customer) or _Share()
        active = sum(s.weight for s in self._backlog.values())
        if share.count == 0:
            active += share.weight
        fair = share.work * active / share.weight
        others = min(self.work, len(self._backlog) * self._mean_work())
        return min(self.work, max(fair, others))

    def weight(self, customer: str) -> float:
        """Give a customer's weight."""
        share = self._shares.get(customer)
        return share.weight if share else 1.0

    def work_of(self, customer: str) -> float:
        """Give the work that a customer has queued."""
        share = self._backlog.get(customer)
        return share.work if share else 0.0

    def add(self, queued: Queued) -> None:
        """Add an ask; an idle customer starts at the present."""
        customer = queued.ask.customer
        share = self._shares.setdefault(customer, _Share())
        if share.count == 0:
            share.start = max(share.start, self._virtual)
            self._backlog[customer] = share
        heapq.heappush(share.lanes.setdefault(queued.lane, []), queued)
        share.count += 1
        share.work += queued.work
        self.work += queued.work
        self._lanes[queued.lane] = self._lanes.get(queued.lane, 0) + 1
        self._asks[queued.ask.ask_id] = queued
        entry = (queued.drop_at, queued.sequence, queued)
        heapq.heappush(self._drops, entry)
        if queued.order is not None and queued.order < queued.deadline:
            start = (queued.order, queued.sequence, queued)
            heapq.heappush(self._starts, start)

    def remove(self, ask_id: str) -> Queued | None:
        """Take an ask out without serving it."""
        queued = self._asks.pop(ask_id, None)
        if queued is None:
            return None
        queued.waiting = False
        customer = queued.ask.customer
        share = self._shares[customer]
        share.count -= 1
        share.work -= queued.work
        self.work -= queued.work
        self._lanes[queued.lane] -= 1
        if self._lanes[queued.lane] == 0:
            del self._lanes[queued.lane]
        if share.count == 0:
            del self._backlog[customer]
            share.lanes.clear()
            share.work = 0.0
        if not self._asks:
            self.work = 0.0
            self._drops.clear()
            self._starts.clear()
        return queued

    def serve(self, queued: Queued) -> None:
        """Take an ask out and charge its customer for the work."""
        share = self._shares[queued.ask.customer]
        self.remove(queued.ask.ask_id)
        start = max(share.start, self._virtual)
        self._virtual = start
        share.start = start + queued.work / share.weight

    def settle(self, customer: str, extra: float) -> None:
        """Charge or refund the difference to the work really done."""
        share = self._shares.get(customer)
        if share is not None:
            share.start += extra / share.weight

    def scan(self, eligible: Callable[[str], bool]) -> Iterator[Queued]:
        """Give the head of each lane of each customer, in fair order.

        The queue must not change while the iterator is in use.
        """
        order = [
            (max(share.start, self._virtual), share.start, name)
            for name, share in self._backlog.items()
        ]
        heapq.heapify(order)
        while order:
            _, _, name = heapq.heappop(order)
            if eligible(name):
                yield from self._backlog[name].heads()

    def expired(self, now: float) -> list[Queued]:
        """Take out the asks that are too late to start."""
        late = []
        while self._drops and self._drops[0][0] <= now:
            _, _, queued = heapq.heappop(self._drops)
            if queued.waiting:
                self.remove(queued.ask.ask_id)
                late.append(queued)
        return late

    def postpone_late(self, now: float) -> None:
        """Put asks that can't be in time any more behind all others."""
        while self._starts and self._starts[0][0] <= now:
            _, _, queued = heapq.heappop(self._starts)
            if queued.waiting:
                moved = replace(queued, order=queued.deadline + LATE_S)
                self.remove(queued.ask.ask_id)
                self.add(moved)

    def longest(self) -> Queued | None:
        """Give the last ask of the customer with most work by weight."""
        if not self._backlog:
            return None
        share = max(self._backlog.values(), key=lambda s: s.work / s.weight)
        return share.latest()

    def share_of(self, customer: str, work: float = 0.0) -> float:
        """Give a customer's queued work by weight, with an ask added."""
        share = self._shares.get(customer) or _Share()
        return (share.work + work) / share.weight

    def _mean_work(self) -> float:
        return self.work / max(1, len(self._asks))

    def _forget(self, name: str) -> None:
        share = self._shares[name]
        share.weight = 1.0
        if share.count == 0 and share.start <= self._virtual:
            del self._shares[name]


__all__ = ["FairQueue", "Lane", "Queued", "lane_of", "work_of"]
