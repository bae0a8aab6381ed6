"""Clockless model of an engine with continuous batching."""

from __future__ import annotations

from collections import OrderedDict, deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

from mulberrypass.model.value_class import value_class
from mulberrypass.policy.prefix import BLOCK_WORDS

if TYPE_CHECKING:
    from collections.abc import Callable


@value_class
class EngineShape:
    """Size and speed of a modelled engine.

    :param step_s: duration of an empty step
    :param sequence_s: duration added by each running sequence
    :param prefill_token_s: duration added by each prefill token
    :param step_prefill_tokens: maximum of prefill tokens in a step
    :param slots: maximum of running sequences
    :param kv_tokens: capacity of the KV memory
    :param cache_tokens: capacity of the prefix cache
    """

    step_s: float = 0.015
    sequence_s: float = 0.000_15
    prefill_token_s: float = 0.000_05
    step_prefill_tokens: int = 512
    slots: int = 64
    kv_tokens: int = 131_072
    cache_tokens: int = 32_768


@dataclass(slots=True)
class Sequence:
    """One generation in the engine.

    :param blocks: prefix hashes of the prompt's blocks
    :param pending_prefill: prompt tokens not yet prefilled
    """

    request_id: str
    prompt_tokens: int
    output_tokens: int
    blocks: tuple[int, ...] = ()
    pending_prefill: int = 0
    generated: int = 0

    @property
    def kv_tokens(self) -> int:
        """Tokens of KV memory reserved for the whole generation."""
        return self.prompt_tokens + self.output_tokens

    @property
    def finished(self) -> bool:
        """Whether every token has been generated."""
        return self.generated >= self.output_tokens


class PrefixCache:
    """LRU cache of prefix blocks.

    :param capacity: maximum number of blocks
    :param on_change: called with each block and whether it was stored
    """

    def __init__(
        self, capacity: int, on_change: Callable[[int, bool], None]
    ) -> None:
        self._capacity = capacity
        self._on_change = on_change
        self._blocks: OrderedDict[int, None] = OrderedDict()

    def hit_tokens(self, blocks: tuple[int, ...]) -> int:
        """Return the tokens in the cached leading blocks."""
        hits = 0
        for block in blocks:
            if block not in self._blocks:
                break
            self._blocks.move_to_end(block)
            hits += 1
        return hits * BLOCK_WORDS

    def store(self, blocks: tuple[int, ...]) -> None:
        """Store blocks and evict the least recently used."""
        for block in blocks:
            if block not in self._blocks:
                self._on_change(block, True)
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        while len(self._blocks) > self._capacity:
            evicted, _ = self._blocks.popitem(last=False)
            self._on_change(evicted, False)

    def clear(self) -> None:
        """Drop all blocks without notification, as in a crash."""
        self._blocks.clear()


def _ignore_change(_block: int, _stored: bool) -> None:
    return


class StepModel:
    """Sequences of one engine, admitted in order of arrival."""

    def __init__(
        self,
        shape: EngineShape,
        on_cache_change: Callable[[int, bool], None] = _ignore_change,
    ) -> None:
        self.shape = shape
        self.cache = PrefixCache(
            shape.cache_tokens // BLOCK_WORDS, on_cache_change
        )
        self._waiting: deque[Sequence] = deque()
        self._running: dict[str, Sequence] = {}
        self._prefilling: deque[Sequence] = deque()
        self._kv_used = 0

    @property
    def running(self) -> int:
        """Number of running sequences."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """Number of sequences waiting for a slot or memory."""
        return len(self._waiting)

    @property
    def kv_used(self) -> int:
        """Reserved tokens of KV memory."""
        return self._kv_used

    @property
    def idle(self) -> bool:
        """Whether no sequence is running or waiting."""
        return not self._waiting and not self._running

    def add(self, sequence: Sequence) -> None:
        """Append a sequence to the waiting queue."""
        self._waiting.append(sequence)

    def remove(self, request_id: str) -> None:
        """Remove a running or waiting sequence."""
        removed = self._running.pop(request_id, None)
        if removed is not None:
            self._kv_used -= removed.kv_tokens
            if removed in self._prefilling:
                self._prefilling.remove(removed)
            return
        self._waiting = deque(
            s for s in self._waiting if s.request_id != request_id
        )

    def clear(self) -> None:
        """Remove all sequences and clear the cache."""
        self._waiting.clear()
        self._running.clear()
        self._prefilling.clear()
        self._kv_used = 0
        self.cache.clear()

    def begin(self) -> float:
        """Admit and prefill sequences; return the step's seconds."""
        self._admit()
        prefilled = self._prefill()
        return (
            self.shape.step_s
            + self.shape.sequence_s * len(self._running)
            + self.shape.prefill_token_s * prefilled
        )

    def end(self) -> list[Sequence]:
        """Generate a token for each prefilled sequence and return these."""
        advanced = [
            s for s in self._running.values() if s.pending_prefill == 0
        ]
        for sequence in advanced:
            if sequence.generated == 0:
                self.cache.store(sequence.blocks)
            sequence.generated += 1
            if sequence.finished:
                del self._running[sequence.request_id]
                self._kv_used -= sequence.kv_tokens
        return advanced

    def _admit(self) -> None:
        while self._waiting and len(self._running) < self.shape.slots:
            sequence = self._waiting[0]
            needed = self._kv_used + sequence.kv_tokens
            if self._running and needed > self.shape.kv_tokens:
                return
            self._waiting.popleft()
            self._kv_used = needed
            hit = self.cache.hit_tokens(sequence.blocks)
            sequence.pending_prefill = max(1, sequence.prompt_tokens - hit)
            self._running[sequence.request_id] = sequence
            self._prefilling.append(sequence)

    def _prefill(self) -> int:
        remaining = self.shape.step_prefill_tokens
        while self._prefilling and remaining:
            sequence = self._prefilling[0]
            prefilled = min(remaining, sequence.pending_prefill)
            sequence.pending_prefill -= prefilled
            remaining -= prefilled
            if sequence.pending_prefill == 0:
                self._prefilling.popleft()
        return self.shape.step_prefill_tokens - remaining


__all__ = ["EngineShape", "PrefixCache", "Sequence", "StepModel"]
