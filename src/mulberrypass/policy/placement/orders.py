"""Who may send orders to a pool's engines, and when."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from mulberrypass.model.objects import Fencing
from mulberrypass.policy.rendezvous import pick

if TYPE_CHECKING:
    from collections.abc import Iterable

LEASE_S = 15.0
RENEW_S = 5.0
SEND_MARGIN_S = 3.0
ORDER_SPACING_S = LEASE_S + 1.0


@dataclass(frozen=True, slots=True)
class ObservedLease:
    """A lease row, and since when it has stood unchanged.

    Only this process's own clock is used, so that clocks need not agree.

    :param version: version of the row; 0 where there is none
    :param epoch: the fencing number; it rises with each change of holder
    :param seen_at: when this version of the row was first read
    """

    holder: str
    epoch: int
    version: int
    seen_at: float


@dataclass(frozen=True, slots=True)
class HeldLease:
    """The lease as its holder knows it.

    :param since: when the write that took it was begun
    :param renewed_at: when the last write that took effect was begun
    """

    epoch: int
    version: int
    since: float
    renewed_at: float


@dataclass(frozen=True, slots=True)
class TakeLease:
    """Write the row with the next epoch, if it is unchanged."""

    epoch: int
    version: int


@dataclass(frozen=True, slots=True)
class RenewLease:
    """Write the row with the same epoch, if it is unchanged."""

    epoch: int
    version: int


@dataclass(frozen=True, slots=True)
class NoLeaseAction:
    """Do nothing."""


LeaseAction = TakeLease | RenewLease | NoLeaseAction


def preferred_member(pool: str, members: Iterable[str]) -> str:
    """Give the member that should place a pool; empty where there is none.

    This only saves work: two members that disagree meet at the lease.
    """

    return pick(pool, members) or ""


def lease_action(
    me: str, seen: ObservedLease, held: HeldLease | None, now: float
) -> LeaseAction:
    """Say what to do about a lease that this process wants.

    A lease lapses when its row has stood unchanged for longer than the
    lease; the row of this process's own earlier life lapses likewise,
    since an order of that life may still be on its way.
    """
    if held is not None and held.version == seen.version:
        if now - held.renewed_at >= RENEW_S:
            return RenewLease(held.epoch, held.version)
        return NoLeaseAction()
    if seen.version and now - seen.seen_at <= LEASE_S:
        return NoLeaseAction()
    return TakeLease(seen.epoch + 1, seen.version)


def is_valid(held: HeldLease | None, now: float) -> bool:
    """Say whether the holder may still act on its lease."""
    return held is not None and now - held.renewed_at < LEASE_S - SEND_MARGIN_S


def may_order(
    held: HeldLease | None,
    fencing: Fencing,
    last_order_at: float | None,
    now: float,
) -> bool:
    """Say whether an order may be sent to an engine now.

    An engine that ignores fencing numbers gets an order only when the
    last holder's orders must have ended, and orders so far apart that each
    has been read back in between.

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
