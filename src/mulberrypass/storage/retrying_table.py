"""Settles calls to the platform whose reply was lost.

Each transaction also writes a receipt: one row of this writer's own,
conditional on its version, that holds the transaction's token. A repeated
transaction can therefore apply once only, and a conflict on the receipt
shows whether an earlier attempt took effect, even where its rows have been
overwritten since.
"""

from __future__ import annotations

from dataclasses import dataclass, field
import queue
import random
import time
from typing import TYPE_CHECKING

from expression import Error, Ok

from mulberrypass.model.store import (
    MAX_SCAN_ROWS,
    MAX_TRANSACTION_OPS,
    Absent,
    Check,
    Committed,
    Conflict,
    Delete,
    Put,
    Table,
    Throttled,
    Unavailable,
    VersionIs,
)
from mulberrypass.policy.storage.budget import Backoff
from mulberrypass.runtime.metrics import Decision

if TYPE_CHECKING:
    from collections.abc import Callable

    from expression import Result

    from mulberrypass.model.store import (
        Op,
        Page,
        ReadError,
        Row,
        TableError,
    )
    from mulberrypass.runtime.metrics import Metrics

RECEIPT_TABLE = "receipts"
MAX_RETRYABLE_OPS = MAX_TRANSACTION_OPS - 1
DEFAULT_LANES = 4
TOKEN_BITS = 64
OVERWRITTEN = "another process wrote under this writer's name"


@dataclass(frozen=True, slots=True)
class RetryPolicy:
    """How long a lost reply is asked after.

    :param attempts: calls of one transaction, the first included; as many
        again may make a conflict final
    """

    attempts: int = 8
    backoff: Backoff = field(default_factory=Backoff)


@dataclass(slots=True)
class _Lane:
    """One receipt row; a transaction holds it while it is in flight."""

    key: str
    version: int = 0


class RetryingTable(Table):
    """A table that answers for lost replies.

    An ``Unavailable`` from here with ``maybe_applied`` false is sure: the
    transaction has not taken effect and never will. A version of 0 in
    ``Committed`` stands for one that was not learned. A transaction of
    more than ``MAX_SETTLED_OPS`` operations is passed on as it is.

    :param writer: name of this process; no other live process has it
    :param rng: gives tokens and jitter
    :param lanes: transactions in flight at once; others wait
    """

    def __init__(
        self,
        table: Table,
        writer: str,
        rng: random.Random | None = None,
        sleep: Callable[[float], None] = time.sleep,
        metrics: Metrics | None = None,
        policy: RetryPolicy | None = None,
        lanes: int = DEFAULT_LANES,
    ) -> None:
        self._table = table
        self._rng = rng or random.Random()
        self._sleep = sleep
        self._metrics = metrics
        self.policy = policy or RetryPolicy()
        self._lanes: queue.LifoQueue[_Lane] = queue.LifoQueue()
        for number in reversed(range(lanes)):
            self._lanes.put(_Lane(f"{writer}/{number}"))

    def transact(self, ops: tuple[Op, ...]) -> Result[Committed, TableError]:
        """Apply all operations or none."""
        if len(ops) > MAX_RETRYABLE_OPS:
            return self._table.transact(ops)
        lane = self._lanes.get()
        try:
            return _Attempts(self, lane, ops).run()
        finally:
            self._lanes.put(lane)

    def read(self, table: str, key: str) -> Result[Row | None, ReadError]:
        """Read the latest committed row."""
        return self._table.read(table, key)

    def scan(
        self,
        table: str,
        prefix: str,
        after: str = "",
        limit: int = MAX_SCAN_ROWS,
    ) -> Result[Page, ReadError]:
        """Read rows whose key has the prefix, after a key."""
        return self._table.scan(table, prefix, after, limit)

    def remove_receipts(self) -> None:
        """Remove the receipts at a planned stop; no call may follow."""
        ops = []
        while not self._lanes.empty():
            lane = self._lanes.get()
            if lane.version:
                condition = VersionIs(lane.version)
                ops.append(Delete(RECEIPT_TABLE, lane.key, condition))
        if ops:
            self._table.transact(tuple(ops))

    def new_token(self) -> str:
        """Give a token that no other transaction has."""
        return f"{self._rng.getrandbits(TOKEN_BITS):016x}"

    def jitter(self) -> float:
        """Give a random number from 0 to 1."""
        return self._rng.random()

    def pause(self, seconds: float) -> None:
        """Wait between attempts."""
        self._sleep(seconds)

    def send(self, ops: tuple[Op, ...]) -> Result[Committed, TableError]:
        """Make one attempt."""
        return self._table.transact(ops)

    def count(self, decision: Decision) -> None:
        """Count a decision."""
        if self._metrics is not None:
            self._metrics.count(decision)


