"""Placement orders of a stand-in engine and their effect."""

from __future__ import annotations

import threading
import time
from typing import Annotated, Literal

from pydantic import BaseModel, Field, TypeAdapter

from mulberrypass.model.objects import Role


class LoadBody(BaseModel):
    """Order to load a version and adapters."""

    order: Literal["load"]
    fence: int = Field(ge=0)
    model: str
    version: str
    adapters: tuple[str, ...] = ()


class UnloadBody(BaseModel):
    """Order to unload a version."""

    order: Literal["unload"]
    fence: int = Field(ge=0)
    model: str
    version: str


class RoleBody(BaseModel):
    """Order to take on a role."""

    order: Literal["role"]
    fence: int = Field(ge=0)
    role: Role


OrderBody = Annotated[
    LoadBody | UnloadBody | RoleBody, Field(discriminator="order")
]
ORDER_BODY: TypeAdapter[OrderBody] = TypeAdapter(OrderBody)


class PlacementState:
    """Loaded versions and role of an engine.

    :param versions: versions loaded at the start; empty for any
    :param load_s: seconds that a load order takes
    """

    def __init__(self, versions: tuple[str, ...], load_s: float) -> None:
        self._lock = threading.Lock()
        self._load_s = load_s
        self._any_version = not versions
        self._ready_at = dict.fromkeys(versions, 0.0)
        self.highest_fence = 0
        self.role = Role.BOTH
        self.accepted: list[OrderBody] = []

    def can_serve(self, version: str) -> bool:
        """Return whether a version can serve now."""
        if self._any_version:
            return True
        with self._lock:
            ready_at = self._ready_at.get(version)
        return ready_at is not None and ready_at <= time.monotonic()

    def loaded(self) -> tuple[str, ...]:
        """Return the versions that can serve now."""
        now = time.monotonic()
        with self._lock:
            return tuple(v for v, at in self._ready_at.items() if at <= now)

    def apply(self, order: OrderBody, ignore_fence: bool) -> bool:
        """Apply an order; return ``False`` instead if its fence is stale."""
        with self._lock:
            if order.fence < self.highest_fence and not ignore_fence:
                return False
            self.highest_fence = max(self.highest_fence, order.fence)
            self.accepted.append(order)
            match order:
                case LoadBody(version=version):
                    ready_at = time.monotonic() + self._load_s
                    self._ready_at.setdefault(version, ready_at)
                case UnloadBody(version=version):
                    self._ready_at.pop(version, None)
                case RoleBody(role=role):
                    self.role = role
        return True


__all__ = ["ORDER_BODY", "OrderBody", "PlacementState"]
