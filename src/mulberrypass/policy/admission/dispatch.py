"""Grants the queued asks of a cell and revokes batch permits."""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from math import inf
from typing import TYPE_CHECKING

from mulberrypass.policy.admission.decisions import CellDecision
from mulberrypass.policy.admission.engine_limits import MIN_PER_S
from mulberrypass.policy.admission.large_asks import LargeAskReserve
from mulberrypass.policy.admission.queueing import FairQueue
from mulberrypass.policy.admission.revoke import Revoker
from mulberrypass.policy.admission.routing import Router
from mulberrypass.policy.admission.shares import CustomerShares
from mulberrypass.policy.messages import Grant, WorkClass

if TYPE_CHECKING:
    from collections.abc import Generator, Iterator, Mapping

    from mulberrypass.policy.admission.engines import Engine, Permit
    from mulberrypass.policy.admission.ledger import Ledger
    from mulberrypass.policy.admission.pacing import BatchPacer
    from mulberrypass.policy.admission.queueing import Lane, QueuedAsk
    from mulberrypass.policy.admission.routing import Choice
    from mulberrypass.policy.admission.settings import CellSettings
    from mulberrypass.policy.health.paces import EnginePaces
    from mulberrypass.policy.health.tracker import HealthTracker
    from mulberrypass.policy.messages import Ask

# Unused pacing time that an engine may accumulate.
PACE_BURST_S = 0.02


@dataclass(slots=True)
class _Blocked:
    """What could not be granted in a pass over the queue.

    :param lanes: lanes for whose asks no engine has room
    :param ask_waits: whether an eligible ask waits for room
    :param level: share of slots for a weight of 1; infinity for no limit
    :param tokens: tokens of the smallest ask of each lane that fits no
        engine's memory, though there are slots
    :param large: asks that fit no engine's memory, in fair order
    """

    lanes: set[Lane] = field(default_factory=set)
    ask_waits: bool = False
    level: float = inf
    tokens: dict[Lane, int] = field(default_factory=dict)
    large: dict[str, QueuedAsk] = field(default_factory=dict)

    def is_too_large(self, queued: QueuedAsk) -> bool:
        """Return whether an ask is as large as one that fits no engine."""
        return queued.tokens >= self.tokens.get(queued.lane, inf)

    def add_large(self, queued: QueuedAsk) -> None:
        """Record an ask that fits no engine's memory."""
        self.ask_waits = True
        self.large[queued.ask.ask_id] = queued
        known = self.tokens.get(queued.lane, queued.tokens)
        self.tokens[queued.lane] = min(known, queued.tokens)


