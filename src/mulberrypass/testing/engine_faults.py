"""Faults that tests and users turn on in a stand-in backend server."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from mulberrypass.runtime.http import Problem, json_answer

if TYPE_CHECKING:
    from mulberrypass.runtime.http import Reply, Request


class FaultSettings(BaseModel):
    """The faults in force.

    :param slow: factor by which each step or call takes longer
    :param pause_s: seconds for which nothing goes on, from now
    :param cut_streams: streams or answers to cut off from now on
    :param cut_after_tokens: tokens that a cut stream still sends
    :param crash_s: drop all work now, and refuse work for so long
    :param refuse: next requests to refuse as not run
    :param crossed: next answers that carry another request's id
    :param late_s: seconds by which each answer is late
    :param ignore_fences: whether orders with an old fence are taken
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


class Faults:
    """The faults of one stand-in, counted down as they are used."""

    def __init__(self, start: FaultSettings | None = None) -> None:
        self._lock = threading.Lock()
        self.now = start or FaultSettings()

    def change(self, document: bytes) -> FaultSettings:
        """Change the faults that a JSON document names.

        :raises ValidationError: where the document is wrong
        """
        given = FaultSettings.model_validate_json(document)
        named = given.model_dump(exclude_unset=True)
        with self._lock:
            self.now = self.now.model_copy(update=named)
        return given

    def use(self, name: str) -> bool:
        """Take one of a counted fault, where any is left."""
        with self._lock:
            left = int(getattr(self.now, name))
            if left == 0:
                return False
            self.now = self.now.model_copy(update={name: left - 1})
            return True

    def answer(self, req: Request) -> FaultSettings | Reply:
        """Change the faults as an HTTP request asks."""
        try:
            return self.change(req.body.read(req.body_bytes))
        except ValidationError as exc:
            return Problem(400, "wrong_fault", str(exc))

    def show(self) -> Reply:
        """Answer with the faults in force."""
        return json_answer(self.now.model_dump())


__all__ = ["FaultSettings", "Faults"]
