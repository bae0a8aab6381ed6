"""Chooses the engine of a cell that a piece of work goes to."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from mulberrypass.policy.messages import WorkClass

if TYPE_CHECKING:
    from collections.abc import Iterable

    from mulberrypass.policy.cell_engines import Engine
    from mulberrypass.policy.cell_settings import (
        CellSettings,
        RoutingSettings,
    )
    from mulberrypass.policy.health import HealthBoard
    from mulberrypass.policy.messages import Ask

MIN_SHARE = 0.05


@dataclass(frozen=True, slots=True)
class Choice:
    """An engine for a piece of work, and why.

    :param expected_steps: expected time of the first token, in empty steps
    :param score: what is least at the chosen engine
    :param probe: whether it tries an engine that is taken out in part
    """

    engine: Engine
    uncached_tokens: int
    expected_steps: float
    score: float
    probe: bool


class Router:
    """Weighs pending prefill, running work, cached prefixes and health."""

    def __init__(self, settings: CellSettings, health: HealthBoard) -> None:
        self._settings = settings
        self._health = health

    def online(
        self, ask: Ask, engines: Iterable[Engine], zone: str, now: float
    ) -> Choice | None:
        """Choose an engine with a free slot; ``None`` where none is."""
        return self._least(
            ask,
            (e for e in engines if self.online_room(e, ask, now)),
            zone,
            now,
        )

    def batch(
        self, ask: Ask, engines: Iterable[Engine], zone: str, now: float
    ) -> Choice | None:
        """Choose an engine that may take batch work now."""
        return self._least(
            ask,
            (e for e in engines if self.batch_room(e, ask, now)),
            zone,
            now,
        )

    def has_slot(
        self, engine: Engine, work_class: WorkClass, now: float
    ) -> bool:
        """Whether an engine may take any work of a class now."""
        cap = 0 if engine.leaving else self._cap(engine, now)
        if work_class is WorkClass.ONLINE:
            return engine.running < cap
        if now < engine.batch_ready_at:
            return False
        return engine.running < self._batch_cap(engine, cap)

    def online_room(self, engine: Engine, ask: Ask, now: float) -> bool:
        """Whether an engine has a slot for an online ask."""
        if not engine.serves(ask) or not engine.fits(ask):
            return False
        return engine.running < self._cap(engine, now)

    def batch_room(self, engine: Engine, ask: Ask, now: float) -> bool:
        """Whether an engine may take a batch ask now."""
        if not engine.serves(ask) or not engine.fits(ask):
            return False
        if not self.has_slot(engine, WorkClass.BATCH, now):
            return False
        if not ask.revocable and engine.fixed >= self.fixed_most(engine):
            return False
        pending = engine.batch_prefill_tokens
        most = self._settings.batch_prefill_tokens
        return pending == 0 or pending + ask.prompt_tokens <= most

    def reserve(self, engine: Engine) -> int:
        """Give the slots that batch work leaves free."""
        share = int(engine.backend.slots * self._settings.reserve_share)
        return min(self._settings.reserve_slots, share)

    def fixed_most(self, engine: Engine) -> int:
        """Give the slots for batch work that can't be revoked."""
        return max(1, int(engine.backend.slots * self._settings.fixed_share))

    def choice(
        self, ask: Ask, engine: Engine, zone: str, now: float
    ) -> Choice:
        """Weigh one engine for a piece of work."""
        cfg = self._settings.routing
        blocks = engine.prefixes.leading(ask.prefix)
        cached = min(ask.prompt_tokens, blocks * cfg.block_tokens)
        uncached = ask.prompt_tokens - cached
        steps = expected_steps(engine, uncached, cfg)
        share = max(MIN_SHARE, self._health.share(engine.backend.name))
        score = steps / share
        if zone and zone != engine.backend.zone:
            score += cfg.zone_steps
        probe = self._health.probe_due(engine.backend.name, now)
        return Choice(engine, uncached, steps, score, probe)

    def _least(
        self, ask: Ask, engines: Iterable[Engine], zone: str, now: float
    ) -> Choice | None:
        choices = (self.choice(ask, engine, zone, now) for engine in engines)
        return min(
            choices,
            key=lambda c: (not c.probe, c.score, c.engine.chosen),
            default=None,
        )

    def _batch_cap(self, engine: Engine, cap: int) -> int:
        return max(cap - self.reserve(engine), min(cap, 1))

    def _cap(self, engine: Engine, now: float) -> int:
        return self._health.cap(engine.backend.name, engine.backend.slots, now)


def expected_steps(
    engine: Engine, uncached_tokens: int, settings: RoutingSettings
) -> float:
    """Estimate the time of a first token, in steps of an empty engine."""
    backend = engine.backend
    occupancy = engine.running / max(1, backend.slots)
    decode = 1.0 + settings.occupancy_steps * occupancy
    tokens = engine.prefill_tokens + uncached_tokens
    chunks = tokens / max(1, backend.prefill_tokens)
    return decode + chunks * (decode + settings.full_prefill_steps)


__all__ = ["Choice", "Router", "expected_steps"]
