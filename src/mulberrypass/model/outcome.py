"""Whether work ran, as reported by refusals and failures."""

from __future__ import annotations

import enum


class Ran(enum.StrEnum):
    """Whether refused or failed work ran."""

    NO = "no"
    MAYBE = "maybe"
    YES = "yes"


__all__ = ["Ran"]
