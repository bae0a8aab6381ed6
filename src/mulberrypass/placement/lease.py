"""A pool's lease row, whose epoch is the fencing number of orders."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from expression import Result
from pydantic import BaseModel, ConfigDict

from mulberrypass.model import store as api
from mulberrypass.policy.placement import orders

if TYPE_CHECKING:
    from collections.abc import Callable

TABLE = "placement"


class LeaseRow(BaseModel):
    """Who may order the engines of a pool.

    ``write`` names the write that made the row, so that its writer knows it
    again after a lost reply.
    """

    model_config = ConfigDict(frozen=True)

    holder: str
    epoch: int
    write: str


@dataclass(frozen=True, slots=True)
class _Pending:
    write: str
    held: orders.HeldLease


class PoolLease:
    """Takes and renews one lease. For one thread.

    :param me: unique over all lives of all processes
    :param clock: monotonic seconds
    """

    def __init__(
        self,
        table: api.Table,
        pool: str,
        me: str,
        clock: Callable[[], float],
    ) -> None:
        self._table = table
        self._key = f"lease/{pool}"
        self._me = me
        self._clock = clock
        self._seen: orders.ObservedLease | None = None
        self._held: orders.HeldLease | None = None
        self._pending: _Pending | None = None
        self._least_epoch = 0
        self._writes = 0

    @property
    def held(self) -> orders.HeldLease | None:
        """The lease, while it is valid."""
        valid = orders.is_valid(self._held, self._clock())
        return self._held if valid else None

    def keep(self) -> orders.HeldLease | None:
        """Read the row, take or renew the lease, and give it if valid."""
        if self._observe():
            self._act()
        return self.held

    def fenced(self, highest: int) -> None:
        """Hear that an engine has seen a higher fencing number."""
        self._least_epoch = max(self._least_epoch, highest)
        self._held = None

    def _observe(self) -> bool:
        """Read the row; whether it could be read."""
        match self._table.read(TABLE, self._key):
            case Result(tag="ok", ok=None):
                self._see("", 0, 0)
            case Result(tag="ok", ok=api.Row(row=row, version=version)):
                found = LeaseRow.model_validate(row)
                self._see(found.holder, found.epoch, version)
                self._adopt(found, version)
            case _:
                return False
        return True

    def _see(self, holder: str, epoch: int, version: int) -> None:
        seen = self._seen
        if seen is not None and version <= seen.version:
            return
        now = self._clock()
        self._seen = orders.ObservedLease(holder, epoch, version, now)
        if self._held is not None and version > self._held.version:
            self._held = None

    def _adopt(self, found: LeaseRow, version: int) -> None:
        """Take a write of our own whose reply was lost as done."""
        pending = self._pending
        if pending is not None and found.write == pending.write:
            self._held = replace(pending.held, version=version)
            self._pending = None

    def _act(self) -> None:
        assert self._seen is not None
        now = self._clock()
        match orders.lease_action(self._me, self._seen, self._held, now):
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
        write = f"{self._me}/{self._writes}"
        row = LeaseRow(holder=self._me, epoch=epoch, write=write)
        condition: api.Condition = api.Absent()
        if version:
            condition = api.VersionIs(version)
        put = api.Put(TABLE, self._key, row.model_dump(), condition)
        match self._table.transact((put,)):
            case Result(tag="ok", ok=api.Committed(versions=(new,))) if new:
                self._held = orders.HeldLease(epoch, new, since, now)
                self._seen = orders.ObservedLease(self._me, epoch, new, now)
                self._pending = None
            case Result(error=api.Conflict()):
                self._held = None
            case _:
                pending = orders.HeldLease(epoch, version, since, now)
                self._pending = _Pending(write, pending)


__all__ = ["LeaseRow", "PoolLease", "TABLE"]
