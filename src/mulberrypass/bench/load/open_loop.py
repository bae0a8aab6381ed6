"""Sends each request at its intended time, however slow the answers are."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections import Counter
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field
import time
from typing import TYPE_CHECKING

from mulberrypass.bench.load.recorder import Recorder
from mulberrypass.testing.engine_tokens import expected_tokens

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from mulberrypass.bench.load.workload import Arrival

THREADS = 300
REFUSED = "refused"


@dataclass(frozen=True, slots=True)
class Outgoing:
    """One request as it is sent.

    :param intended: when it was meant to be sent, on the monotonic clock
    :param deadline_s: seconds from then within which it must be answered
    """

    index: int
    arrival: Arrival
    prompt: str
    intended: float
    deadline_s: float

    @property
    def left_s(self) -> float:
        """Seconds that are left to the deadline."""
        return self.intended + self.deadline_s - time.monotonic()


@dataclass(slots=True)
class Answered:
    """What came back for one request.

    :param refused: whether nothing ran, by the refusal's own word
    :param error: what went wrong; empty where the answer is whole
    :param backend_id: the request's id in the system, where it is known
    :param address: the instance that answered, or was to
    """

    tokens: tuple[str, ...] = ()
    times: list[float] = field(default_factory=list)
    refused: bool = False
    error: str = ""
    backend_id: str = ""
    address: str = ""

    def add(self, tokens: Sequence[str]) -> None:
        """Take in tokens that have just come."""
        self.tokens += tuple(tokens)
        self.times.append(time.monotonic())


class Sender(ABC):
    """Sends one request at a time on each thread."""

    @abstractmethod
    def send(self, req: Outgoing) -> Answered:
        """Send a request, and wait for its end."""

    def close(self) -> None:
        """Close what is open."""
        return


@dataclass(frozen=True, slots=True)
class Sample:
    """What one request showed; times count from the intended send time.

    :param at: intended send time, in seconds after the start
    :param kind: empty for a whole answer, else what went wrong
    """

    index: int
    at: float
    customer: str
    total_s: float
    kind: str = ""
    first_s: float = 0.0
    gaps_s: tuple[float, ...] = ()
    tokens: int = 0
    wrong: bool = False
    backend_id: str = ""
    address: str = ""


@dataclass(frozen=True, slots=True)
class LoadPlan:
    """What is sent, and which part of it is measured.

    :param warm_s: requests of the first seconds are not measured
    :param customers: whose requests are measured; empty for all
    :param most: how many of the first requests are measured
    :param most_tokens: answers of more tokens are not measured
    :param salt: keeps prompts of different runs apart
    """

    arrivals: tuple[Arrival, ...]
    deadline_s: float = 30.0
    warm_s: float = 3.0
    customers: tuple[str, ...] = ()
    most: int = 1_000_000_000
    most_tokens: int = 1_000_000_000
    salt: str = ""

    @property
    def seconds(self) -> float:
        """When the last request is sent."""
        return self.arrivals[-1].at

    def counts(self, sample: Sample) -> bool:
        """Whether a request is measured."""
        if self.arrivals[sample.index].size.output_tokens > self.most_tokens:
            return False
        if sample.at < self.warm_s or sample.index >= self.most:
            return False
        return not self.customers or sample.customer in self.customers


@dataclass(frozen=True, slots=True)
class Outcome:
    """What a whole run showed.

    :param finished_tokens: tokens of runs that ended at the engines while
        requests were sent and measured
    """

    plan: LoadPlan
    samples: Sequence[Sample]
    finished_tokens: int = 0
    window_s: float = 1.0

    def recorder(self) -> Recorder:
        """Give the measured requests' latencies."""
        recorder = Recorder()
        for sample in self.samples:
            if self.plan.counts(sample):
                _record(recorder, sample, self.plan.deadline_s)
        return recorder

    def refusals(self) -> Recorder:
        """Give the time that measured refusals took."""
        recorder = Recorder()
        for sample in self.samples:
            if self.plan.counts(sample) and sample.kind == REFUSED:
                recorder.total.record(sample.total_s)
        return recorder

    def first_p99_ms(self, start: float, end: float) -> float:
        """Give the 99th percentile of first tokens of a part of the run."""
        recorder = Recorder()
        for sample in self.samples:
            if start <= sample.at < end and not sample.kind:
                recorder.first.record(sample.first_s)
        return recorder.first.summary().p99_ms

    def batch_tokens_per_s(self) -> float:
        """Give the batch tokens a second that ended at the engines."""
        start = self.plan.warm_s
        online = sum(
            sample.tokens
            for sample in self.samples
            if start <= sample.at + sample.total_s < start + self.window_s
        )
        return max(0.0, self.finished_tokens - online) / self.window_s

    def good_per_s(self) -> float:
        """Give the answers a second that ended within their deadline.

        Counted by when they ended, so that neither what was queued before
        the window nor what drains after it counts.
        """
        start = self.plan.warm_s
        good = sum(
            start <= sample.at + sample.total_s < start + self.window_s
            for sample in self.samples
            if not sample.kind and sample.total_s <= self.plan.deadline_s
        )
        return good / self.window_s

    def wrong(self) -> int:
        """Count answers that are not those the engines must give."""
        return sum(sample.wrong for sample in self.samples)

    def kinds(self) -> dict[str, int]:
        """Count what went wrong, by kind."""
        kinds = Counter(s.kind for s in self.samples if s.kind)
        return dict(kinds)


