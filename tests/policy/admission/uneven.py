"""Replays a load on a cell whose engines differ in speed."""

from __future__ import annotations

from collections import Counter
from contextlib import ExitStack
from dataclasses import dataclass, field
from functools import partial
import heapq
import itertools
import random
from typing import TYPE_CHECKING
from unittest import mock

from mulberrypass.model.value_class import value_class
from mulberrypass.policy.health.lasting_paces import LastingPaces
from mulberrypass.policy.health.paces import MomentaryPaces
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
from tests.policy.admission.cases import MEMBERS, ask, batch, engine, make_cell

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator

    from mulberrypass.policy.admission.cell import Cell, CellDecision
    from mulberrypass.policy.admission.settings import CellSettings

TARGET_S = 0.308
GIVE_UP_S = 5.132
ITEM_DUE_S = 18.0
SLOTS = 8
STEP_S = 0.00355
PREFILL_PER_S = 51_200.0
# Added to a step when all slots are in use.
OCCUPANCY = 0.65
MOMENT_S = 0.6
# Two pulses, after which the lasting paces are known; what callers see is
# counted from then on.
LEARNED_S = 10.4
TICK_S = 0.01
REVOKE_S = 0.002
HOLDERS = sorted(MEMBERS)


@value_class
class Speeds:
    """Speeds of the engines.

    :param lasting: time of a step of each engine, relative to the usual one
    :param moment_share: share of the engines that are slow for a moment
    :param names_percent: whether answers name the slowness of the moment
    """

    lasting: tuple[float, ...]
    moment_share: float = 0.0
    moment: float = 2.5
    names_percent: bool = True


def spread(count: int, ratio: float) -> tuple[float, ...]:
    """Return paces from 1 to a ratio in equal steps of their logarithm."""
    return tuple(ratio ** (i / (count - 1)) for i in range(count))


@dataclass
class _Server:
    """One engine: prefills one prompt after the other, generates beside."""

    pace: float
    prefill_free_at: float = 0.0
    running: int = 0


@dataclass
class Result:
    """What callers have seen.

    :ivar first_s: times to first event of online requests, refused ones
        without
    :ivar chosen: grants by class and engine
    :ivar ended: items that ended in time
    """

    arrivals: int = 0
    items: int = 0
    ended: int = 0
    first_s: list[float] = field(default_factory=list)
    chosen: Counter[tuple[WorkClass, str]] = field(default_factory=Counter)

    def in_time(self) -> float:
        """Return the share of online requests in time."""
        return sum(s <= TARGET_S for s in self.first_s) / self.arrivals

    def first_ms(self, share: float) -> float:
        """Return a quantile of the time to first event."""
        ordered = sorted(self.first_s)
        return 1_000 * ordered[int(share * (len(ordered) - 1))]


