"""Replays loads of many customers on cells, with a simple engine model."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field, replace
from functools import partial
import heapq
import itertools
from math import inf
import random
from typing import TYPE_CHECKING

from mulberrypass.model.objects import Backend, Customer
from mulberrypass.policy.admission.cell import Cell
from mulberrypass.policy.admission.cells import (
    CellKey,
    CellLoad,
    choose_cell,
    partition_backends,
)
from mulberrypass.policy.messages import (
    Ask,
    FirstToken,
    Grant,
    Refuse,
    Release,
    ReleaseOutcome,
    Revoke,
    WorkClass,
)
from mulberrypass.programs.site_settings import CELLS
from tests.policy.admission.cases import engine

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from mulberrypass.policy.admission.decisions import CellDecision

TARGET_S = 0.308
# The relay takes 70 ms off the target for prefill and two hops.
START_WITHIN_S = TARGET_S - 0.07
PATIENCE_S = 5.132
ENGINE_KV_TOKENS = 72_000
STEP_S = 0.003_55
PREFILL_TOKENS_PER_S = 51_200.0
HOP_S = 0.004
TICK_S = 0.01
HOLDERS = 64
CYCLE_S = 5.2
PULSE_S = 2.2
LARGE = "customer-00"
LARGE_SHARE = 0.27


@dataclass(frozen=True)
class Excess:
    """A customer that sends a multiple of its usual rate for a time."""

    customer: str
    factor: float
    begin_s: float
    end_s: float

    def at(self, now: float) -> float:
        """Return the factor at a time."""
        return self.factor if self.begin_s <= now < self.end_s else 1.0


@dataclass(frozen=True)
class Load:
    """What is replayed.

    :param per_s: mean online requests per second of all customers
    :param large_prompts: share of requests with prompts of 6,300 tokens
    :param batch: waiting batch items of each customer
    :param large_batch: whether batch prompts are large ones, too
    :param named: whether the deployment has customers; asks come by
        priority otherwise
    :param lost: engines that are lost together at ``lost_at_s``
    """

    per_s: float = 53.3
    seconds: float = 42.0
    engines: int = 15
    cells: int = 1
    customers: int = 74
    excess: Excess | None = None
    large_prompts: float = 0.0
    batch: dict[str, int] = field(default_factory=dict)
    large_batch: bool = False
    lost: int = 0
    lost_at_s: float = 0.0
    named: bool = True


@dataclass
class Request:
    """One request of a caller, over all its attempts.

    :ivar started_s: time from its first ask to its first event
    :ivar attempt_s: time from its last ask to its first event
    """

    number: int
    customer: str
    arrived: float
    prompt_tokens: int
    output_tokens: int
    batch: bool = False
    attempts: int = 0
    asked_at: float = 0.0
    granted_at: float = inf
    started_s: float = inf
    attempt_s: float = inf
    cell: int = 0
    ask_id: str = ""
    engine: str = ""
    first_reported: bool = False

    @property
    def in_time(self) -> bool:
        """Whether the first event came within the target of its attempt."""
        return self.attempt_s <= TARGET_S


class Replay:
    """Plays a load's asks, first tokens and releases under a virtual clock.

    An engine prefills one prompt after the other; its steps are longer with
    more running. Callers return after ``Retry-After`` until they give up.
    """

    def __init__(
        self, load: Load, seed: int, share_headroom: float | None = None
    ) -> None:
        self.load = load
        self.requests: list[Request] = []
        self.refusals: list[tuple[Request, float]] = []
        self.retry_delays: list[float] = []
        self.grants: list[Request] = []
        self.kv_exceeded = 0
        self.revoked = 0
        self.most_running = 0
        self.now = 0.0
        self._sizes = random.Random(seed + 1)
        self._choices = random.Random(seed + 2)
        self._seed = seed
        self._order = itertools.count()
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._asks: dict[str, Request] = {}
        self._backends = [
            engine(
                f"core-{i:02}",
                slots=8,
                kv_tokens=ENGINE_KV_TOKENS,
                prefill_tokens=int(PREFILL_TOKENS_PER_S * STEP_S),
            )
            for i in range(load.engines)
        ]
        self._prefilled_at = {b.name: 0.0 for b in self._backends}
        self._running: dict[str, dict[str, int]] = {
            b.name: {} for b in self._backends
        }
        self._holders = [f"entry-{i}" for i in range(HOLDERS)]
        self._loads: dict[str, dict[str, CellLoad]] = {
            h: {} for h in self._holders
        }
        names = partition_backends(
            [b.name for b in self._backends],
            -(-load.engines // load.cells),
        )
        self._parts = [set(part) for part in names]
        self._keys = [CellKey("pool", i) for i in range(len(names))]
        settings = CELLS
        if share_headroom is not None:
            settings = replace(CELLS, share_headroom=share_headroom)
        self.cells = [Cell(settings) for _ in names]
        self.customers = [f"customer-{i:02}" for i in range(load.customers)]
        self._configure(self._backends)

    def run(self) -> Replay:
        """Replay the load to its end."""
        for name in self.customers:
            self._arrivals(name)
        for name, count in self.load.batch.items():
            for _ in range(count):
                self._at(0.6, partial(self._arrive, name, batch=True))
        if self.load.lost:
            self._at(self.load.lost_at_s, self._lose_engines)
        end = self.load.seconds + PATIENCE_S
        for number in range(1, int(end / TICK_S)):
            self._at(number * TICK_S, self._tick)
        while self._heap and self._heap[0][0] <= end:
            self.now, _, action = heapq.heappop(self._heap)
            action()
        return self

    def online(self, *, without: Iterable[str] = ()) -> list[Request]:
        """Return the online requests."""
        skipped = set(without)
        return [
            r
            for r in self.requests
            if not r.batch and r.customer not in skipped
        ]

    def _usual_rate(self, name: str) -> float:
        if len(self.customers) == 1:
            return self.load.per_s
        if name == LARGE:
            return self.load.per_s * LARGE_SHARE
        rest = self.load.per_s * (1 - LARGE_SHARE)
        return rest / (len(self.customers) - 1)

    def _arrivals(self, name: str) -> None:
        """Schedule a customer's requests by thinning, from its own seed."""
        rng = random.Random(f"{self._seed} {name}")
        usual = self._usual_rate(name)
        excess = self.load.excess
        hot = excess is not None and excess.customer == name
        top = usual * 1.85 * (excess.factor if excess and hot else 1.0)
        now = 0.0
        while True:
            now += rng.expovariate(top)
            if now >= self.load.seconds:
                return
            rate = usual * (1.85 if now % CYCLE_S < PULSE_S else 0.38)
            if excess is not None and hot:
                rate *= excess.at(now)
            if rng.random() * top < rate:
                self._at(now, lambda: self._arrive(name))

    def _arrive(self, name: str, batch: bool = False) -> None:
        number = len(self.requests)
        rng = random.Random(f"{self._seed} {name} {self.now} {batch * number}")
        prompt = int(rng.uniform(100, 800))
        large = rng.random() < self.load.large_prompts
        if self.load.large_batch if batch else large:
            prompt = int(min(17_000, max(1_000, rng.gammavariate(3, 2_100))))
        output = max(20, int(rng.gauss(186, 70)))
        request = Request(number, name, self.now, prompt, output, batch)
        self.requests.append(request)
        self._send(request)

    def _send(self, request: Request, avoid: tuple[str, ...] = ()) -> None:
        request.attempts += 1
        request.asked_at = self.now
        holder = self._choices.choice(self._holders)
        loads = self._loads[holder]
        key = choose_cell(
            self._keys, loads, lambda _: True, self._choices.randrange
        )
        request.cell = key.index
        request.ask_id = f"{request.number}/{request.attempts}"
        budget = 18.0 if request.batch else PATIENCE_S
        budget -= self.now - request.arrived
        self._asks[request.ask_id] = request
        new_ask = Ask(
            ask_id=request.ask_id,
            holder=holder,
            pool=key.name,
            customer=self._customer_of(request),
            work_class=(
                WorkClass.BATCH if request.batch else WorkClass.ONLINE
            ),
            budget_s=budget,
            prompt_tokens=request.prompt_tokens,
            output_tokens=request.output_tokens,
            avoid=avoid,
            revocable=request.batch,
            start_within_s=budget if request.batch else START_WITHIN_S,
            subject=request.number + 1,
        )
        cell = self.cells[key.index]
        self._apply(key.index, cell.handle(new_ask, self.now))
        loads[key.name] = cell.load(self.now)

    def _customer_of(self, request: Request) -> str:
        if self.load.named:
            return request.customer
        return f"priority-{request.number % 2}"

    def _tick(self) -> None:
        for index, cell in enumerate(self.cells):
            self._apply(index, cell.tick(self.now))

    def _apply(self, index: int, decisions: list[CellDecision]) -> None:
        for decision in decisions:
            message = decision.message
            request = self._asks[message.ask_id]
            match message:
                case Grant():
                    self._on_grant(request, message)
                case Refuse():
                    self._on_refusal(request, message)
                case Revoke():
                    self.revoked += 1
                    self._after(HOP_S, partial(self._cancel, message.ask_id))

    def _on_grant(self, request: Request, grant: Grant) -> None:
        name = grant.backend
        running = self._running[name]
        running[grant.ask_id] = request.prompt_tokens + request.output_tokens
        if len(running) > 1 and sum(running.values()) > ENGINE_KV_TOKENS:
            self.kv_exceeded += 1
        count = sum(len(runs) for runs in self._running.values())
        self.most_running = max(self.most_running, count)
        request.engine = name
        request.granted_at = self.now
        self.grants.append(request)
        begin = max(self.now + HOP_S, self._prefilled_at[name])
        prefilled = begin + request.prompt_tokens / PREFILL_TOKENS_PER_S
        self._prefilled_at[name] = prefilled
        step_s = STEP_S * (1.0 + 0.05 * len(running))
        first = prefilled + step_s + HOP_S
        sent = self.now
        ask_id = grant.ask_id
        self._at(first, lambda: self._first(ask_id, first - sent))
        end = first + request.output_tokens * step_s
        self._at(end, lambda: self._done(ask_id, end - sent))

    def _first(self, ask_id: str, after_s: float) -> None:
        request = self._asks[ask_id]
        if ask_id not in self._running[request.engine]:
            return
        request.started_s = self.now - request.arrived
        request.attempt_s = self.now - request.asked_at
        self._handle(request.cell, FirstToken(ask_id, after_s))

    def _done(self, ask_id: str, service_s: float) -> None:
        request = self._asks[ask_id]
        if self._running[request.engine].pop(ask_id, None) is None:
            return
        done = Release(
            ask_id, ReleaseOutcome.DONE, service_s, request.output_tokens
        )
        self._handle(request.cell, done)

    def _cancel(self, ask_id: str) -> None:
        request = self._asks[ask_id]
        if self._running[request.engine].pop(ask_id, None) is None:
            return
        request.granted_at = inf
        request.started_s = request.attempt_s = inf
        released = Release(ask_id, ReleaseOutcome.CANCELLED)
        self._handle(request.cell, released)
        self._send(request)

    def _on_refusal(self, request: Request, refusal: Refuse) -> None:
        self.refusals.append((request, self.now - request.asked_at))
        self.retry_delays.append(refusal.retry_after_s)
        at = self.now + max(0.2, refusal.retry_after_s)
        if not request.batch and at < request.arrived + PATIENCE_S:
            self._at(at, lambda: self._send(request))

    def _lose_engines(self) -> None:
        lost = {b.name for b in self._backends[: self.load.lost]}
        self._configure([b for b in self._backends if b.name not in lost])
        for name in lost:
            runs = list(self._running[name])
            self._running[name].clear()
            for ask_id in runs:
                request = self._asks[ask_id]
                failed = Release(ask_id, ReleaseOutcome.FAILED)
                self._handle(request.cell, failed)
                if request.started_s == inf:
                    self._send(request, avoid=(name,))

    def _configure(self, backends: list[Backend]) -> None:
        customers = {
            name: Customer(name, ())
            for name in self.customers
            if self.load.named
        }
        members = dict.fromkeys(self._holders, "zone-a")
        for index, cell in enumerate(self.cells):
            part = [b for b in backends if b.name in self._parts[index]]
            self._apply(
                index,
                cell.configure(
                    part,
                    customers,
                    {},
                    (),
                    members,
                    self.now,
                    cells=len(self.cells),
                ),
            )

    def _handle(self, index: int, message: FirstToken | Release) -> None:
        self._apply(index, self.cells[index].handle(message, self.now))

    def _after(self, delay_s: float, action: Callable[[], None]) -> None:
        self._at(self.now + delay_s, action)

    def _at(self, when: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._heap, (when, next(self._order), action))


def percentile(values: Iterable[float], share: float) -> float:
    """Return a percentile; 0 without values."""
    ordered = sorted(values)
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, int(len(ordered) * share))]


def share_in_time(requests: Iterable[Request]) -> float:
    """Return the share of requests that start in time."""
    flags = [r.in_time for r in requests]
    return sum(flags) / max(1, len(flags))


def shares_by_customer(requests: Iterable[Request]) -> dict[str, float]:
    """Return the share of each customer that starts in time."""
    total: Counter[str] = Counter()
    good: Counter[str] = Counter()
    for request in requests:
        total[request.customer] += 1
        good[request.customer] += request.in_time
    return {name: good[name] / count for name, count in total.items()}


def worst_tenth(shares: dict[str, float]) -> float:
    """Return the mean share of the tenth of customers with the lowest."""
    lowest = sorted(shares.values())[: max(1, len(shares) // 10)]
    return sum(lowest) / len(lowest)
