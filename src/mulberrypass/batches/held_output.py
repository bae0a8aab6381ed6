"""Counts the output of an item until its outcome is stored."""

from __future__ import annotations

import contextlib
from dataclasses import dataclass
from typing import TYPE_CHECKING

from mulberrypass.engine.wire import WireError

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from mulberrypass.model.batch_jobs import ItemOutcome
    from mulberrypass.relay.whole_body import HeldBodies

# All items share one part of the bytes that a process may hold.
ITEMS = "items"


class _Run:
    """One run of an item from its start, which may be told to yield.

    It may be told late, when the item has begun anew.

    :ivar abort: ends its attempt, if one is going on
    """

    def __init__(self) -> None:
        self.abort: Callable[[], None] | None = None

    def end(self) -> None:
        """Tell it to yield; safe on any thread."""
        abort = self.abort
        if abort is not None:
            abort()


class HeldOutput:
    """The bytes that the output of an item takes, over all attempts.

    An output that isn't complete may have to yield at any time, also between
    two attempts; the item must begin anew then. Used by one thread at a time.
    """

    def __init__(self, bodies: HeldBodies) -> None:
        self._bodies = bodies
        self._run = _Run()
        self._body = bodies.open(ITEMS, self._run.end)

    @property
    def yielded(self) -> bool:
        """Whether the output had to yield, so that its bytes must go."""
        return self._body.turned_away

    @property
    def has_room(self) -> bool:
        """Whether outcomes that wait to be stored leave room for outputs."""
        return self._bodies.has_room(ITEMS)

    def renew(self) -> None:
        """Count the output of an item that begins anew."""
        self._run = _Run()
        self._body = self._bodies.open(ITEMS, self._run.end)

    @contextlib.contextmanager
    def attempt(self, abort: Callable[[], None]) -> Iterator[None]:
        """Abort an attempt whose output has to yield.

        :param abort: ends the attempt's answer; safe on any thread
        :raises WireError: if the attempt was aborted
        """
        self._run.abort = abort
        try:
            yield
        except WireError as exc:
            if self.yielded:
                raise WireError(self._body.failure) from exc
            raise
        finally:
            self._run.abort = None

    def resize(self, size: int) -> None:
        """Count another number of bytes.

        :raises WireError: if the output has to yield
        """
        self._body.resize(size)

    def complete(self) -> None:
        """Keep the output: a whole one doesn't yield.

        :raises WireError: if it had to yield before
        """
        self._body.complete()

    def close(self) -> None:
        """Stop counting, as the output is stored or not needed."""
        self._bodies.close(self._body)


@dataclass(frozen=True, slots=True)
class WaitingOutcome:
    """An outcome that isn't stored yet, and its bytes."""

    outcome: ItemOutcome
    output: HeldOutput


__all__ = ["HeldOutput", "WaitingOutcome"]
