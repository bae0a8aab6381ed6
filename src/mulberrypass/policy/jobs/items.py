"""Outcome or retry of an item after one of its runs."""

from __future__ import annotations

import enum
from typing import Any

from mulberrypass.model.outcome import Ran
from mulberrypass.model.value_class import value_class


class ItemState(enum.StrEnum):
    """The outcome of an item; ``PENDING`` while there is none."""

    PENDING = "pending"
    DONE = "done"
    FAILED = "failed"
    INDETERMINATE = "indeterminate"
    CANCELLED = "cancelled"


@value_class
class Outcome:
    """The final outcome of an item.

    :param item: number of the item's line in the manifest, from 0
    :param attempts: failed attempts that were charged to the item
    """

    item: int
    state: ItemState
    output: Any = None
    error: str = ""
    attempts: int = 0
    tokens: int = 0


@value_class
class RunCompleted:
    """A run that returned the whole answer."""

    output: Any
    tokens: int = 0


@value_class
class RunFailed:
    """A run that failed.

    :param permanent: whether the item would fail in every run
    :param lost_backend: whether the backend server was lost meanwhile
    :param sole_suspect: whether no other suspect ran on that backend server
    """

    reason: str
    ran: Ran
    permanent: bool = False
    lost_backend: bool = False
    sole_suspect: bool = False
    backend: str = ""


@value_class
class RunStopped:
    """A run that was stopped before it ended.

    :param ran: ``no`` if nothing had been sent
    """

    ran: Ran


RunResult = RunCompleted | RunFailed | RunStopped


@value_class
class RetryState:
    """State of an item between its runs.

    :param charged: failed attempts that were charged to the item
    :param suspect: whether a backend server was lost while it ran the item
    :param not_before: time before which the item isn't run again
    """

    charged: int = 0
    suspect: bool = False
    not_before: float = 0.0
    avoid: tuple[str, ...] = ()


@value_class
class Settled:
    """The item has its final outcome."""

    outcome: Outcome


@value_class
class Retry:
    """The item is to be run again."""

    state: RetryState


ItemDecision = Settled | Retry

BASE_RETRY_DELAY_S = 0.2
MAX_RETRY_DELAY_S = 5.0


def decide_item(
    item: int,
    result: RunResult,
    retry: RetryState,
    idempotent: bool,
    max_attempts: int,
    now: float,
) -> ItemDecision:
    """Return whether an item is settled or retried after a run.

    The loss of a backend server makes all items that ran there suspects.
    The attempt is charged only to a suspect that ran there without other
    suspects, so that an item that crashes engines doesn't use up the
    attempts of the items beside it.
    """
    match result:
        case RunCompleted(output=output, tokens=tokens):
            return Settled(
                Outcome(
                    item,
                    ItemState.DONE,
                    output,
                    attempts=retry.charged,
                    tokens=tokens,
                )
            )
        case RunStopped(ran=ran):
            if idempotent or ran is Ran.NO:
                return Retry(retry)
            return _indeterminate(item, "stopped while it ran", retry)
        case RunFailed():
            return _decide_failed(
                item, result, retry, idempotent, max_attempts, now
            )


def _decide_failed(
    item: int,
    result: RunFailed,
    retry: RetryState,
    idempotent: bool,
    max_attempts: int,
    now: float,
) -> ItemDecision:
    if result.permanent:
        return _failed(item, result.reason, retry.charged + 1)
    if result.ran is Ran.NO:
        return Retry(_delayed(retry, retry.charged, retry.suspect, now))
    if not idempotent:
        if result.ran is Ran.YES:
            return _failed(item, result.reason, retry.charged + 1)
        return _indeterminate(item, result.reason, retry)
    is_charged = not result.lost_backend or (
        retry.suspect and result.sole_suspect
    )
    charged = retry.charged + is_charged
    if charged >= max_attempts:
        return _failed(item, result.reason, charged)
    suspect = retry.suspect or result.lost_backend
    delayed = _delayed(retry, charged, suspect, now)
    avoid = (result.backend,) if result.backend else ()
    return Retry(
        RetryState(delayed.charged, delayed.suspect, delayed.not_before, avoid)
    )


def _delayed(
    retry: RetryState, charged: int, suspect: bool, now: float
) -> RetryState:
    delay = min(BASE_RETRY_DELAY_S * 2**charged, MAX_RETRY_DELAY_S)
    return RetryState(charged, suspect, now + delay, retry.avoid)


def _failed(item: int, reason: str, attempts: int) -> Settled:
    return Settled(
        Outcome(item, ItemState.FAILED, error=reason, attempts=attempts)
    )


def _indeterminate(item: int, reason: str, retry: RetryState) -> Settled:
    return Settled(
        Outcome(
            item,
            ItemState.INDETERMINATE,
            error=reason,
            attempts=retry.charged,
        )
    )


__all__ = [
    "ItemDecision",
    "ItemState",
    "Outcome",
    "Retry",
    "RetryState",
    "RunCompleted",
    "RunFailed",
    "RunResult",
    "RunStopped",
    "Settled",
    "decide_item",
]
