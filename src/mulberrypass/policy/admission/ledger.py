"""Accounting of engines, permits and running work of a cell."""

from __future__ import annotations

from typing import TYPE_CHECKING

from mulberrypass.policy.admission.customer_limits import CustomerLimits
from mulberrypass.policy.admission.engines import Engine, Permit, PrefixTable
from mulberrypass.policy.admission.permits import PermitTable
from mulberrypass.policy.admission.queueing import estimate_work

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable, Mapping

    from mulberrypass.model.objects import Backend
    from mulberrypass.policy.admission.routing import Choice
    from mulberrypass.policy.admission.settings import CellSettings
    from mulberrypass.policy.messages import Ask


class Ledger:
    """Keeps engines, permits and customers' running work consistent."""

    def __init__(self, settings: CellSettings) -> None:
        self._settings = settings
        self.engines: dict[str, Engine] = {}
        self.permits = PermitTable()
        self.limits = CustomerLimits()
        self._choice_count = 0

    def set_engines(
        self,
        backends: Iterable[Backend],
        leaving: Collection[str],
        loaded: Mapping[str, frozenset[str]],
    ) -> None:
        """Set the backend servers; removed ones stay until they are idle."""
        present = {backend.name: backend for backend in backends}
        for name, backend in present.items():
            engine = self.engines.get(name)
            if engine is None:
                max_prefixes = self._settings.routing.max_prefixes
                engine = Engine(backend, PrefixTable(max_prefixes))
                self.engines[name] = engine
            engine.backend = backend
            engine.leaving = name in leaving
            engine.loaded = loaded.get(name)
        for name in tuple(self.engines):
            if name not in present:
                self.engines[name].leaving = True
                if not self.engines[name].running:
                    del self.engines[name]

    def usable(self) -> list[str]:
        """Return the names of the engines that may get new work."""
        return [n for n, e in self.engines.items() if not e.leaving]

    def servable(self, ask: Ask) -> bool:
        """Return whether any engine can ever serve an ask."""
        return any(engine.serves(ask) for engine in self.engines.values())

    def has_spare(self, ask: Ask, now: float) -> bool:
        """Return whether an engine has room without revoking batch work."""
        return any(
            engine.running < engine.cap
            and engine.admits(False, now)
            and engine.serves(ask)
            and engine.fits(ask)
            for engine in self.engines.values()
        )

    def admit(
        self, ask: Ask, choice: Choice, deadline: float, now: float
    ) -> Permit:
        """Create the permit of an ask and account for it."""
        engine = choice.engine
        permit = Permit(
            ask=ask,
            backend=engine.backend.name,
            granted_at=now,
            deadline=deadline,
            work=estimate_work(ask.prompt_tokens, ask.output_tokens),
            uncached_tokens=choice.uncached_tokens,
            expected_steps=choice.expected_steps,
            reclaim_at=deadline + self._settings.release_grace_s,
        )
        engine.add(permit)
        self._choice_count += 1
        engine.last_chosen = self._choice_count
        self.permits.add(permit)
        self.limits.started(ask.customer, ask.work_class)
        return permit

    def end(self, permit: Permit) -> None:
        """Remove a permit that is released or reclaimed."""
        self.permits.remove(permit.ask.ask_id)
        self.engines[permit.backend].remove(permit)
        self.limits.ended(permit.ask.customer, permit.ask.work_class)

    def confirm(self, permit: Permit) -> None:
        """Record that a permit's holder still uses it."""
        permit.orphaned = False
        if not permit.revoked:
            reclaim_at = permit.deadline + self._settings.release_grace_s
            self.permits.reclaim_at(permit, reclaim_at)

    def lose_holder(self, holder: str, now: float) -> None:
        """Reclaim a lost holder's permits after a grace period."""
        reclaim_at = now + self._settings.holder_grace_s
        for permit in self.permits:
            if permit.ask.holder != holder:
                continue
            permit.orphaned = True
            if permit.reclaim_at > reclaim_at:
                self.permits.reclaim_at(permit, reclaim_at)

    def holders(self) -> set[str]:
        """Return the names of the holders of permits."""
        return {permit.ask.holder for permit in self.permits}

    def first_token_ages(self, now: float) -> dict[str, list[float]]:
        """Return the ages of permits without a first token, by engine.

        Ages are relative to the expected time to first token. Permits of
        lost holders are left out, as their first tokens are not reported.
        """
        ages: dict[str, list[float]] = {}
        for permit in self.permits:
            if permit.prefilling and not permit.orphaned:
                age = (now - permit.granted_at) / permit.expected_steps
                ages.setdefault(permit.backend, []).append(age)
        return ages


__all__ = ["Ledger"]
