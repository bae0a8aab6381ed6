"""Decisions of a cell."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from mulberrypass.policy.messages import OwnerMessage


@dataclass(frozen=True, slots=True)
class CellDecision:
    """A message that the owner of a cell sends to a holder."""

    holder: str
    message: OwnerMessage


__all__ = ["CellDecision"]
