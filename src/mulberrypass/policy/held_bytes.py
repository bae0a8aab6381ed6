"""Decides which answer yields when too many bytes of answers are held."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING

from mulberrypass.model.value_class import value_class

if TYPE_CHECKING:
    from collections.abc import Iterator

# The smallest instance of the users' sites.
DEFAULT_MEMORY_BYTES = 200_000_000
# Of the memory of an instance, for the bytes of answers that are held until
# they are whole. An idle process takes a third of the smallest instance, and
# callers and the kernel hold bytes of the same answers.
ANSWERS_SHARE = 1 / 4
# Of the bytes of all answers. One source can't take what others need, and
# the longest answer fits in several times.
SOURCE_SHARE = 1 / 2
# Bytes of each answer that aren't counted, so that a small one always fits:
# one read of an engine's answer.
FREE_BYTES = 65_536


@value_class
class ByteLimits:
    """Bounds on the bytes of answers that a process holds.

    :param total: of all answers together
    :param source: of all answers of one source together
    :param free: of each answer, which count toward neither
    """

    total: int
    source: int
    free: int = FREE_BYTES

    @classmethod
    def of_memory(cls, memory_bytes: int | None = None) -> ByteLimits:
        """Return the bounds for a process with so much memory.

        :param memory_bytes: ``None`` if it isn't known
        """
        if memory_bytes is None:
            memory_bytes = DEFAULT_MEMORY_BYTES
        total = int(memory_bytes * ANSWERS_SHARE)
        return cls(total, int(total * SOURCE_SHARE))


@dataclass(slots=True, eq=False)
class Holding:
    """Bytes that are held of one answer.

    :param source: the engine, or a name for work of another kind
    :param size: number of bytes
    :param may_yield: whether the answer is still incomplete
    :param at_fault: whether it had to yield as most of what its source holds
        is incomplete
    """

    source: str
    size: int = 0
    may_yield: bool = True
    at_fault: bool = False


class HeldBytes:
    """Counts the bytes held of all answers.

    Adding takes constant time, and an answer that yields time linear in the
    number of answers.
    """

    def __init__(self, limits: ByteLimits) -> None:
        self._limits = limits
        self._holdings: set[Holding] = set()
        self._counted: Counter[str] = Counter()
        self._counted_total = 0
        self.total = 0

    def open(self, source: str) -> Holding:
        """Begin to count the bytes of an answer."""
        holding = Holding(source)
        self._holdings.add(holding)
        return holding

    def has_room(self, source: str) -> bool:
        """Return whether whole answers leave a source half of its bytes.

        They don't yield, so that incomplete ones would yield to them again
        and again. Small ones count, as any number of them may wait.
        """
        whole = sum(
            h.size
            for h in self._holdings
            if h.source == source and not h.may_yield
        )
        return 2 * whole <= self._limits.source

    def add(self, holding: Holding, count: int) -> tuple[Holding, ...]:
        """Count more bytes of an answer, or fewer if ``count`` is negative.

        :returns: the answers that must yield; they no longer count
        """
        if holding not in self._holdings:
            return ()
        before = self._over_free(holding)
        holding.size += count
        self.total += count
        self._count(holding.source, self._over_free(holding) - before)
        return tuple(self._yielding(holding.source))

    def close(self, holding: Holding) -> None:
        """Stop counting an answer."""
        if holding in self._holdings:
            self._holdings.remove(holding)
            self.total -= holding.size
            self._count(holding.source, -self._over_free(holding))

    def _over_free(self, holding: Holding) -> int:
        return max(0, holding.size - self._limits.free)

    def _count(self, source: str, count: int) -> None:
        self._counted_total += count
        self._counted[source] += count
        if not self._counted[source]:
            del self._counted[source]

    def _yielding(self, source: str) -> Iterator[Holding]:
        """Close and yield answers until the bounds hold."""
        while largest := self._excess(source):
            largest.at_fault = self._mostly_incomplete(largest.source)
            self.close(largest)
            yield largest

    def _mostly_incomplete(self, source: str) -> bool:
        """Return whether few bytes of a source only wait for callers."""
        incomplete = sum(
            self._over_free(h)
            for h in self._holdings
            if h.may_yield and h.source == source
        )
        return 2 * incomplete > self._counted[source]

    def _excess(self, source: str) -> Holding | None:
        """Return the answer to yield: the longest of the largest source."""
        incomplete = (h for h in self._holdings if h.may_yield)
        if self._counted[source] > self._limits.source:
            incomplete = (h for h in incomplete if h.source == source)
        elif self._counted_total <= self._limits.total:
            return None
        return max(
            (h for h in incomplete if self._over_free(h)),
            key=lambda h: (self._counted[h.source], h.size),
            default=None,
        )


__all__ = ["ByteLimits", "HeldBytes", "Holding"]
