"""Repeats transactions whose reply was lost until the outcome is known.

Each transaction also writes a receipt: a row that belongs to this writer and
holds the token of the transaction. The write is conditional on the version of
the receipt, so a repeated transaction applies at most once, and a conflict on
the receipt shows whether an earlier attempt was applied, even if its rows
have been overwritten since.
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
from mulberrypass.model.value_class import value_class
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
DEFAULT_MAX_IN_FLIGHT = 4
TOKEN_BITS = 64
DUPLICATE_WRITER = "another process wrote under this writer's name"


@value_class
class RetryPolicy:
    """How often a call with a lost reply is repeated.

    :param attempts: calls of one transaction, including the first; as many
        again may be needed to make a conflict final
    """

    attempts: int = 8
    backoff: Backoff = field(default_factory=Backoff)


@dataclass(slots=True)
class _ReceiptRow:
    """A receipt row, used by one transaction in flight at a time."""

    key: str
    version: int = 0


class RetryingTable(Table):
    """A table that resolves lost replies by repeating transactions.

    An ``Unavailable`` with ``maybe_applied`` false is certain: the
    transaction has not been applied and never will be. A version of 0 in
    ``Committed`` means that the version is unknown. A transaction of more
    than ``MAX_RETRYABLE_OPS`` operations leaves no room for a receipt, so it
    is not repeated.

    :param writer: name of this process; no other live process may have it
    :param rng: source of tokens and jitter
    :param max_in_flight: transactions in flight at once; others wait
    """

    def __init__(
        self,
        table: Table,
        writer: str,
        rng: random.Random | None = None,
        sleep: Callable[[float], None] = time.sleep,
        metrics: Metrics | None = None,
        policy: RetryPolicy | None = None,
        max_in_flight: int = DEFAULT_MAX_IN_FLIGHT,
    ) -> None:
        self._table = table
        self._rng = rng or random.Random()
        self._sleep = sleep
        self._metrics = metrics
        self.policy = policy or RetryPolicy()
        self._free_receipts: queue.LifoQueue[_ReceiptRow] = queue.LifoQueue()
        for number in reversed(range(max_in_flight)):
            self._free_receipts.put(_ReceiptRow(f"{writer}/{number}"))

    def transact(self, ops: tuple[Op, ...]) -> Result[Committed, TableError]:
        """Apply all operations or none."""
        if len(ops) > MAX_RETRYABLE_OPS:
            return self._table.transact(ops)
        receipt = self._free_receipts.get()
        try:
            return _RetriedTransaction(self, receipt, ops).run()
        finally:
            self._free_receipts.put(receipt)

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
        """Delete the receipts at a planned stop; no call may follow."""
        ops = []
        while not self._free_receipts.empty():
            receipt = self._free_receipts.get()
            if receipt.version:
                condition = VersionIs(receipt.version)
                ops.append(Delete(RECEIPT_TABLE, receipt.key, condition))
        if ops:
            self._table.transact(tuple(ops))

    def new_token(self) -> str:
        """Return a new random token of a transaction."""
        return f"{self._rng.getrandbits(TOKEN_BITS):016x}"

    def jitter(self) -> float:
        """Return a random number from 0 to 1."""
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


class _RetriedTransaction:
    """One transaction, repeated until its outcome is known."""

    def __init__(
        self, owner: RetryingTable, receipt: _ReceiptRow, ops: tuple[Op, ...]
    ) -> None:
        self._owner = owner
        self._receipt = receipt
        self._ops = ops
        self._token = owner.new_token()
        self._fence_token = owner.new_token()
        self._ambiguous = False
        self._attempts = 0

    def run(self) -> Result[Committed, TableError]:
        """Repeat the call until its outcome is known or attempts run out."""
        while True:
            result = self._call(self._token, self._ops)
            if result.is_ok():
                return Ok(Committed(result.ok.versions[1:]))
            match result.error:
                case Conflict(index=0, found=found):
                    ended = self._handle_receipt_conflict(found)
                    if ended is not None:
                        return ended
                case Conflict(index=index, found=found):
                    own = Conflict(index - 1, found)
                    return self._fence(own) if self._ambiguous else Error(own)
                case Throttled() | Unavailable() as error:
                    if not self._wait_to_retry(error):
                        return Error(self._final_error(error))

    def _call(
        self, token: str, ops: tuple[Op, ...]
    ) -> Result[Committed, TableError]:
        self._attempts += 1
        receipt = self._receipt
        condition = VersionIs(receipt.version) if receipt.version else Absent()
        put = Put(RECEIPT_TABLE, receipt.key, {"token": token}, condition)
        result = self._owner.send((put, *ops))
        if result.is_ok():
            receipt.version = result.ok.versions[0]
        return result

    def _handle_receipt_conflict(
        self, found: Row | None
    ) -> Result[Committed, TableError] | None:
        """Adopt the stored receipt; return ``None`` to call again."""
        if self._adopt_receipt(found) == self._token:
            return self._committed_earlier()
        if self._ambiguous:
            return Error(Unavailable(DUPLICATE_WRITER, maybe_applied=True))
        if self._attempts >= self._owner.policy.attempts:
            return Error(Unavailable("receipt keeps changing", False))
        return None

    def _fence(self, conflict: Conflict) -> Result[Committed, TableError]:
        """Make a conflict final while an earlier attempt may still arrive.

        That attempt would apply if its rows were changed back. Writing the
        receipt alone makes it conflict.
        """
        self._attempts = 0
        while True:
            result = self._call(self._fence_token, ())
            if result.is_ok():
                return Error(conflict)
            match result.error:
                case Conflict(found=found):
                    token = self._adopt_receipt(found)
                    if token == self._fence_token:
                        return Error(conflict)
                    if token == self._token:
                        return self._committed_earlier()
                    return Error(
                        Unavailable(DUPLICATE_WRITER, maybe_applied=True)
                    )
                case Throttled() | Unavailable() as error:
                    if not self._wait_to_retry(error):
                        return Error(self._final_error(error))

    def _adopt_receipt(self, found: Row | None) -> str | None:
        """Continue from the stored receipt, and return its token."""
        self._receipt.version = found.version if found is not None else 0
        return found.row.get("token") if found is not None else None

    def _committed_earlier(self) -> Result[Committed, TableError]:
        self._owner.count(Decision.PLATFORM_SETTLED)
        return Ok(Committed(tuple(map(self._read_version, self._ops))))

    def _wait_to_retry(self, error: Throttled | Unavailable) -> bool:
        """Wait before the next attempt; return whether there is one."""
        if isinstance(error, Unavailable) and error.maybe_applied:
            self._ambiguous = True
        policy = self._owner.policy
        if not self._ambiguous or self._attempts >= policy.attempts:
            return False
        jitter = self._owner.jitter()
        wait_s = policy.backoff.wait_s(self._attempts, jitter)
        if isinstance(error, Throttled):
            wait_s = max(wait_s, error.retry_after_s)
        self._owner.count(Decision.PLATFORM_RETRIED)
        self._owner.pause(wait_s)
        return True

    def _final_error(
        self, error: Throttled | Unavailable
    ) -> Throttled | Unavailable:
        if not self._ambiguous:
            return error
        reason = error.reason if isinstance(error, Unavailable) else "rate"
        return Unavailable(reason, maybe_applied=True)

    def _read_version(self, op: Op) -> int:
        """Read the version of a row that an unanswered attempt wrote."""
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
