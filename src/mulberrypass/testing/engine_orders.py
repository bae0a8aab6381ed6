"""Versions, adapters and role that a stand-in engine was ordered to have."""

from __future__ import annotations

import threading
import time
from typing import Annotated, Literal

from pydantic import BaseModel, Field, TypeAdapter

from mulberrypass.model.objects import Role


class LoadBody(BaseModel):
    """Orders a version, and adapters, into memory."""

    order: Literal["load"]
    fence: int = Field(ge=0)
    model: str
    version: str
    adapters: tuple[str, ...] = ()


class UnloadBody(BaseModel):
    """Orders a version out of memory."""

    order: Literal["unload"]
    fence: int = Field(ge=0)
    model: str
    version: str


class RoleBody(BaseModel):
    """Orders a role."""

    order: Literal["role"]
    fence: int = Field(ge=0)
    role: Role


OrderBody = Annotated[
    LoadBody | UnloadBody | RoleBody, Field(discriminator="order")
]
ORDER_BODY: TypeAdapter[OrderBody] = TypeAdapter(OrderBody)


class Placement:
    """What is loaded; any version where none is named at the start.

    :param load_s: seconds that a load order takes
    """

    def __init__(self, versions: tuple[str, ...], load_s: float) -> None:
        self._lock = threading.Lock()
        self._load_s = load_s
        self._any = not versions
        self._ready_at = dict.fromkeys(versions, 0.0)
        self.highest_fence = 0
        self.role = Role.BOTH
        self.taken: list[OrderBody] = []

    def has(self, version: str) -> bool:
        """Whether a version can serve now."""
        if self._any:
            return True
        with self._lock:
            ready_at = self._ready_at.get(version)
        return ready_at is not None and ready_at <= time.monotonic()

    def loaded(self) -> tuple[str, ...]:
        """Give the versions that can serve now."""
        now = time.monotonic()
        with self._lock:
            return tuple(v for v, at in self._ready_at.items() if at <= now)

    def take(self, order: OrderBody, ignore_fence: bool) -> bool:
        """Carry out an order, unless its fence is old."""
        with self._lock:
            if order.fence < self.highest_fence and not ignore_fence:
                return False
            self.highest_fence = max(self.highest_fence, order.fence)
            self.taken.append(order)
            match order:
                case LoadBody(version=version):
                    ready_at = time.monotonic() + self._load_s
                    self._ready_at.setdefault(version, ready_at)
                case UnloadBody(version=version):
                    self._ready_at.pop(version, None)
                case RoleBody(role=role):
                    self.role = role
        return True


__all__ = ["ORDER_BODY", "OrderBody", "Placement"]
