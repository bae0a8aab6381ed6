"""What the second run of a batch item needs."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from mulberrypass.model.value_class import value_class
from mulberrypass.policy.batches.order import is_near_due

if TYPE_CHECKING:
    from collections.abc import Callable

    from mulberrypass.relay.api import RelayRequest
    from mulberrypass.relay.permits import (
        HeldPermit,
        PermitAcquirer,
        WorkSpec,
    )


@value_class
class ItemRepeats:
    """Asks for the second runs of one item; safe on any thread.

    :param make_work: returns what the rest of the item needs of an engine
    :param make_request: returns its request, resumed after an event
    :param due_in_s: returns the seconds until the item is due
    :param remaining_s: returns the estimated seconds that it has to run
    :param avoided: engines that may not get it
    """

    acquirer: PermitAcquirer
    make_work: Callable[[], WorkSpec]
    make_request: Callable[[int | None], RelayRequest]
    due_in_s: Callable[[], float]
    remaining_s: Callable[[], float]
    avoided: tuple[str, ...]

    def is_near_due(self) -> bool:
        """Return whether a stall decides if the item is late."""
        return is_near_due(self.due_in_s(), self.remaining_s())

    def acquire(
        self,
        engine: str,
        abandoned: Callable[[], bool],
        on_revoke: Callable[[], None],
    ) -> HeldPermit:
        """Wait for a permit of another engine than that of the first run.

        :raises NoPermitError: if none is granted
        :raises NoRouteError: if no route matches any more
        :raises QuarantinedError: if the item would crash the engine
        """
        work = replace(self.make_work(), repeat=True)
        avoided = (*self.avoided, engine)
        return self.acquirer.acquire(work, avoided, abandoned, on_revoke)


__all__ = ["ItemRepeats"]
