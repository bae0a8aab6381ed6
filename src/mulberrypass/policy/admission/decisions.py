"""Decisions of a cell."""

from __future__ import annotations

from typing import TYPE_CHECKING

from mulberrypass.model.value_class import value_class

if TYPE_CHECKING:
    from mulberrypass.policy.messages import OwnerMessage


@value_class
class CellDecision:
    """A message that the owner of a cell sends to a holder."""

    holder: str
    message: OwnerMessage


__all__ = ["CellDecision"]