def send_all(
    plan: LoadPlan, sender: Sender, start: float, part: int, parts: int
) -> list[Sample]:
    """Send one part of a plan's requests, each on a thread of its own.

    :param start: when the plan starts, on the monotonic clock
    """
    with ThreadPoolExecutor(THREADS, "sender") as pool:
        futures = [
            pool.submit(_send, sender, req)
            for req in _paced(plan, start, part, parts)
        ]
        return [future.result() for future in futures]


def prompt_of(arrival: Arrival, index: int, salt: str = "") -> str:
    """Give a prompt of the right length that shares no prefix."""
    words = arrival.size.prompt_tokens - 1
    return f"q{salt}{arrival.customer}-{index}" + " w" * words


def _paced(
    plan: LoadPlan, start: float, part: int, parts: int
) -> Iterable[Outgoing]:
    for index, arrival in enumerate(plan.arrivals):
        if index % parts != part:
            continue
        intended = start + arrival.at
        prompt = prompt_of(arrival, index, plan.salt)
        left = intended - time.monotonic()
        if left > 0:
            time.sleep(left)
        yield Outgoing(index, arrival, prompt, intended, plan.deadline_s)


def _send(sender: Sender, req: Outgoing) -> Sample:
    answered = sender.send(req)
    total_s = time.monotonic() - req.intended
    kind = REFUSED if answered.refused else answered.error
    times = answered.times
    count = req.arrival.size.output_tokens
    whole = answered.tokens == expected_tokens(req.prompt, 0, count)
    return Sample(
        index=req.index,
        at=req.arrival.at,
        customer=req.arrival.customer,
        total_s=total_s,
        kind=kind,
        first_s=times[0] - req.intended if times else 0.0,
        gaps_s=tuple(b - a for a, b in zip(times, times[1:], strict=False)),
        tokens=len(answered.tokens),
        wrong=not kind and not whole,
        backend_id=answered.backend_id,
        address=answered.address,
    )


def _record(recorder: Recorder, sample: Sample, deadline_s: float) -> None:
    if sample.kind == REFUSED:
        recorder.refuse()
        return
    if sample.kind:
        recorder.fail()
        return
    recorder.first.record(sample.first_s)
    for gap_s in sample.gaps_s:
        recorder.gap.record(gap_s)
    recorder.finish(sample.total_s, sample.tokens)
    if sample.total_s > deadline_s:
        recorder.late()


__all__ = [
    "Answered",
    "LoadPlan",
    "Outcome",
    "Outgoing",
    "REFUSED",
    "Sample",
    "Sender",
    "prompt_of",
    "send_all",
]