class Dispatcher:
    """Serves online asks first, then batch asks, each class in fair order."""

    def __init__(
        self,
        settings: CellSettings,
        ledger: Ledger,
        health: HealthTracker,
        pacer: BatchPacer,
        paces: EnginePaces,
        batch_start_at: float,
    ) -> None:
        self._settings = settings
        self._ledger = ledger
        self._health = health
        self._pacer = pacer
        self._paces = paces
        self._batch_start_at = batch_start_at
        self._last_online_at = 0.0
        self._last_burst_at = -inf
        self._router = Router(settings, paces)
        self._revoker = Revoker(settings, ledger)
        self.zones: Mapping[str, str] = {}
        self.online_headroom = 0
        self.online = FairQueue()
        self.batch = FairQueue()
        self.shares = CustomerShares(
            settings.share_headroom, ledger, self.online
        )
        self._reserve = LargeAskReserve(ledger, self.online)

    @property
    def queues(self) -> tuple[FairQueue, FairQueue]:
        """The queues of both classes."""
        return self.online, self.batch

    def queue(self, work_class: WorkClass) -> FairQueue:
        """Return the queue of a class."""
        if work_class is WorkClass.ONLINE:
            return self.online
        return self.batch

    def run(self, now: float) -> Iterator[CellDecision]:
        """Yield the grants and revocations that are due now."""
        if self._update_batch_limits(now):
            yield from self._revoker.for_burst(now)
        self._reserve.update()
        if len(self.online):
            blocked = yield from self._grant_queued(WorkClass.ONLINE, now)
            if blocked.ask_waits:
                yield from self._make_room(blocked, now)
                return
        if len(self.batch) and now >= self._batch_start_at:
            yield from self._grant_queued(WorkClass.BATCH, now)

    def _make_room(
        self, blocked: _Blocked, now: float
    ) -> Iterator[CellDecision]:
        """Revoke batch work for waiting online asks."""
        self._reserve.update()
        self._reserve.keep_for(blocked.large.values(), now)
        large = next(iter(blocked.large.values()), None)
        if large is not None:
            yield from self._revoker.for_memory(large.ask, now)
        asks = self._count_waiting_online(blocked.level) - len(blocked.large)
        yield from self._revoker.for_waiting(asks, now)

    def _update_batch_limits(self, now: float) -> bool:
        """Relax the limits of batch work while there is no online work.

        :returns: whether online work has arrived after a quiet period
        """
        if self._ledger.limits.online:
            self._last_online_at = now
        quiet = now - self._last_online_at >= self._settings.quiet_s
        burst = quiet and len(self.online) > 0
        if burst:
            self._last_burst_at = now
        if len(self.online):
            self._last_online_at = now
        self._router.set_batch_alone(quiet and not burst)
        return burst

    def _refill(self, engine: Engine, now: float) -> Iterator[CellDecision]:
        """Revoke batch work to keep slots free during an online burst."""
        if now - self._last_burst_at > self._settings.burst_s:
            return
        free = engine.cap - engine.running + engine.revoked
        min_free = (
            self._router.reserved_slots(engine) * self._settings.refill_share
        )
        if free < min_free and engine.batch:
            yield from self._revoker.refill(engine, now)

    def adopt(self, ask: Ask, now: float) -> None:
        """Account for work that runs under a previous owner's permit."""
        engine = self._ledger.engines.get(ask.granted)
        if engine is not None:
            choice = self._router.assess(ask, engine)
            ask = replace(ask, granted="")
            permit = self._admit(ask, choice, now + ask.budget_s, now)
            if not ask.prompt_tokens:
                # The previous owner has already seen its first token.
                engine.finish_prefill(permit)

    def may_run(self, customer: str, work_class: WorkClass) -> bool:
        """Return whether a customer is below its limit of running work."""
        return self._ledger.limits.headroom(customer, work_class) > 0

    def _grant_queued(
        self, work_class: WorkClass, now: float
    ) -> Generator[CellDecision, None, _Blocked]:
        """Grant queued asks in fair order.

        :returns: what could not be granted
        """
        queue = self.queue(work_class)
        blocked = _Blocked()
        if work_class is WorkClass.ONLINE:
            blocked.level = self.shares.level()
        engines = self._ledger.engines.values()
        if not any(
            self._router.has_slot(engine, work_class, now)
            for engine in engines
        ):
            blocked.ask_waits = any(
                self.may_run(c, work_class) for c in queue.customers
            )
            return blocked
        found = self._next(work_class, blocked, now)
        while found is not None:
            if work_class is WorkClass.BATCH and not self._has_batch_slot():
                return blocked
            queued, choice = found
            queue.serve(queued)
            ask = queued.ask
            self._admit(ask, choice, queued.deadline, now)
            yield CellDecision(ask.holder, self._grant(ask, choice, now))
            if work_class is WorkClass.ONLINE:
                yield from self._refill(choice.engine, now)
            found = self._next(work_class, blocked, now) if queue else None
        return blocked

    def _grant(self, ask: Ask, choice: Choice, now: float) -> Grant:
        """Return the grant, and count it against the engine's limit."""
        limit = choice.engine.limit
        if limit is not None:
            limit.take(now)
        per_s = max(MIN_PER_S, limit.per_s) if limit is not None else 0.0
        name = choice.engine.backend.name
        return Grant(ask.ask_id, name, per_s, self._paces.lasting.known(name))

    def _has_batch_slot(self) -> bool:
        """Return whether batch work may take another slot.

        Slots for the online work expected soon stay free: revoking batch
        work right after its grant would only waste its prefill.
        """
        free = sum(
            max(0, engine.cap - engine.running)
            for engine in self._ledger.engines.values()
            if not engine.leaving
        )
        return free > self.online_headroom

    def _next(
        self, work_class: WorkClass, blocked: _Blocked, now: float
    ) -> tuple[QueuedAsk, Choice] | None:
        """Find the first ask that an engine has room for.

        :param blocked: is updated
        """
        queue = self.queue(work_class)
        online = work_class is WorkClass.ONLINE
        if online:
            found = self._kept_choice(blocked, now)
            if found is not None:
                return found
        for queued in queue.scan(lambda c: self.may_run(c, work_class)):
            if queued.lane in blocked.lanes:
                continue
            if online and self.shares.must_wait(
                queued.ask.customer, blocked.level
            ):
                blocked.ask_waits = True
                continue
            if blocked.is_too_large(queued):
                blocked.add_large(queued)
                continue
            choice = self._choose(queued.ask, now)
            if choice is not None:
                return queued, choice
            if self._has_only_slots(queued.ask, now):
                blocked.add_large(queued)
                continue
            blocked.ask_waits = True
            if not self._is_over_share(queued.ask):
                blocked.lanes.add(queued.lane)
            if len(blocked.lanes) >= queue.lanes:
                break
        return None

    def _kept_choice(
        self, blocked: _Blocked, now: float
    ) -> tuple[QueuedAsk, Choice] | None:
        """Return the ask that an engine is kept for once it has room."""
        self._reserve.update()
        queued = self._reserve.queued
        if queued is None:
            return None
        customer = queued.ask.customer
        if not self.may_run(customer, WorkClass.ONLINE):
            return None
        if self.shares.must_wait(customer, blocked.level):
            return None
        choice = self._choose(queued.ask, now)
        return (queued, choice) if choice is not None else None

    def _has_only_slots(self, ask: Ask, now: float) -> bool:
        """Return whether engines have slots for an ask but no memory."""
        return any(
            self._router.has_slot(engine, ask.work_class, now)
            and engine.serves(ask)
            and not engine.fits(ask)
            for engine in self._ledger.engines.values()
        )

    def _choose(self, ask: Ask, now: float) -> Choice | None:
        """Choose an engine; asks over their fair share leave the reserve."""
        engines = [
            engine
            for engine in self._ledger.engines.values()
            if not self._reserve.is_kept_from(engine, ask)
        ]
        zone = self.zones.get(ask.holder, "")
        if not self._is_over_share(ask):
            return self._router.choose(ask, engines, zone, now)
        return self._router.choose(ask, engines, zone, now, leave_reserve=True)

    def _is_over_share(self, ask: Ask) -> bool:
        """Return whether an online ask is over its customer's fair share.

        Slots are shared among the customers with online work; a single
        customer may use all of them.
        """
        if ask.work_class is WorkClass.BATCH:
            return False
        customer = ask.customer
        running = self._ledger.limits.online
        active = running.keys() | self.online.customers
        if len(active) == 1:
            return False
        weights = sum(self.online.weight(name) for name in active)
        slots = sum(e.cap for e in self._ledger.engines.values())
        fair = slots * self.online.weight(customer) / weights
        return running[customer] >= fair

    def apply_health(self, now: float) -> None:
        """Update the usable slots of engines from their health."""
        for engine in self._ledger.engines.values():
            self._apply_health(engine, now)

    def _apply_health(self, engine: Engine, now: float) -> None:
        name, slots = engine.backend.name, engine.backend.slots
        engine.cap = self._health.cap(name, slots, now)
        engine.share = self._health.share(name)
        engine.probe = self._health.probe_due(name, now)

    def _admit(
        self, ask: Ask, choice: Choice, deadline: float, now: float
    ) -> Permit:
        permit = self._ledger.admit(ask, choice, deadline, now)
        engine = choice.engine
        if engine.probe:
            self._health.record_probe(permit.backend, now)
            self._apply_health(engine, now)
        if permit.is_batch:
            interval_s = self._pacer.interval_s(permit.uncached_tokens)
            start_at = max(engine.batch_ready_at, now - PACE_BURST_S)
            engine.batch_ready_at = start_at + interval_s
        return permit

    def _count_waiting_online(self, level: float) -> int:
        """Count the online asks for which batch work gives up slots."""
        limits = self._ledger.limits
        counts = (
            min(count, limits.headroom(name, WorkClass.ONLINE))
            for name, count in self.online.counts().items()
            if not self.shares.must_wait(name, level)
        )
        return int(sum(counts))


__all__ = ["Dispatcher"]
