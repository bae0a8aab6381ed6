"""Choice of an engine of a cell for an ask."""

from __future__ import annotations

from math import inf
from typing import TYPE_CHECKING

from mulberrypass.model.objects import BackendKind
from mulberrypass.model.value_class import value_class
from mulberrypass.policy.health.paces import EnginePaces
from mulberrypass.policy.messages import WorkClass

if TYPE_CHECKING:
    from collections.abc import Collection

    from mulberrypass.policy.admission.engines import Engine
    from mulberrypass.policy.admission.settings import (
        CellSettings,
        RoutingSettings,
    )
    from mulberrypass.policy.messages import Ask

MIN_SHARE = 0.05
# Multiple of an item's expected time that must fit before its deadline, as
# estimates of its tokens are rough.
END_MARGIN = 1.5
# The last engines to choose: those on which an item would end too late.
LATE_TIER = 2


@value_class
class Choice:
    """An engine for an ask, with its cost.

    :param expected_steps: expected time to first token, in steps of an
        empty engine
    :param score: cost that is minimized
    """

    engine: Engine
    uncached_tokens: int
    expected_steps: float
    score: float


class Router:
    """Scores engines by the expected time to first token, and by health.

    If engines differ in speed, batch work goes to those that online work
    would not choose.
    """

    def __init__(
        self, settings: CellSettings, paces: EnginePaces | None = None
    ) -> None:
        self._settings = settings
        self._paces = paces or EnginePaces()
        self._batch_limits = settings.beside_online

    def set_batch_alone(self, alone: bool) -> None:
        """Set whether batch work is alone, without recent online work."""
        cfg = self._settings
        self._batch_limits = cfg.alone if alone else cfg.beside_online

    def choose(
        self,
        ask: Ask,
        engines: Collection[Engine],
        zone: str,
        now: float,
        leave_reserve: bool = False,
    ) -> Choice | None:
        """Choose an engine that may take an ask now.

        :param zone: the holder's zone
        :param leave_reserve: whether online work must leave the reserve free
            and pending prefill low for customers below their share
        """
        online = ask.work_class is WorkClass.ONLINE
        may_spread = online or self.may_spread_batch(ask, engines)
        uneven = not online and self._paces.lasting.uneven()
        best = None
        best_rank: tuple[bool, int, float, int] = (True, LATE_TIER, inf, 0)
        for engine in engines:
            if not self.has_slot(engine, ask.work_class, now):
                continue
            if leave_reserve and not self._leaves_headroom(engine, ask):
                continue
            if not may_spread and not engine.batch_prefill_tokens:
                continue
            if not self._accepts(engine, ask, online):
                continue
            uncached = self._uncached(engine, ask)
            steps = expected_steps(engine, uncached, self._settings.routing)
            if online and self._misses_target(ask, engine, steps, now):
                continue
            score = self._score(ask, engine, steps, zone, now)
            tier = 0
            if uneven:
                tier, score = self._rank_batch(ask, engine, steps)
            rank = (not engine.probe, tier, score, engine.last_chosen)
            if rank < best_rank:
                best_rank = rank
                best = Choice(engine, uncached, steps, score)
        return best

    def may_spread_batch(self, ask: Ask, engines: Collection[Engine]) -> bool:
        """Return whether batch prefill may start on another engine."""
        if not ask.prompt_tokens:
            return True
        limit = int(len(engines) * self._batch_limits.prefill_share)
        pending = sum(e.batch_prefill_tokens > 0 for e in engines)
        return pending < max(1, limit)

    def assess(self, ask: Ask, engine: Engine) -> Choice:
        """Return the choice of an engine on which the work already runs."""
        uncached = self._uncached(engine, ask)
        steps = expected_steps(engine, uncached, self._settings.routing)
        return Choice(engine, uncached, steps, steps)

    def has_slot(
        self, engine: Engine, work_class: WorkClass, now: float
    ) -> bool:
        """Return whether an engine has a slot for a class of work now."""
        if not engine.admits(work_class is WorkClass.BATCH, now):
            return False
        if work_class is WorkClass.ONLINE:
            return engine.running < engine.cap
        return self.has_batch_slot(engine, now)

    def has_batch_slot(self, engine: Engine, now: float) -> bool:
        """Return whether an engine has a slot for batch work now."""
        if now < engine.batch_ready_at:
            return False
        return not self.in_reserve(engine)

    def _leaves_headroom(self, engine: Engine, ask: Ask) -> bool:
        """Return whether an ask over its customer's share leaves room."""
        if self.in_reserve(engine):
            return False
        pending = engine.prefill_tokens
        limit = self._settings.over_share_prefill_tokens
        return pending == 0 or pending + ask.prompt_tokens <= limit

    def in_reserve(self, engine: Engine) -> bool:
        """Return whether only reserved slots are free."""
        limit = max(
            engine.cap - self.reserved_slots(engine), min(engine.cap, 1)
        )
        return engine.running >= limit

    def reserved_slots(self, engine: Engine) -> int:
        """Return the number of slots that batch work leaves free."""
        share = int(engine.backend.slots * self._settings.reserve_share)
        return min(self._batch_limits.reserve_slots, share)

    def max_fixed(self, engine: Engine) -> int:
        """Return the maximum batch work that can't be revoked."""
        return max(1, int(engine.backend.slots * self._settings.fixed_share))

    def _accepts(self, engine: Engine, ask: Ask, online: bool) -> bool:
        """Return whether an engine with a free slot may take this ask."""
        if not engine.serves(ask) or not engine.fits(ask):
            return False
        if online:
            return True
        beside = self._settings.batch_beside_prefill
        if engine.prefill_tokens > engine.batch_prefill_tokens and not beside:
            return False
        if not ask.revocable and engine.fixed >= self.max_fixed(engine):
            return False
        pending = engine.batch_prefill_tokens
        limit = self._batch_limits.prefill_tokens
        return pending == 0 or pending + ask.prompt_tokens <= limit

    def _uncached(self, engine: Engine, ask: Ask) -> int:
        if engine.backend.kind is BackendKind.PLAIN:
            return 0
        if not ask.prefix:
            return ask.prompt_tokens
        blocks = engine.prefixes.count_cached(ask.prefix)
        cached = blocks * self._settings.routing.block_tokens
        return max(0, ask.prompt_tokens - cached)

    def _misses_target(
        self, ask: Ask, engine: Engine, steps: float, now: float
    ) -> bool:
        """Return whether a first event is likely to be late on an engine.

        In a pulse the slowest engine has the last free slots. Prompts that
        queue for its prefill are served sooner elsewhere, as soon as a slot
        is free there. An engine in no prefill is never left out, so that
        nothing waits for long.
        """
        if not engine.prefill_tokens or ask.start_within_s <= 0:
            return False
        first_s = self._paces.first_event_s(engine.backend.name, steps, now)
        return first_s > ask.start_within_s

    def _rank_batch(
        self, ask: Ask, engine: Engine, steps: float
    ) -> tuple[int, float]:
        """Rank engines for batch work, the slowest for online work first.

        Prefills that wait for each other would delay the online work that is
        granted there later, so that engines in a prefill come after, with
        the reduced ones. Engines on which the item would end too late come
        last, the fastest of them first.

        :returns: tier and score, both to be minimized
        """
        name = engine.backend.name
        ends_s = self._paces.completion_s(name, steps, ask.output_tokens)
        pace = self._paces.lasting.pace(name)
        if ends_s * END_MARGIN > ask.budget_s:
            return LATE_TIER, ends_s
        if engine.share < 1.0 or engine.prefill_tokens:
            return 1, steps * pace / max(MIN_SHARE, engine.share)
        return 0, -decode_steps(engine, self._settings.routing) * pace

    def _score(
        self, ask: Ask, engine: Engine, steps: float, zone: str, now: float
    ) -> float:
        name = engine.backend.name
        if ask.work_class is WorkClass.ONLINE:
            pace = self._paces.online(name, now)
        else:
            pace = self._paces.lasting.pace(name)
        score = steps * pace / max(MIN_SHARE, engine.share)
        if zone and zone != engine.backend.zone:
            score += self._settings.routing.zone_steps
        return score


def decode_steps(engine: Engine, settings: RoutingSettings) -> float:
    """Estimate the time per token, in steps of an empty engine."""
    occupancy = engine.running / max(1, engine.backend.slots)
    return 1.0 + settings.occupancy_steps * occupancy


def expected_steps(
    engine: Engine, uncached_tokens: int, settings: RoutingSettings
) -> float:
    """Estimate the time to first token, in steps of an empty engine."""
    decode = decode_steps(engine, settings)
    tokens = engine.prefill_tokens + uncached_tokens
    chunks = tokens / max(1, engine.backend.prefill_tokens)
    return decode + chunks * (decode + settings.full_prefill_steps)


__all__ = ["Choice", "Router", "decode_steps", "expected_steps"]
