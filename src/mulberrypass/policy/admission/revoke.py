"""Revokes batch permits for online work, the youngest first."""

from __future__ import annotations

from typing import TYPE_CHECKING

from mulberrypass.policy.admission.decisions import CellDecision
from mulberrypass.policy.admission.large_asks import permits_in_the_way
from mulberrypass.policy.messages import Revoke

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from mulberrypass.policy.admission.engines import Engine, Permit
    from mulberrypass.policy.admission.ledger import Ledger
    from mulberrypass.policy.admission.settings import CellSettings
    from mulberrypass.policy.messages import Ask

REFILL_PERMITS = 2


class Revoker:
    """Chooses the batch permits to revoke."""

    def __init__(self, settings: CellSettings, ledger: Ledger) -> None:
        self._settings = settings
        self._ledger = ledger

    def for_waiting(self, asks: int, now: float) -> Iterator[CellDecision]:
        """Revoke a permit for each online ask that waits for a slot."""
        engines = self._ledger.engines.values()
        need = asks - sum(engine.revoked for engine in engines)
        yield from self._revoke(
            lambda permit: self._is_usable(permit, now), need, now
        )

    def for_memory(self, ask: Ask, now: float) -> Iterator[CellDecision]:
        """Revoke the permits whose KV memory an online ask needs."""
        for permit in permits_in_the_way(ask, self._ledger):
            yield self._revoke_permit(permit, now)

    def for_burst(self, now: float) -> Iterator[CellDecision]:
        """Revoke batch permits in prefill, which would delay online work."""
        need = len(self._ledger.permits)
        yield from self._revoke(_is_prefilling, need, now)

    def refill(self, engine: Engine, now: float) -> Iterator[CellDecision]:
        """Revoke permits of an engine to make room for further online asks."""
        name = engine.backend.name
        yield from self._revoke(
            lambda permit: permit.backend == name, REFILL_PERMITS, now
        )

    def _revoke(
        self, matches: Callable[[Permit], bool], limit: int, now: float
    ) -> Iterator[CellDecision]:
        permits = self._ledger.permits
        for permit in tuple(permits.revocable()):
            if limit <= 0:
                return
            if not matches(permit):
                continue
            limit -= 1
            yield self._revoke_permit(permit, now)

    def _revoke_permit(self, permit: Permit, now: float) -> CellDecision:
        permits = self._ledger.permits
        self._ledger.engines[permit.backend].revoke(permit)
        permits.remove_revocable(permit)
        reclaim_at = now + self._settings.revoke_grace_s
        permits.reclaim_at(permit, min(permit.reclaim_at, reclaim_at))
        return CellDecision(permit.ask.holder, Revoke(permit.ask.ask_id))

    def _is_usable(self, permit: Permit, now: float) -> bool:
        """Return whether online work can use the slot once it is free.

        Revocable batch work does not count: an engine whose slots were
        reduced because it is slow may still hold too much of it, which
        has to be revoked before a probe finds a slot.
        """
        engine = self._ledger.engines[permit.backend]
        if not engine.admits(False, now):
            return False
        kept = engine.running - engine.revocable
        return not engine.leaving and kept < engine.cap


def _is_prefilling(permit: Permit) -> bool:
    return permit.prefilling and permit.uncached_tokens > 0


__all__ = ["Revoker"]
