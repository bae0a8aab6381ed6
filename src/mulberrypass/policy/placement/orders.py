"""Leases that decide who may send orders to a pool's engines."""

from __future__ import annotations

from typing import TYPE_CHECKING

from mulberrypass.model.objects import Fencing
from mulberrypass.model.value_class import value_class
from mulberrypass.policy.rendezvous import pick

if TYPE_CHECKING:
    from collections.abc import Iterable

LEASE_S = 15.0
RENEW_S = 5.0
SEND_MARGIN_S = 3.0
ORDER_SPACING_S = LEASE_S + 1.0


@value_class
class ObservedLease:
    """A lease row, and since when it has been unchanged.

    Only the local clock is used, so clocks need not be synchronized.

    :param version: version of the row; 0 if there is none
    :param epoch: fencing number, which increases with each change of holder
    :param seen_at: when this version of the row was first read
    """

    holder: str
    epoch: int
    version: int
    seen_at: float


@value_class
class HeldLease:
    """A lease, as known to its holder.

    :param since: start of the write that acquired it
    :param renewed_at: start of the last successful write
    """

    epoch: int
    version: int
    since: float
    renewed_at: float


@value_class
class TakeLease:
    """Write the row with the next epoch, if it is unchanged."""

    epoch: int
    version: int


@value_class
class RenewLease:
    """Write the row with the same epoch, if it is unchanged."""

    epoch: int
    version: int


@value_class
class NoLeaseAction:
    """Do nothing."""


LeaseAction = TakeLease | RenewLease | NoLeaseAction


def preferred_member(pool: str, members: Iterable[str]) -> str:
    """Return the member that should place a pool; empty if there is none.

    This only avoids contention: correctness depends on the lease alone.
    """

    return pick(pool, members) or ""


def lease_action(
    me: str, seen: ObservedLease, held: HeldLease | None, now: float
) -> LeaseAction:
    """Return the action that this process takes to get or keep a lease.

    A lease expires when its row has been unchanged for longer than the lease
    time. That also holds for a row that an earlier run of this process
    wrote, since an order of that run may still be in flight.
    """
    if held is not None and held.version == seen.version:
        if now - held.renewed_at >= RENEW_S:
            return RenewLease(held.epoch, held.version)
        return NoLeaseAction()
    if seen.version and now - seen.seen_at <= LEASE_S:
        return NoLeaseAction()
    return TakeLease(seen.epoch + 1, seen.version)


def is_valid(held: HeldLease | None, now: float) -> bool:
    """Return whether the holder may still use its lease."""
    return held is not None and now - held.renewed_at < LEASE_S - SEND_MARGIN_S


def may_order(
    held: HeldLease | None,
    fencing: Fencing,
    last_order_at: float | None,
    now: float,
) -> bool:
    """Return whether an order may be sent to an engine now.

    An engine that ignores fencing numbers gets an order only once the
    previous holder's orders must have ended, and its orders are spaced so
    that the effect of each can be read before the next.

    :param last_order_at: when this process last sent the engine an order
    """
    if held is None or not is_valid(held, now):
        return False
    if fencing is Fencing.REFUSED:
        return True
    first_at = held.since + ORDER_SPACING_S
    if last_order_at is not None:
        first_at = max(first_at, last_order_at + ORDER_SPACING_S)
    return now >= first_at


__all__ = [
    "HeldLease",
    "LEASE_S",
    "LeaseAction",
    "ObservedLease",
    "NoLeaseAction",
    "RenewLease",
    "ORDER_SPACING_S",
    "TakeLease",
    "is_valid",
    "lease_action",
    "may_order",
    "preferred_member",
]