class _Attempts:
    """The attempts of one transaction."""

    def __init__(
        self, owner: RetryingTable, lane: _Lane, ops: tuple[Op, ...]
    ) -> None:
        self._owner = owner
        self._lane = lane
        self._ops = ops
        self._token = owner.new_token()
        self._fence_token = owner.new_token()
        self._unsure = False
        self._tried = 0

    def run(self) -> Result[Committed, TableError]:
        """Call until the outcome is known or the attempts are used up."""
        while True:
            result = self._call(self._token, self._ops)
            if result.is_ok():
                return Ok(Committed(result.ok.versions[1:]))
            match result.error:
                case Conflict(index=0, found=found):
                    ended = self._receipt_differs(found)
                    if ended is not None:
                        return ended
                case Conflict(index=index, found=found):
                    own = Conflict(index - 1, found)
                    return self._fence(own) if self._unsure else Error(own)
                case Throttled() | Unavailable() as error:
                    if not self._go_on(error):
                        return Error(self._last_word(error))

    def _call(
        self, token: str, ops: tuple[Op, ...]
    ) -> Result[Committed, TableError]:
        self._tried += 1
        lane = self._lane
        condition = VersionIs(lane.version) if lane.version else Absent()
        receipt = Put(RECEIPT_TABLE, lane.key, {"token": token}, condition)
        result = self._owner.send((receipt, *ops))
        if result.is_ok():
            lane.version = result.ok.versions[0]
        return result

    def _receipt_differs(
        self, found: Row | None
    ) -> Result[Committed, TableError] | None:
        """Take over the receipt that stands; ``None`` to call again."""
        if self._take_over(found) == self._token:
            return self._committed_unseen()
        if self._unsure:
            return Error(Unavailable(OVERWRITTEN, maybe_applied=True))
        if self._tried >= self._owner.policy.attempts:
            return Error(Unavailable("receipt keeps changing", False))
        return None

    def _fence(self, conflict: Conflict) -> Result[Committed, TableError]:
        """Make a conflict final while an earlier attempt may be under way.

        That attempt could find the rows changed back. Once the receipt is
        written alone, it conflicts.
        """
        self._tried = 0
        while True:
            result = self._call(self._fence_token, ())
            if result.is_ok():
                return Error(conflict)
            match result.error:
                case Conflict(found=found):
                    token = self._take_over(found)
                    if token == self._fence_token:
                        return Error(conflict)
                    if token == self._token:
                        return self._committed_unseen()
                    return Error(Unavailable(OVERWRITTEN, maybe_applied=True))
                case Throttled() | Unavailable() as error:
                    if not self._go_on(error):
                        return Error(self._last_word(error))

    def _take_over(self, found: Row | None) -> str | None:
        """Go on from the receipt that stands, and give its token."""
        self._lane.version = found.version if found is not None else 0
        return found.row.get("token") if found is not None else None

    def _committed_unseen(self) -> Result[Committed, TableError]:
        self._owner.count(Decision.PLATFORM_SETTLED)
        return Ok(Committed(tuple(map(self._version_of, self._ops))))

    def _go_on(self, error: Throttled | Unavailable) -> bool:
        """Wait before the next attempt, where there is to be one."""
        if isinstance(error, Unavailable) and error.maybe_applied:
            self._unsure = True
        policy = self._owner.policy
        if not self._unsure or self._tried >= policy.attempts:
            return False
        jitter = self._owner.jitter()
        wait_s = policy.backoff.wait_s(self._tried, jitter)
        if isinstance(error, Throttled):
            wait_s = max(wait_s, error.retry_after_s)
        self._owner.count(Decision.PLATFORM_RETRIED)
        self._owner.pause(wait_s)
        return True

    def _last_word(
        self, error: Throttled | Unavailable
    ) -> Throttled | Unavailable:
        if not self._unsure:
            return error
        reason = error.reason if isinstance(error, Unavailable) else "rate"
        return Unavailable(reason, maybe_applied=True)

    def _version_of(self, op: Op) -> int:
        """Read back the version of a row that was written unseen."""
        match op:
            case Delete():
                return 0
            case Check(condition=VersionIs(version=version)):
                return version
            case Check():
                return 0
            case Put():
                result = self._owner.read(op.table, op.key)
                found = result.ok if result.is_ok() else None
                same = found is not None and dict(found.row) == dict(op.row)
                return found.version if found is not None and same else 0


__all__ = [
    "MAX_RETRYABLE_OPS",
    "RECEIPT_TABLE",
    "RetryPolicy",
    "RetryingTable",
]
