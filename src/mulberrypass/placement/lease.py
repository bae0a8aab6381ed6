"""A pool's lease; its epoch is the fencing number of orders."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from expression import Result
from pydantic import BaseModel, ConfigDict

from mulberrypass.model import store as api
from mulberrypass.model.value_class import value_class
from mulberrypass.policy.placement import orders

if TYPE_CHECKING:
    from collections.abc import Callable

TABLE = "placement"


class LeaseRow(BaseModel):
    """The holder that may send orders to a pool's engines.

    ``write`` identifies the write that stored the row, so that its writer
    recognizes it after a lost reply.
    """

    model_config = ConfigDict(frozen=True)

    holder: str
    epoch: int
    write: str


@value_class
class _PendingWrite:
    write: str
    held: orders.HeldLease


class PoolLease:
    """Acquires and renews one lease; used by one thread.

    :param holder_id: unique among all incarnations of all processes
    :param clock: returns monotonic time in seconds
    """

    def __init__(
        self,
        table: api.Table,
        pool: str,
        holder_id: str,
        clock: Callable[[], float],
    ) -> None:
        self._table = table
        self._key = f"lease/{pool}"
        self._holder_id = holder_id
        self._clock = clock
        self._observed: orders.ObservedLease | None = None
        self._held: orders.HeldLease | None = None
        self._pending: _PendingWrite | None = None
        self._least_epoch = 0
        self._writes = 0

    @property
    def held(self) -> orders.HeldLease | None:
        """The lease, or ``None`` if it is not valid."""
        valid = orders.is_valid(self._held, self._clock())
        return self._held if valid else None

    def acquire_or_renew(self) -> orders.HeldLease | None:
        """Read the row, write it if due and return the lease if valid."""
        if self._read_row():
            self._write_if_due()
        return self.held

    def on_stale_fence(self, highest: int) -> None:
        """Relinquish the lease; an engine has seen a higher fencing number."""
        self._least_epoch = max(self._least_epoch, highest)
        self._held = None

    def _read_row(self) -> bool:
        """Read the row and return whether that succeeded."""
        match self._table.read(TABLE, self._key):
            case Result(tag="ok", ok=None):
                self._observe("", 0, 0)
            case Result(tag="ok", ok=api.Row(row=row, version=version)):
                found = LeaseRow.model_validate(row)
                self._observe(found.holder, found.epoch, version)
                self._confirm_pending(found, version)
            case _:
                return False
        return True

    def _observe(self, holder: str, epoch: int, version: int) -> None:
        seen = self._observed
        if seen is not None and version <= seen.version:
            return
        now = self._clock()
        self._observed = orders.ObservedLease(holder, epoch, version, now)
        if self._held is not None and version > self._held.version:
            self._held = None

    def _confirm_pending(self, found: LeaseRow, version: int) -> None:
        """Complete an own write whose reply was lost."""
        pending = self._pending
        if pending is not None and found.write == pending.write:
            self._held = replace(pending.held, version=version)
            self._pending = None

    def _write_if_due(self) -> None:
        assert self._observed is not None
        now = self._clock()
        match orders.lease_action(
            self._holder_id, self._observed, self._held, now
        ):
            case orders.TakeLease(epoch=epoch, version=version):
                epoch = max(epoch, self._least_epoch + 1)
                self._write(epoch, version, now, since=now)
            case orders.RenewLease(epoch=epoch, version=version):
                assert self._held is not None
                self._write(epoch, version, now, since=self._held.since)
            case orders.NoLeaseAction():
                pass

    def _write(
        self, epoch: int, version: int, now: float, since: float
    ) -> None:
        self._writes += 1
        write = f"{self._holder_id}/{self._writes}"
        row = LeaseRow(holder=self._holder_id, epoch=epoch, write=write)
        condition: api.Condition = api.Absent()
        if version:
            condition = api.VersionIs(version)
        put = api.Put(TABLE, self._key, row.model_dump(), condition)
        match self._table.transact((put,)):
            case Result(tag="ok", ok=api.Committed(versions=(new,))) if new:
                self._held = orders.HeldLease(epoch, new, since, now)
                self._observed = orders.ObservedLease(
                    self._holder_id, epoch, new, now
                )
                self._pending = None
            case Result(error=api.Conflict()):
                self._held = None
            case _:
                pending = orders.HeldLease(epoch, version, since, now)
                self._pending = _PendingWrite(write, pending)


__all__ = ["LeaseRow", "PoolLease", "TABLE"]
