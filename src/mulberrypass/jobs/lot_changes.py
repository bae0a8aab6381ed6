"""Changes to the row of a lot."""

from __future__ import annotations

from dataclasses import replace
import json
from typing import TYPE_CHECKING

from mulberrypass.jobs.rows import LotPhase, LotRow

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

    from mulberrypass.jobs.rows import Chunk
    from mulberrypass.policy.jobs.commands import LotFlush
    from mulberrypass.policy.jobs.jobs import HeldLot, Holder


def settled_items(lines: Iterable[bytes]) -> frozenset[int]:
    """Return the item numbers in lines of outcomes."""
    return frozenset(json.loads(line)["item"] for line in lines)


def is_available(before: LotRow | None, lost: HeldLot | None) -> bool:
    """Return whether a lot may be leased.

    :param lost: the lot as its lost holder held it; ``None`` for a free lot
    """
    if before is None:
        return lost is None
    if lost is None:
        return before.phase is LotPhase.FREE
    return (
        before.phase is LotPhase.HELD
        and before.holder == lost.holder
        and before.incarnation == lost.incarnation
    )


def flushed_row(
    row: LotRow,
    part: LotFlush,
    chunks: tuple[Chunk, ...],
    intended: Collection[int],
    nonce: str,
) -> LotRow:
    """Return the row of a lot after a flush.

    :param intended: items with an intent under the row's epoch
    """
    row = replace(row, chunks=chunks, nonce=nonce)
    if part.ended:
        return replace(row, phase=LotPhase.DONE)
    if part.released:
        returned = {*row.returned}.difference(intended) | {*part.returned}
        return replace(
            row,
            phase=LotPhase.FREE,
            holder="",
            incarnation=0,
            returned=tuple(sorted(returned)),
            returned_epoch=row.epoch,
        )
    return row


def leased_row(before: LotRow | None, own: Holder, nonce: str) -> LotRow:
    """Return the row of a lot after a holder leases it under a new epoch."""
    if before is None:
        return LotRow(1, own.name, own.incarnation, LotPhase.HELD, nonce)
    return replace(
        before,
        epoch=before.epoch + 1,
        holder=own.name,
        incarnation=own.incarnation,
        phase=LotPhase.HELD,
        nonce=nonce,
    )


__all__ = ["flushed_row", "is_available", "leased_row", "settled_items"]
