"""Admission control for the engines of one cell, as a state machine."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from mulberrypass.policy.admission.capacity import free_slots
from mulberrypass.policy.admission.cells import CellLoad
from mulberrypass.policy.admission.decisions import CellDecision
from mulberrypass.policy.admission.dispatch import Dispatcher
from mulberrypass.policy.admission.early_refusal import EarlyRefusal
from mulberrypass.policy.admission.ledger import Ledger
from mulberrypass.policy.admission.order import make_queued
from mulberrypass.policy.admission.pacing import BatchPacer
from mulberrypass.policy.admission.queueing import (
    QueuedAsk,
    estimate_work,
)
from mulberrypass.policy.admission.routing import decode_steps
from mulberrypass.policy.admission.settings import CellSettings
from mulberrypass.policy.admission.wait_estimate import WaitEstimator
from mulberrypass.policy.health.holder_baselines import HolderBaselines
from mulberrypass.policy.health.paces import EnginePaces
from mulberrypass.policy.health.tracker import FULL_SHARE, HealthTracker
from mulberrypass.policy.messages import (
    Ask,
    FirstToken,
    Grant,
    LimitReport,
    PaceReport,
    RefusalReason,
    Refuse,
    Release,
    ReleaseOutcome,
    Revoke,
    Withdraw,
    WorkClass,
)
from mulberrypass.policy.verdicts import AwaitedVerdicts

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable, Mapping

    from mulberrypass.model.objects import Backend, Customer, Quota
    from mulberrypass.policy.admission.engines import Engine, Permit
    from mulberrypass.policy.admission.permits import PermitTable
    from mulberrypass.policy.admission.queueing import FairQueue
    from mulberrypass.policy.admission.shares import CustomerUse
    from mulberrypass.policy.messages import HolderMessage, OwnerMessage

MIN_TOKENS_FOR_RATE = 8
RETRY_AFTER_S = 1.0


class Cell:
    """Queues asks for the engines of a cell and grants permits.

    Methods neither block nor read a clock; they return messages to send.
    """

    def __init__(
        self, settings: CellSettings | None = None, now: float = 0.0
    ) -> None:
        self.settings = settings or CellSettings()
        self.batch_pacer = BatchPacer(self.settings.pacing)
        self.health = HealthTracker(self.settings.health)
        self.paces = EnginePaces()
        self._ledger = Ledger(self.settings)
        self._unjudged: AwaitedVerdicts[Permit] = AwaitedVerdicts()
        self._dispatcher = Dispatcher(
            self.settings,
            self._ledger,
            self.health,
            self.batch_pacer,
            self.paces,
            now + self.settings.settle_s,
        )
        self._waits = WaitEstimator(
            self._ledger, self._dispatcher.online, self._dispatcher.shares
        )
        self._early = EarlyRefusal(self.settings.early)
        self._baselines = HolderBaselines()
        self._sequence = 0
        self._decisions: list[CellDecision] = []

    def configure(
        self,
        backends: Iterable[Backend],
        customers: Mapping[str, Customer],
        quotas: Mapping[str, Quota],
        leaving: Collection[str],
        members: Mapping[str, str],
        now: float,
        *,
        cells: int = 1,
        loaded: Mapping[str, frozenset[str]] | None = None,
    ) -> list[CellDecision]:
        """Apply a configuration and the current members.

        :param leaving: backend servers that get no new work
        :param members: zones of the live holders, by name
        :param cells: cells of the pool, among which limits are divided
        :param loaded: versions that backend servers have loaded, if known
        """
        self._ledger.set_engines(backends, leaving, loaded or {})
        usable = self._ledger.usable()
        self.health.set_engines(usable)
        self.paces.set_engines(
            {name: self.engines[name].backend.address for name in usable}
        )
        self._dispatcher.apply_health(now)
        weights = {name: c.weight for name, c in customers.items()}
        for queue in self._dispatcher.queues:
            queue.set_weights(weights)
        self._dispatcher.shares.enforced = bool(customers)
        self._ledger.limits.configure(customers, quotas, cells, now)
        self._dispatcher.zones = members
        for holder in self._ledger.holders() - set(members):
            self._lose_holder(holder, now)
        self._refuse_unservable()
        return self._run(now)

    def handle(self, message: HolderMessage, now: float) -> list[CellDecision]:
        """Handle a message of a holder."""
        match message:
            case Ask():
                self._on_ask(message, now)
            case Withdraw(ask_id=ask_id):
                self._on_withdraw(ask_id)
            case FirstToken():
                self._on_first_token(message, now)
            case Release():
                self._on_release(message, now)
            case LimitReport():
                self._on_limit(message, now)
            case PaceReport(backend=backend, pace=pace, age_s=age_s):
                self.paces.lasting.hint(backend, pace, age_s, now)
        return self._run(now)

    def holder_lost(self, holder: str, now: float) -> list[CellDecision]:
        """Drop a lost holder's asks; its permits stay for a grace period."""
        self._lose_holder(holder, now)
        return self._run(now)

    def tick(self, now: float) -> list[CellDecision]:
        """Drop late asks, reclaim permits and grant paced work."""
        for queue in self._dispatcher.queues:
            for queued in queue.pop_expired(now):
                self._refuse(queued.ask, RefusalReason.DEADLINE, 0.0)
        self._dispatcher.online.postpone_late(now)
        for permit in self.permits.pop_expired(now):
            self._ledger.end(permit)
        self.batch_pacer.tick(now)
        if self.health.due(now):
            ages = self._ledger.first_token_ages(now)
            self.paces.evaluate(now, ages)
            paces = self.paces.lasting.for_health(self.health.reduced())
            self.health.evaluate(now, ages, paces)
        self._dispatcher.apply_health(now)
        return self._run(now)

    def close(self) -> list[CellDecision]:
        """Refuse all queued asks because another member owns the cell now."""
        for queue in self._dispatcher.queues:
            for ask in queue.pop_unless(lambda _: False):
                self._refuse(ask, RefusalReason.NOT_OWNER, 0.0)
        return self._take_decisions()

    def cache_hint(self, backend: str, stored: bool, block: int) -> None:
        """Apply an engine's delayed report of a change to its prefix cache."""
        engine = self.engines.get(backend)
        if engine is not None:
            engine.prefixes.apply_hint(stored, block)

    @property
    def queueing(self) -> bool:
        """Whether any ask is queued."""
        return any(len(queue) for queue in self._dispatcher.queues)

    def load(self, now: float) -> CellLoad:
        """Return the load by which holders choose a cell."""
        free = sum(
            free_slots(engine, now)
            for engine in self.engines.values()
            if not engine.leaving
        )
        return CellLoad(free, *map(len, self._dispatcher.queues))

    @property
    def engines(self) -> Mapping[str, Engine]:
        """The engines, by name."""
        return self._ledger.engines

    @property
    def permits(self) -> PermitTable:
        """The permits in use."""
        return self._ledger.permits

    def queued(self, work_class: WorkClass) -> FairQueue:
        """Return the queue of a class."""
        return self._dispatcher.queue(work_class)

    def running(self) -> dict[str, dict[str, int]]:
        """Return the number of running asks, by class and customer."""
        return self._ledger.limits.running()

    def customer_uses(self) -> dict[str, CustomerUse]:
        """Return the use of customers limited to their shares."""
        return self._dispatcher.shares.state()

    def knows(self, ask_id: str) -> bool:
        """Return whether an ask is queued, has a permit, or may be judged."""
        if self.permits.get(ask_id) is not None or ask_id in self._unjudged:
            return True
        return any(ask_id in queue for queue in self._dispatcher.queues)

    def may_run(self, customer: str, work_class: WorkClass) -> bool:
        """Return whether a customer is below its limit."""
        return self._dispatcher.may_run(customer, work_class)

    def _on_ask(self, ask: Ask, now: float) -> None:
        permit = self.permits.get(ask.ask_id)
        if permit is not None:
            self._on_known_permit(permit, ask)
        elif ask.granted:
            self._dispatcher.adopt(ask, now)
        elif ask.ask_id not in self.queued(ask.work_class):
            self._on_new_ask(ask, now)

    def _on_known_permit(self, permit: Permit, ask: Ask) -> None:
        """Answer a repeated ask, as the first answer may have been lost."""
        self._ledger.confirm(permit)
        if not ask.granted:
            pace = self.paces.lasting.known(permit.backend)
            grant = Grant(ask.ask_id, permit.backend, pace=pace)
            self._send(permit.ask, grant)
        if permit.revoked:
            self._send(permit.ask, Revoke(ask.ask_id))

    def _on_new_ask(self, ask: Ask, now: float) -> None:
        if not self._ledger.servable(ask):
            self._refuse(ask, RefusalReason.NO_BACKEND, RETRY_AFTER_S)
            return
        if ask.repeat and not self._has_spare(ask, now):
            self._refuse(ask, RefusalReason.NO_SPARE, 0.0)
            return
        online = ask.work_class is WorkClass.ONLINE
        if online:
            wait = self._ledger.limits.take_rate_token(ask.customer, now)
            if wait > 0:
                self._refuse(ask, RefusalReason.CUSTOMER_LIMIT, wait)
                return
        work = estimate_work(ask.prompt_tokens, ask.output_tokens)
        needed_s = wait = 0.0
        if online:
            needed_s = self._waits.service.expected_s(work)
            needed_s *= self.settings.service_margin
            wait = self._waits.wait_s(ask, now) * self.settings.wait_margin
        if ask.budget_s <= 0 or wait + needed_s > ask.budget_s:
            self._refuse(ask, RefusalReason.DEADLINE, wait)
            return
        if online and self._refuse_early(ask, now):
            return
        self._sequence += 1
        self._enqueue(
            make_queued(
                ask,
                work,
                needed_s,
                now,
                sequence=self._sequence,
                patience_s=self.settings.patience_s,
                returns=online and self._early.is_retry(ask, now),
            )
        )

    def _has_spare(self, ask: Ask, now: float) -> bool:
        """Return whether a second run of an ask would delay no other work.

        Batch work that runs doesn't give up its slot for it.
        """
        shares = self._dispatcher.shares
        if len(self.queued(WorkClass.ONLINE)):
            return False
        if shares.must_wait(ask.customer, shares.level()):
            return False
        return self._ledger.has_spare(ask, now)

    def _refuse_early(self, ask: Ask, now: float) -> bool:
        """Refuse online work that would start too late."""
        self._early.count_arrival(now)
        wait = self._waits.wait_s(ask, now)
        capacity = self._waits.capacity_per_s(ask)
        over_share = self._dispatcher.shares.is_over(ask.customer)
        retry_after_s = self._early.retry_after_s(
            ask, wait, capacity, now, over_share=over_share
        )
        if retry_after_s is None:
            return False
        self._refuse(ask, RefusalReason.LATE_START, retry_after_s)
        return True

    def _enqueue(self, queued: QueuedAsk) -> None:
        """Queue an ask; a full queue drops one of the largest customer."""
        ask = queued.ask
        queue = self.queued(ask.work_class)
        if len(queue) >= self.settings.max_queued(ask.work_class):
            victim = queue.eviction_candidate()
            mine = queue.work_share(ask.customer, queued.work)
            if victim is None or mine >= queue.work_share(victim.ask.customer):
                self._refuse(ask, RefusalReason.QUEUE_FULL, RETRY_AFTER_S)
                return
            queue.remove(victim.ask.ask_id)
            reason = RefusalReason.QUEUE_FULL
            self._refuse(victim.ask, reason, RETRY_AFTER_S)
        queue.add(queued)

    def _on_withdraw(self, ask_id: str) -> None:
        for queue in self._dispatcher.queues:
            if queue.remove(ask_id) is not None:
                return
        permit = self.permits.get(ask_id)
        if permit is not None:
            self._ledger.end(permit)

    def _on_first_token(self, message: FirstToken, now: float) -> None:
        permit = self.permits.get(message.ask_id)
        if permit is None or not permit.prefilling:
            return
        permit.first_token_s = message.after_s
        self.engines[permit.backend].finish_prefill(permit)
        steps = message.after_s / permit.expected_steps
        self.health.record_first_token(permit.backend, steps, now)
        self.paces.momentary.note(permit.backend, message.slowness, now)
        if self._may_learn(permit.backend):
            self.paces.lasting.record_first_token(permit.backend, steps, now)
        if not permit.is_batch:
            self.batch_pacer.observe_first_token(message.after_s)

    def _on_limit(self, report: LimitReport, now: float) -> None:
        """Apply an engine's limit; the last answer to be granted counts."""
        engine = self.engines.get(report.backend)
        if engine is None:
            return
        engine.apply_limit(report, self.permits.get(report.ask_id), now)

    def _on_release(self, message: Release, now: float) -> None:
        permit = self.permits.get(message.ask_id)
        if permit is not None:
            self._ledger.end(permit)
            if message.outcome is ReleaseOutcome.CANCELLED:
                self._unjudged.put(message.ask_id, permit, now)
                return
        else:
            # A verdict on a run that was released as cancelled.
            permit = self._unjudged.take(message, now)
            if permit is None:
                return
        match message.outcome:
            case ReleaseOutcome.DONE:
                self._on_done(permit, message, now)
            case ReleaseOutcome.FAILED:
                self.health.record_failure(permit.backend, now)
                self._dispatcher.apply_health(now)

    def _on_done(self, permit: Permit, message: Release, now: float) -> None:
        if not permit.is_batch:
            # In a pulse all engines are in use, and not only the fast ones
            # that run the work of quiet times.
            pace = self.paces.lasting.pace(permit.backend)
            service_s = message.service_s / pace
            self._waits.service.observe(permit.work, service_s)
            if message.gap_s > 0:
                self.batch_pacer.observe_gap(message.gap_s)
        if message.tokens == 0:
            self.health.record_call(permit.backend, message.service_s, now)
        elif message.tokens >= MIN_TOKENS_FOR_RATE and permit.first_token_s:
            decode_s = message.service_s - permit.first_token_s
            token_s = decode_s / message.tokens
            ratio = self._baselines.normalize(permit.ask.holder, token_s)
            self.health.record_token_time(permit.backend, ratio, now)
            self.paces.note_token_s(token_s)
            if self._may_learn(permit.backend):
                ratio /= self._decode_steps(permit.backend)
                self.paces.lasting.record_token_time(
                    permit.backend, ratio, now
                )
        work = estimate_work(permit.ask.prompt_tokens, message.tokens)
        queue = self.queued(permit.ask.work_class)
        queue.adjust_charge(permit.ask.customer, work - permit.work)

    def _may_learn(self, backend: str) -> bool:
        """Return whether an engine is neither held back nor reduced."""
        return self.health.share(backend) >= FULL_SHARE

    def _decode_steps(self, backend: str) -> float:
        """Return the expected steps per token beside an engine's work."""
        engine = self.engines.get(backend)
        if engine is None:
            return 1.0
        return decode_steps(engine, self.settings.routing)

    def _refuse_unservable(self) -> None:
        for queue in self._dispatcher.queues:
            for ask in queue.pop_unless(self._ledger.servable):
                self._refuse(ask, RefusalReason.NO_BACKEND, RETRY_AFTER_S)

    def _lose_holder(self, holder: str, now: float) -> None:
        self._baselines.forget(holder)
        for queue in self._dispatcher.queues:
            queue.pop_unless(lambda ask: ask.holder != holder)
        self._ledger.lose_holder(holder, now)

    def _refuse(self, ask: Ask, reason: RefusalReason, wait: float) -> None:
        self._dispatcher.shares.count_refusal(ask)
        limit = self.settings.max_retry_after_s
        retry_after_s = min(limit, wait) if math.isfinite(wait) else limit
        self._send(ask, Refuse(ask.ask_id, reason, retry_after_s))

    def _send(self, ask: Ask, message: OwnerMessage) -> None:
        self._decisions.append(CellDecision(ask.holder, message))

    def _run(self, now: float) -> list[CellDecision]:
        self._dispatcher.online_headroom = int(
            self._early.rate_per_s(now) * self.settings.ahead_s
        )
        self._dispatcher.shares.update(self._waits.service.mean_s(), now)
        self._decisions.extend(self._dispatcher.run(now))
        return self._take_decisions()

    def _take_decisions(self) -> list[CellDecision]:
        out, self._decisions = self._decisions, []
        return out


__all__ = ["Cell", "CellDecision"]
