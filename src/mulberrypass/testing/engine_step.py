"""Continuous batching of a model engine, step by step, without a clock."""

from __future__ import annotations

from collections import OrderedDict, deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

from mulberrypass.policy.prefix import BLOCK_WORDS

if TYPE_CHECKING:
    from collections.abc import Callable


@dataclass(frozen=True, slots=True)
class EngineShape:
    """Size and speed of a modelled engine.

    :param step_s: cost of a step that does nothing
    :param sequence_s: cost that each running sequence adds to a step
    :param prefill_token_s: cost that each prefill token adds to a step
    :param step_prefill_tokens: most prefill tokens in one step
    :param slots: sequences that run at once
    :param kv_tokens: tokens that the KV memory holds
    :param cache_tokens: tokens that the prefix cache holds
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

    :param pending_prefill: prompt tokens still to be taken in
    """

    request_id: str
    prompt_tokens: int
    output_tokens: int
    blocks: tuple[int, ...] = ()
    pending_prefill: int = 0
    generated: int = 0

    @property
    def kv_tokens(self) -> int:
        """Tokens of KV memory that the whole generation takes."""
        return self.prompt_tokens + self.output_tokens

    @property
    def finished(self) -> bool:
        """Whether every token has been generated."""
        return self.generated >= self.output_tokens


class PrefixCache:
    """The blocks in an engine's cache; the least recently used go first.

    :param changed: told of each block that is stored or evicted
    """

    def __init__(
        self, capacity: int, changed: Callable[[int, bool], None]
    ) -> None:
        self._capacity = capacity
        self._changed = changed
        self._blocks: OrderedDict[int, None] = OrderedDict()

    def hit_tokens(self, blocks: tuple[int, ...]) -> int:
        """Count the tokens of the leading blocks that are cached."""
        hits = 0
        for block in blocks:
            if block not in self._blocks:
                break
            self._blocks.move_to_end(block)
            hits += 1
        return hits * BLOCK_WORDS

    def store(self, blocks: tuple[int, ...]) -> None:
        """Cache blocks, and evict what no longer fits."""
        for block in blocks:
            if block not in self._blocks:
                self._changed(block, True)
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        while len(self._blocks) > self._capacity:
            evicted, _ = self._blocks.popitem(last=False)
            self._changed(evicted, False)

    def clear(self) -> None:
        """Drop all blocks and say nothing, as in a crash."""
        self._blocks.clear()


def _unheard(_block: int, _stored: bool) -> None:
    return


class StepModel:
    """Sequences of one engine, admitted in the order in which they came."""

    def __init__(
        self,
        shape: EngineShape,
        cache_changed: Callable[[int, bool], None] = _unheard,
    ) -> None:
        self.shape = shape
        self.cache = PrefixCache(
            shape.cache_tokens // BLOCK_WORDS, cache_changed
        )
        self._waiting: deque[Sequence] = deque()
        self._running: dict[str, Sequence] = {}
        self._prefilling: deque[Sequence] = deque()
        self._kv_used = 0

    @property
    def running(self) -> int:
        """Sequences in the running batch."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """Sequences that wait for a slot or for memory."""
        return len(self._waiting)

    @property
    def kv_used(self) -> int:
        """Tokens of KV memory that are taken."""
        return self._kv_used

    @property
    def idle(self) -> bool:
        """Whether a step would do nothing."""
        return not self._waiting and not self._running

    def add(self, sequence: Sequence) -> None:
        """Put a sequence at the end of the waiting queue."""
        self._waiting.append(sequence)

    def remove(self, request_id: str) -> None:
        """Drop a sequence, wherever it is."""
        gone = self._running.pop(request_id, None)
        if gone is not None:
            self._kv_used -= gone.kv_tokens
            if gone in self._prefilling:
                self._prefilling.remove(gone)
            return
        self._waiting = deque(
            s for s in self._waiting if s.request_id != request_id
        )

    def clear(self) -> None:
        """Drop all sequences and the cache."""
        self._waiting.clear()
        self._running.clear()
        self._prefilling.clear()
        self._kv_used = 0
        self.cache.clear()

    def begin(self) -> float:
        """Admit what fits, take in prefill, and give the step's seconds."""
        self._admit()
        taken = self._prefill()
        return (
            self.shape.step_s
            + self.shape.sequence_s * len(self._running)
            + self.shape.prefill_token_s * taken
        )

    def end(self) -> list[Sequence]:
        """Give each sequence that generated a token in the step."""
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
        left = self.shape.step_prefill_tokens
        while self._prefilling and left:
            sequence = self._prefilling[0]
            taken = min(left, sequence.pending_prefill)
            sequence.pending_prefill -= taken
            left -= taken
            if sequence.pending_prefill == 0:
                self._prefilling.popleft()
        return self.shape.step_prefill_tokens - left


__all__ = ["EngineShape", "PrefixCache", "Sequence", "StepModel"]
