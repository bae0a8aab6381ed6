"""Open-loop load: sends on schedule, independent of the answers."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections import Counter
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field
import time
from typing import TYPE_CHECKING

from mulberrypass.bench.load.recorder import Recorder
from mulberrypass.model.value_class import value_class
from mulberrypass.testing.engine_tokens import expected_tokens

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from mulberrypass.bench.load.workload import Arrival

SENDER_THREADS = 300
REFUSED = "refused"


@value_class
class OutgoingRequest:
    """One request to be sent.

    :param intended_at: intended send time on the monotonic clock
    :param deadline_s: time for the answer, from the intended send time
    """

    index: int
    arrival: Arrival
    prompt: str
    intended_at: float
    deadline_s: float

    @property
    def remaining_s(self) -> float:
        """Seconds until the deadline; negative after it."""
        return self.intended_at + self.deadline_s - time.monotonic()


@dataclass(slots=True)
class RequestResult:
    """Answer to one request, as its caller received it.

    :param token_times: arrival times of tokens, on the monotonic clock
    :param refused: whether the answer stated that nothing ran
    :param error: reason for an incomplete answer; empty if complete
    :param backend_id: id of the request in the system, if known
    :param address: address of the instance the request was sent to
    """

    tokens: tuple[str, ...] = ()
    token_times: list[float] = field(default_factory=list)
    refused: bool = False
    error: str = ""
    backend_id: str = ""
    address: str = ""

    def add_tokens(self, tokens: Sequence[str]) -> None:
        """Record tokens that have just arrived."""
        self.tokens += tuple(tokens)
        self.token_times.append(time.monotonic())


class Sender(ABC):
    """Sends one request at a time on each calling thread."""

    @abstractmethod
    def send(self, req: OutgoingRequest) -> RequestResult:
        """Send a request and wait for the end of its answer."""

    def close(self) -> None:
        """Close open connections."""
        return


@value_class
class Sample:
    """Measurements of one request, from its intended send time on.

    :param at: intended send time, in seconds after the start
    :param failure: empty for a complete answer, else the kind of failure
    :param wrong: whether a complete answer has unexpected tokens
    """

    index: int
    at: float
    customer: str
    total_s: float
    failure: str = ""
    first_s: float = 0.0
    gaps_s: tuple[float, ...] = ()
    tokens: int = 0
    wrong: bool = False
    backend_id: str = ""
    address: str = ""


@value_class
class LoadPlan:
    """Requests to send, and which of them are measured.

    :param warm_up_s: seconds at the start that are not measured
    :param customers: customers whose requests are measured; empty for all
    :param max_measured: number of first requests that are measured
    :param max_output_tokens: requests for more tokens are not measured
    :param salt: makes the prompts of different runs distinct
    """

    arrivals: tuple[Arrival, ...]
    deadline_s: float = 30.0
    warm_up_s: float = 3.0
    customers: tuple[str, ...] = ()
    max_measured: int = 1_000_000_000
    max_output_tokens: int = 1_000_000_000
    salt: str = ""

    @property
    def seconds(self) -> float:
        """Send time of the last request, after the start."""
        return self.arrivals[-1].at

    def is_measured(self, sample: Sample) -> bool:
        """Return whether a request is measured."""
        if (
            self.arrivals[sample.index].size.output_tokens
            > self.max_output_tokens
        ):
            return False
        if sample.at < self.warm_up_s or sample.index >= self.max_measured:
            return False
        return not self.customers or sample.customer in self.customers


@value_class
class LoadOutcome:
    """Measurements of a whole run.

    :param finished_tokens: tokens of runs that finished at the engines
        within the measurement window
    :param window_s: length of the measurement window
    """

    plan: LoadPlan
    samples: Sequence[Sample]
    finished_tokens: int = 0
    window_s: float = 1.0

    def recorder(self) -> Recorder:
        """Return the latencies and counts of the measured requests."""
        recorder = Recorder()
        for sample in self.samples:
            if self.plan.is_measured(sample):
                _record(recorder, sample, self.plan.deadline_s)
        return recorder

    def refusals(self) -> Recorder:
        """Return the latencies of measured refusals."""
        recorder = Recorder()
        for sample in self.samples:
            if self.plan.is_measured(sample) and sample.failure == REFUSED:
                recorder.total.record(sample.total_s)
        return recorder

    def first_token_p99_ms(self, start: float, end: float) -> float:
        """Return the p99 time to first token in one interval of the run."""
        recorder = Recorder()
        for sample in self.samples:
            if start <= sample.at < end and not sample.failure:
                recorder.first.record(sample.first_s)
        return recorder.first.summary().p99_ms

    def batch_tokens_per_s(self) -> float:
        """Return the batch tokens a second that the engines finished."""
        start = self.plan.warm_up_s
        online = sum(
            sample.tokens
            for sample in self.samples
            if start <= sample.at + sample.total_s < start + self.window_s
        )
        return max(0.0, self.finished_tokens - online) / self.window_s

    def goodput_per_s(self) -> float:
        """Return the answers a second that ended within their deadline.

        Counts answers that ended within the measurement window, so neither
        the backlog before it nor the drain after it counts.
        """
        start = self.plan.warm_up_s
        good = sum(
            start <= sample.at + sample.total_s < start + self.window_s
            for sample in self.samples
            if not sample.failure and sample.total_s <= self.plan.deadline_s
        )
        return good / self.window_s

    def wrong_answers(self) -> int:
        """Count complete answers with unexpected tokens."""
        return sum(sample.wrong for sample in self.samples)

    def failure_counts(self) -> dict[str, int]:
        """Count failures by kind."""
        failures = Counter(s.failure for s in self.samples if s.failure)
        return dict(failures)


def send_all(
    plan: LoadPlan, sender: Sender, start: float, part: int, parts: int
) -> list[Sample]:
    """Send every ``parts``-th request of a plan, on a pool of threads.

    :param start: start of the plan on the monotonic clock
    """
    with ThreadPoolExecutor(SENDER_THREADS, "sender") as pool:
        futures = [
            pool.submit(_send, sender, req)
            for req in _due_requests(plan, start, part, parts)
        ]
        return [future.result() for future in futures]


def make_prompt(arrival: Arrival, index: int, salt: str = "") -> str:
    """Return a prompt of the right length that shares no prefix."""
    words = arrival.size.prompt_tokens - 1
    return f"q{salt}{arrival.customer}-{index}" + " w" * words


def _due_requests(
    plan: LoadPlan, start: float, part: int, parts: int
) -> Iterable[OutgoingRequest]:
    for index, arrival in enumerate(plan.arrivals):
        if index % parts != part:
            continue
        intended_at = start + arrival.at
        prompt = make_prompt(arrival, index, plan.salt)
        wait_s = intended_at - time.monotonic()
        if wait_s > 0:
            time.sleep(wait_s)
        yield OutgoingRequest(
            index, arrival, prompt, intended_at, plan.deadline_s
        )


def _send(sender: Sender, req: OutgoingRequest) -> Sample:
    result = sender.send(req)
    total_s = time.monotonic() - req.intended_at
    failure = REFUSED if result.refused else result.error
    times = result.token_times
    count = req.arrival.size.output_tokens
    correct = result.tokens == expected_tokens(req.prompt, 0, count)
    return Sample(
        index=req.index,
        at=req.arrival.at,
        customer=req.arrival.customer,
        total_s=total_s,
        failure=failure,
        first_s=times[0] - req.intended_at if times else 0.0,
        gaps_s=tuple(b - a for a, b in zip(times, times[1:], strict=False)),
        tokens=len(result.tokens),
        wrong=not failure and not correct,
        backend_id=result.backend_id,
        address=result.address,
    )


def _record(recorder: Recorder, sample: Sample, deadline_s: float) -> None:
    if sample.failure == REFUSED:
        recorder.record_refused()
        return
    if sample.failure:
        recorder.record_failed()
        return
    recorder.first.record(sample.first_s)
    for gap_s in sample.gaps_s:
        recorder.gap.record(gap_s)
    recorder.record_done(sample.total_s, sample.tokens)
    if sample.total_s > deadline_s:
        recorder.record_late()


__all__ = [
    "LoadOutcome",
    "LoadPlan",
    "OutgoingRequest",
    "REFUSED",
    "RequestResult",
    "Sample",
    "Sender",
    "make_prompt",
    "send_all",
]
