"""Faults that can be injected into a stand-in backend server."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from mulberrypass.runtime.http import Problem, json_answer

if TYPE_CHECKING:
    from mulberrypass.runtime.http import Reply, Request


class FaultSettings(BaseModel):
    """Current faults, as shown and changed over HTTP.

    :param slow: factor on the duration of each step or call
    :param pause_s: seconds without progress from now on
    :param cut_streams: number of next streams or answers to truncate
    :param cut_after_tokens: tokens sent before a stream is truncated
    :param crash_s: drop all work now and refuse requests for this time
    :param refuse: number of next requests to refuse as not run
    :param crossed: number of next answers with another request's id
    :param late_s: delay of each answer
    :param leaving: whether load reports say that the server is leaving
    :param ignore_fences: accept orders with a stale fence
    """

    model_config = ConfigDict(extra="forbid")

    slow: float = Field(default=1.0, gt=0)
    pause_s: float = Field(default=0.0, ge=0)
    cut_streams: int = Field(default=0, ge=0)
    cut_after_tokens: int = Field(default=0, ge=0)
    crash_s: float = Field(default=0.0, ge=0)
    refuse: int = Field(default=0, ge=0)
    crossed: int = Field(default=0, ge=0)
    late_s: float = Field(default=0.0, ge=0)
    leaving: bool = False
    ignore_fences: bool = False


class FaultState:
    """Current faults of a stand-in server; counted ones run out."""

    def __init__(self, initial: FaultSettings | None = None) -> None:
        self._lock = threading.Lock()
        self.current = initial or FaultSettings()

    def update(self, document: bytes) -> FaultSettings:
        """Apply a JSON document of faults and return it parsed.

        :raises ValidationError: if the document is invalid
        """
        update = FaultSettings.model_validate_json(document)
        changed = update.model_dump(exclude_unset=True)
        with self._lock:
            self.current = self.current.model_copy(update=changed)
        return update

    def consume(self, name: str) -> bool:
        """Use up one of a counted fault; return whether one was left."""
        with self._lock:
            remaining = int(getattr(self.current, name))
            if remaining == 0:
                return False
            self.current = self.current.model_copy(
                update={name: remaining - 1}
            )
            return True

    def handle_update(self, req: Request) -> FaultSettings | Reply:
        """Handle an HTTP request that changes faults."""
        try:
            return self.update(req.body.read(req.body_bytes))
        except ValidationError as exc:
            return Problem(400, "wrong_fault", str(exc))

    def handle_show(self) -> Reply:
        """Return an HTTP answer with the current faults."""
        return json_answer(self.current.model_dump())


__all__ = ["FaultSettings", "FaultState"]