class UnevenReplay:
    """Replays pulses of online work and steady batch work on a cell.

    The rate is 1.85 times the mean for 2.2 s, then 0.38 times for 3 s.

    :param slowed: returns by how much an engine is slower at a time, beside
        its speeds
    """

    def __init__(
        self,
        speeds: Speeds,
        seed: int,
        slowed: Callable[[str, float], float] = lambda _name, _now: 1.0,
        settings: CellSettings = CELLS,
    ) -> None:
        self._settings = settings
        self.names = [f"core-{i}" for i in range(len(speeds.lasting))]
        self.cell = self.new_cell(0.0)
        self.result = Result()
        self.now = 0.0
        self.reduced: set[str] = set()
        self._speeds = speeds
        self._seed = seed
        self._slowed = slowed
        self._rng = random.Random(seed)
        self._servers = dict(
            zip(self.names, map(_Server, speeds.lasting), strict=True)
        )
        self._numbers = itertools.count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._asked: dict[str, tuple[Ask, float]] = {}
        self._runs: dict[str, str] = {}
        self._moments: dict[tuple[str, int], bool] = {}

    def new_cell(self, now: float) -> Cell:
        """Return a cell as a new owner has it."""
        return make_cell(
            [engine(n, SLOTS, kv_tokens=72_000) for n in self.names],
            self._settings,
            now=now,
        )

    def run(
        self, seconds: float, per_s: float, items_per_s: float = 0.0
    ) -> Result:
        """Replay some seconds, then let all work end."""
        end = self.now + seconds
        self._arrive(self.now, end, per_s, items_per_s)
        ticks = round((seconds + GIVE_UP_S) / TICK_S)
        for number in range(ticks):
            self.after(number * TICK_S, self._tick)
        while self._events:
            self.now, _, call = heapq.heappop(self._events)
            call()
        return self.result

    def after(self, seconds: float, call: Callable[[], None]) -> None:
        """Call something later."""
        event = (self.now + seconds, next(self._numbers), call)
        heapq.heappush(self._events, event)

    def _arrive(
        self, now: float, end: float, per_s: float, items_per_s: float
    ) -> None:
        at = now
        while True:
            rate = per_s * (1.85 if at % 5.2 < 2.2 else 0.38)
            at += self._rng.expovariate(rate)
            if at >= end:
                break
            self.after(at - now, self._ask_online)
        at = now
        while items_per_s:
            at += self._rng.expovariate(items_per_s)
            if at >= end:
                break
            self.after(at - now, self._ask_batch)

    def _ask_online(self) -> None:
        self.result.arrivals += self.now >= LEARNED_S
        number = next(self._numbers)
        self._ask(
            ask(
                f"a{number}",
                holder=HOLDERS[number % len(HOLDERS)],
                budget_s=GIVE_UP_S,
                start_within_s=TARGET_S,
                prompt_tokens=round(self._rng.lognormvariate(6.6, 0.8)),
                output_tokens=max(9, round(self._rng.gauss(120, 40))),
            )
        )

    def _ask_batch(self) -> None:
        self.result.items += 1
        self._ask(
            batch(
                f"b{next(self._numbers)}",
                budget_s=ITEM_DUE_S,
                prompt_tokens=600,
                output_tokens=300,
            )
        )

    def _ask(self, made: Ask) -> None:
        self._asked[made.ask_id] = (made, self.now)
        self._take(self.cell.handle(made, self.now))

    def _tick(self) -> None:
        self._take(self.cell.tick(self.now))
        self.reduced.update(self.cell.health.reduced())

    def _take(self, decisions: Iterable[CellDecision]) -> None:
        for decision in decisions:
            match decision.message:
                case Grant(ask_id=ask_id, backend=backend):
                    self._grant(ask_id, backend)
                case Refuse(ask_id=ask_id):
                    self._asked.pop(ask_id, None)
                case Revoke(ask_id=ask_id):
                    self.after(REVOKE_S, partial(self._revoked, ask_id))

    def _grant(self, ask_id: str, name: str) -> None:
        made, asked_at = self._asked[ask_id]
        server = self._servers[name]
        server.running += 1
        self._runs[ask_id] = name
        self.result.chosen[made.work_class, name] += 1
        start = max(self.now, server.prefill_free_at)
        prefill_s = STEP_S + made.prompt_tokens / PREFILL_PER_S
        first_at = self._worked(name, start, prefill_s)
        server.prefill_free_at = first_at
        occupied = 1 + OCCUPANCY * server.running / SLOTS
        decode_s = made.output_tokens * STEP_S * occupied
        done_at = self._worked(name, first_at, decode_s)
        first_s, service_s = first_at - self.now, done_at - self.now

        def first() -> None:
            if ask_id not in self._runs:
                return
            online = made.work_class is WorkClass.ONLINE
            if online and asked_at >= LEARNED_S:
                self.result.first_s.append(self.now - asked_at)
            moment = self._moment(name, self.now)
            said = moment if self._speeds.names_percent else 0.0
            message = FirstToken(ask_id, first_s, said)
            self._take(self.cell.handle(message, self.now))

        def done() -> None:
            if self._end(ask_id):
                if made.work_class is WorkClass.BATCH:
                    self.result.ended += self.now - asked_at <= ITEM_DUE_S
                outcome = ReleaseOutcome.DONE
                message = Release(
                    ask_id, outcome, service_s, made.output_tokens
                )
                self._take(self.cell.handle(message, self.now))

        self.after(first_s, first)
        self.after(service_s, done)

    def _revoked(self, ask_id: str) -> None:
        """Release an item and ask for it again."""
        if not self._end(ask_id):
            return
        outcome = ReleaseOutcome.CANCELLED
        message = Release(ask_id, outcome)
        self._take(self.cell.handle(message, self.now))
        made, asked_at = self._asked.pop(ask_id)
        left_s = asked_at + ITEM_DUE_S - self.now
        if left_s > 0:
            again = batch(
                f"b{next(self._numbers)}",
                budget_s=left_s,
                prompt_tokens=made.prompt_tokens,
                output_tokens=made.output_tokens,
            )
            self._asked[again.ask_id] = (again, asked_at)
            self._take(self.cell.handle(again, self.now))

    def _end(self, ask_id: str) -> bool:
        name = self._runs.pop(ask_id, None)
        if name is None:
            return False
        self._servers[name].running -= 1
        return True

    def _worked(self, name: str, start: float, work_s: float) -> float:
        """Return when an engine has done some work."""
        now = start
        while True:
            pace = self._servers[name].pace * self._moment(name, now)
            until = (int(now / MOMENT_S) + 1) * MOMENT_S
            if now + work_s * pace <= until:
                return now + work_s * pace
            work_s -= (until - now) / pace
            now = until + 1e-9

    def _moment(self, name: str, now: float) -> float:
        number = int(now / MOMENT_S)
        if (name, number) not in self._moments:
            draw = random.Random(f"{self._seed}/{name}/{number}").random()
            slow = draw < self._speeds.moment_share
            self._moments[name, number] = slow
        moment = 1.0
        if self._moments[name, number]:
            moment = self._speeds.moment
        return moment * self._slowed(name, now)


class WithoutPaces(ExitStack):
    """Lets cells treat all engines as equally fast, as a reference."""

    def __enter__(self) -> WithoutPaces:
        super().__enter__()
        for owner in (LastingPaces, MomentaryPaces):
            self.enter_context(
                mock.patch.object(owner, "pace", return_value=1.0)
            )
        return self


def variants(base: tuple[float, ...]) -> Iterator[tuple[str, Speeds]]:
    """Return the speeds of a fleet, with and without slow moments."""
    yield "lasting", Speeds(base)
    yield "moments", Speeds(tuple(1.0 for _ in base), 0.15)
    yield "both", Speeds(base, 0.15)
    yield "both, not named", Speeds(base, 0.15, names_percent=False)


__all__ = ["Speeds", "UnevenReplay", "WithoutPaces", "spread", "variants"]
