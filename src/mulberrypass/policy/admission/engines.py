"""Engines of a cell and their permits, as the owner tracks them."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from mulberrypass.policy.admission.engine_limits import EngineLimit
from mulberrypass.policy.messages import WorkClass

if TYPE_CHECKING:
    from collections.abc import Iterable

    from mulberrypass.model.objects import Backend
    from mulberrypass.policy.messages import Ask, LimitReport


FULL_SHARE = 1.0


class PrefixTable:
    """LRU set of the prefix blocks that an engine has probably cached."""

    def __init__(self, max_blocks: int) -> None:
        self._max_blocks = max_blocks
        self._blocks: OrderedDict[int, None] = OrderedDict()

    def __len__(self) -> int:
        """Return the number of blocks."""
        return len(self._blocks)

    def count_cached(self, prefix: Iterable[int]) -> int:
        """Return how many leading blocks of a prompt are cached."""
        count = 0
        for block in prefix:
            if block not in self._blocks:
                break
            count += 1
        return count

    def remember(self, prefix: tuple[int, ...]) -> None:
        """Mark a prompt's blocks as cached, most recently used."""
        for block in reversed(prefix):
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        while len(self._blocks) > self._max_blocks:
            self._blocks.popitem(last=False)

    def apply_hint(self, stored: bool, block: int) -> None:
        """Apply an engine's report of a change to its cache."""
        if stored:
            self.remember((block,))
        else:
            self.forget(block)

    def forget(self, block: int) -> None:
        """Remove a block that the engine evicted."""
        self._blocks.pop(block, None)


@dataclass(slots=True, eq=False)
class Permit:
    """One granted permit.

    :param uncached_tokens: prompt tokens that the engine must prefill
    :param expected_steps: expected time to first token, in steps of an
        empty engine
    :param reclaim_at: when it is reclaimed if it is not released before
    :param orphaned: whether its holder was lost, so that no messages about
        it arrive
    """

    ask: Ask
    backend: str
    granted_at: float
    deadline: float
    work: float
    uncached_tokens: int
    expected_steps: float
    reclaim_at: float
    prefilling: bool = True
    revoked: bool = False
    orphaned: bool = False
    first_token_s: float = 0.0

    @property
    def is_batch(self) -> bool:
        """Whether the work is batch work."""
        return self.ask.work_class is WorkClass.BATCH

    @property
    def kv_tokens(self) -> int:
        """KV cache tokens that the work may use."""
        return self.ask.prompt_tokens + self.ask.output_tokens


@dataclass(slots=True)
class Engine:
    """One backend server of the cell, and what runs on it.

    :param fixed: running batch work that can't be revoked
    :param prefill_tokens: uncached prompt tokens of work in prefill
    :param cap: slots that may be filled now, given its health
    :param share: share of its slots that its health allows
    :param probe: whether it should get one piece of work as a probe
    :param batch_ready_at: when pacing allows the next batch prefill
    :param last_chosen: sequence number of the last choice of this engine;
        breaks ties in favour of the least recently chosen
    :param loaded: versions that it has loaded; ``None`` if unknown
    :param limit: the limit that it names; ``None`` for none
    """

    backend: Backend
    prefixes: PrefixTable
    leaving: bool = False
    cap: int = 0
    share: float = 1.0
    probe: bool = False
    running: int = 0
    batch: int = 0
    fixed: int = 0
    revoked: int = 0
    kv_tokens: int = 0
    prefill_tokens: int = 0
    batch_prefill_tokens: int = 0
    batch_ready_at: float = 0.0
    last_chosen: int = 0
    loaded: frozenset[str] | None = field(default=None)
    limit: EngineLimit | None = None

    @property
    def revocable(self) -> int:
        """Number of running batch permits that can be revoked."""
        return self.batch - self.fixed

    def serves(self, ask: Ask) -> bool:
        """Return whether this backend server can ever serve an ask."""
        if self.leaving or self.backend.name in ask.avoid:
            return False
        if ask.repeat and self.share < FULL_SHARE:
            # Nor is it a probe of a slow engine.
            return False
        if not ask.version or self.loaded is None:
            return True
        return ask.version in self.loaded

    def admits(self, is_batch: bool, now: float) -> bool:
        """Return whether the limit that it names leaves room now."""
        return self.limit is None or self.limit.admits(is_batch, now)

    def apply_limit(
        self, report: LimitReport, permit: Permit | None, now: float
    ) -> None:
        """Apply the limit that it names; the last to be granted counts.

        :param permit: the permit whose answer has named it, if it is known
        """
        per_s = report.requests_per_s
        if per_s > 0:
            if self.limit is None:
                self.limit = EngineLimit(per_s, now)
            else:
                self.limit.change(per_s, now)
        elif self.limit is not None and permit is not None:
            if permit.granted_at >= self.limit.since:
                self.limit = None

    def fits(self, ask: Ask) -> bool:
        """Return whether the KV cache has room; an idle engine always has."""
        if self.backend.kv_tokens <= 0 or self.running == 0:
            return True
        tokens = ask.prompt_tokens + ask.output_tokens
        return self.kv_tokens + tokens <= self.backend.kv_tokens

    def add(self, permit: Permit) -> None:
        """Add the load of a permit."""
        self._count(permit, 1)
        self.prefixes.remember(permit.ask.prefix)
        if permit.prefilling:
            self._count_prefill(permit, 1)

    def finish_prefill(self, permit: Permit) -> None:
        """Remove a permit's prefill, which is done."""
        if permit.prefilling:
            permit.prefilling = False
            self._count_prefill(permit, -1)

    def revoke(self, permit: Permit) -> None:
        """Mark a permit as revoked; it runs until it is released."""
        permit.revoked = True
        self.revoked += 1

    def remove(self, permit: Permit) -> None:
        """Remove the load of a permit."""
        self.finish_prefill(permit)
        self._count(permit, -1)
        self.revoked -= permit.revoked

    def _count(self, permit: Permit, sign: int) -> None:
        self.running += sign
        self.kv_tokens += sign * permit.kv_tokens
        if permit.is_batch:
            self.batch += sign
            self.fixed += sign * (not permit.ask.revocable)

    def _count_prefill(self, permit: Permit, sign: int) -> None:
        self.prefill_tokens += sign * permit.uncached_tokens
        if permit.is_batch:
            self.batch_prefill_tokens += sign * permit.uncached_tokens


__all__ = ["Engine", "Permit", "PrefixTable"]
