"""Finds KV memory for large online asks that fit no engine.

This handles requests with prompts of 6,300 tokens in the mean and up to
17,000 beside short ones of 450, on engines with 72,000 tokens of KV memory.
Short requests would take each piece of memory that becomes free, so that a
large one is passed over until its deadline; batch items may hold the memory
of all engines.
"""

from __future__ import annotations

from math import inf
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection

    from mulberrypass.policy.admission.engines import Engine, Permit
    from mulberrypass.policy.admission.ledger import Ledger
    from mulberrypass.policy.admission.queueing import FairQueue, QueuedAsk
    from mulberrypass.policy.messages import Ask

# Share of the time to its target after which capacity is kept for an ask.
WAIT_SHARE = 0.25


class LargeAskReserve:
    """Keeps one engine of the cell for a large ask that has waited.

    :ivar queued: the ask for which it is kept, if any
    """

    def __init__(self, ledger: Ledger, online: FairQueue) -> None:
        self._ledger = ledger
        self._online = online
        self._engine = ""
        self.queued: QueuedAsk | None = None

    def update(self) -> None:
        """End a reservation that no ask needs or no engine can fulfil."""
        if self.queued is None:
            return
        ask = self.queued.ask
        engine = self._ledger.engines.get(self._engine)
        waits = ask.ask_id in self._online
        if not waits or engine is None or not _can_take(engine, ask):
            self.queued = None

    def keep_for(self, waiting: Collection[QueuedAsk], now: float) -> None:
        """Keep an engine for the first ask that has waited long enough.

        :param waiting: asks that fit no engine, in fair order
        """
        if self.queued is not None:
            return
        for queued in waiting:
            ask = queued.ask
            asked_at = queued.deadline - ask.budget_s
            limit_s = ask.start_within_s or ask.budget_s
            if now < asked_at + WAIT_SHARE * limit_s:
                continue
            engines = [
                engine
                for engine in self._ledger.engines.values()
                if _can_take(engine, ask)
            ]
            if engines:
                chosen = min(engines, key=self._lasting_tokens)
                self.queued, self._engine = queued, chosen.backend.name
                return

    def _lasting_tokens(self, engine: Engine) -> int:
        """Return the tokens of an engine's work that can't be revoked."""
        return engine.kv_tokens - sum(
            permit.kv_tokens
            for permit in self._ledger.permits
            if permit.backend == engine.backend.name
            and permit.is_batch
            and permit.ask.revocable
        )

    def is_kept_from(self, engine: Engine, ask: Ask) -> bool:
        """Return whether an engine is kept for another ask."""
        if self.queued is None or engine.backend.name != self._engine:
            return False
        return ask.ask_id != self.queued.ask.ask_id


def permits_in_the_way(ask: Ask, ledger: Ledger) -> list[Permit]:
    """Return the batch permits to revoke so that an ask fits an engine.

    These are the fewest of one engine, the youngest first; none if no engine
    would have room, or one has as soon as what was revoked has ended.
    """
    best: list[Permit] = []
    for engine in ledger.engines.values():
        if not _can_take(engine, ask):
            continue
        found = _permits_of(engine, ask, ledger)
        if found is None:
            continue
        if not found:
            return []
        if not best or len(found) < len(best):
            best = found
    return best


def _permits_of(
    engine: Engine, ask: Ask, ledger: Ledger
) -> list[Permit] | None:
    """Return the permits of one engine; ``None`` if they don't suffice."""
    permits = [p for p in ledger.permits if p.backend == engine.backend.name]
    revoked = [p for p in permits if p.revoked]
    tokens = engine.kv_tokens - sum(p.kv_tokens for p in revoked)
    running = engine.running - len(revoked)
    needed = ask.prompt_tokens + ask.output_tokens
    found: list[Permit] = []
    for permit in ledger.permits.revocable():
        if _has_room(engine, running, tokens + needed):
            break
        if permit.backend == engine.backend.name:
            found.append(permit)
            tokens -= permit.kv_tokens
            running -= 1
    return found if _has_room(engine, running, tokens + needed) else None


def _has_room(engine: Engine, running: int, tokens: int) -> bool:
    fits = running == 0 or tokens <= (engine.backend.kv_tokens or inf)
    return running < engine.cap and fits


def _can_take(engine: Engine, ask: Ask) -> bool:
    """Return whether an engine may run an ask once it has room."""
    return engine.serves(ask) and engine.cap > 0


__all__ = ["LargeAskReserve", "permits_in_the_way"]
