"""The owner's own knowledge of the engines of a cell."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from mulberrypass.policy.messages import WorkClass

if TYPE_CHECKING:
    from collections.abc import Iterable

    from mulberrypass.model.objects import Backend
    from mulberrypass.policy.messages import Ask


class PrefixTable:
    """Prefix blocks that an engine probably has in its cache, bounded."""

    def __init__(self, max_blocks: int) -> None:
        self._max_blocks = max_blocks
        self._blocks: OrderedDict[int, None] = OrderedDict()

    def __len__(self) -> int:
        """Count the blocks."""
        return len(self._blocks)

    def count_cached(self, prefix: Iterable[int]) -> int:
        """Count the leading blocks of a prompt that are cached."""
        count = 0
        for block in prefix:
            if block not in self._blocks:
                break
            count += 1
        return count

    def remember(self, prefix: tuple[int, ...]) -> None:
        """Note that a prompt's blocks are cached now."""
        for block in reversed(prefix):
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        while len(self._blocks) > self._max_blocks:
            self._blocks.popitem(last=False)

    def forget(self, block: int) -> None:
        """Note that a block was dropped from the cache."""
        self._blocks.pop(block, None)


@dataclass(slots=True, eq=False)
class Permit:
    """One granted permit.

    :param uncached_tokens: prompt tokens that the engine must take in
    :param expected_steps: expected time of the first token, in empty steps
    :param reclaim_at: when it is taken back without a release
    :param orphaned: whether its holder was lost, and tells nothing of it
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
        """Tokens of KV memory that the work may fill."""
        return self.ask.prompt_tokens + self.ask.output_tokens


@dataclass(slots=True)
class Engine:
    """One backend server of the cell, and what runs on it.

    :param fixed: running batch work that can't be revoked
    :param prefill_tokens: prompt tokens whose first token is awaited
    :param cap: slots that its health allows to be filled now
    :param share: share of its slots that its health allows
    :param probe: whether it is to get one piece of work as a trial
    :param batch_ready_at: when the pace allows the next batch prefill
    :param loaded: versions that it has; ``None`` where that is unknown
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

    @property
    def revocable(self) -> int:
        """The batch work running that can be revoked."""
        return self.batch - self.fixed

    def serves(self, ask: Ask) -> bool:
        """Whether the ask may ever go to this backend server."""
        if self.leaving or self.backend.name in ask.avoid:
            return False
        if not ask.version or self.loaded is None:
            return True
        return ask.version in self.loaded

    def fits(self, ask: Ask) -> bool:
        """Whether the KV memory has room; an empty engine always has."""
        if self.backend.kv_tokens <= 0 or self.running == 0:
            return True
        tokens = ask.prompt_tokens + ask.output_tokens
        return self.kv_tokens + tokens <= self.backend.kv_tokens

    def add(self, permit: Permit) -> None:
        """Count a permit in."""
        self._count(permit, 1)
        self.prefixes.remember(permit.ask.prefix)
        if permit.prefilling:
            self._count_prefill(permit, 1)

    def first_token(self, permit: Permit) -> None:
        """Count a permit's prefill as done."""
        if permit.prefilling:
            permit.prefilling = False
            self._count_prefill(permit, -1)

    def revoke(self, permit: Permit) -> None:
        """Count a permit as on its way back."""
        permit.revoked = True
        self.revoked += 1

    def remove(self, permit: Permit) -> None:
        """Count a permit out."""
        self.first_token(permit)
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
