"""What becomes of one item of a job after a run of it."""

from __future__ import annotations

from dataclasses import dataclass
import enum
from typing import Any

from mulberrypass.model.outcome import Ran


class ItemState(enum.StrEnum):
    """The outcome of an item; ``PENDING`` while there is none."""

    PENDING = "pending"
    DONE = "done"
    FAILED = "failed"
    INDETERMINATE = "indeterminate"
    CANCELLED = "cancelled"


@dataclass(frozen=True, slots=True)
class Outcome:
    """The one outcome of an item.

    :param item: number of the item's line in the manifest, from 0
    :param attempts: attempts that failed by the item's own fault
    """

    item: int
    state: ItemState
    output: Any = None
    error: str = ""
    attempts: int = 0
    tokens: int = 0


@dataclass(frozen=True, slots=True)
class RunCompleted:
    """A run gave the whole answer."""

    output: Any
    tokens: int = 0


@dataclass(frozen=True, slots=True)
class RunFailed:
    """A run failed.

    :param permanent: whether the item itself is at fault for good
    :param lost_backend: whether the backend server went away meanwhile
    :param alone: whether no other suspect ran on that backend server
    """

    reason: str
    ran: Ran
    permanent: bool = False
    lost_backend: bool = False
    sole_suspect: bool = False
    backend: str = ""


@dataclass(frozen=True, slots=True)
class RunStopped:
    """A run was taken back before it ended.

    :param ran: ``no`` where nothing had been sent
    """

    ran: Ran


RunResult = RunCompleted | RunFailed | RunStopped


@dataclass(frozen=True, slots=True)
class ItemRecord:
    """What is remembered of an item between its runs.

    :param charged: attempts that failed by the item's own fault
    :param suspect: whether a backend server was lost under the item
    :param not_before: time before which the item isn't run again
    """

    charged: int = 0
    suspect: bool = False
    not_before: float = 0.0
    avoid: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Settled:
    """The item has its outcome."""

    outcome: Outcome


@dataclass(frozen=True, slots=True)
class Retry:
    """The item runs again under this record."""

    record: ItemRecord


ItemDecision = Settled | Retry

RETRY_DELAY_S = 0.2
MAX_RETRY_DELAY_S = 5.0


def decide_item(
    item: int,
    result: RunResult,
    record: ItemRecord,
    idempotent: bool,
    max_attempts: int,
    now: float,
) -> ItemDecision:
    """Decide what a run's end means for its item.

    A lost backend server makes its items suspects, and charges only one
    that ran there as the only suspect, so that an item that kills engines
    doesn't use up its neighbours' attempts.
    """
    match result:
        case RunCompleted(output=output, tokens=tokens):
            return Settled(
                Outcome(
                    item,
                    ItemState.DONE,
                    output,
                    attempts=record.charged,
                    tokens=tokens,
                )
            )
        case RunStopped(ran=ran):
            if idempotent or ran is Ran.NO:
                return Retry(record)
            return _indeterminate(item, "stopped while it ran", record)
        case RunFailed():
            return _decide_failed(
                item, result, record, idempotent, max_attempts, now
            )


def _decide_failed(
    item: int,
    result: RunFailed,
    record: ItemRecord,
    idempotent: bool,
    max_attempts: int,
    now: float,
) -> ItemDecision:
    if result.permanent:
        return _failed(item, result.reason, record.charged + 1)
    if result.ran is Ran.NO:
        return Retry(_delayed(record, record.charged, record.suspect, now))
    if not idempotent:
        if result.ran is Ran.YES:
            return _failed(item, result.reason, record.charged + 1)
        return _indeterminate(item, result.reason, record)
    is_charged = not result.lost_backend or (
        record.suspect and result.sole_suspect
    )
    charged = record.charged + is_charged
    if charged >= max_attempts:
        return _failed(item, result.reason, charged)
    suspect = record.suspect or result.lost_backend
    again = _delayed(record, charged, suspect, now)
    avoid = (result.backend,) if result.backend else ()
    return Retry(
        ItemRecord(again.charged, again.suspect, again.not_before, avoid)
    )


def _delayed(
    record: ItemRecord, charged: int, suspect: bool, now: float
) -> ItemRecord:
    delay = min(RETRY_DELAY_S * 2**charged, MAX_RETRY_DELAY_S)
    return ItemRecord(charged, suspect, now + delay, record.avoid)


def _failed(item: int, reason: str, attempts: int) -> Settled:
    return Settled(
        Outcome(item, ItemState.FAILED, error=reason, attempts=attempts)
    )


def _indeterminate(item: int, reason: str, record: ItemRecord) -> Settled:
    return Settled(
        Outcome(
            item,
            ItemState.INDETERMINATE,
            error=reason,
            attempts=record.charged,
        )
    )


__all__ = [
    "Retry",
    "RunFailed",
    "RunCompleted",
    "ItemRecord",
    "ItemState",
    "Outcome",
    "RunResult",
    "Settled",
    "RunStopped",
    "ItemDecision",
    "decide_item",
]
