"""A dump of a process's state, over HTTP or on a signal."""

from __future__ import annotations

import json
import signal
import sys
from typing import TYPE_CHECKING, Any

from mulberrypass.model.jsonable import jsonable

if TYPE_CHECKING:
    from collections.abc import Callable


class StateDump:
    """Collects the state of a process's parts as one JSON document."""

    def __init__(self) -> None:
        self._parts: dict[str, Callable[[], Any]] = {}

    def register(self, name: str, part: Callable[[], Any]) -> None:
        """Add a part.

        :param part: gives data classes, mappings, sequences and scalars;
            called on another thread than the part's own
        """
        self._parts[name] = part

    def collect(self) -> dict[str, Any]:
        """Ask each part for its state; a part that fails says so."""
        return {name: _collect(part) for name, part in self._parts.items()}

    def to_json(self) -> bytes:
        """Give the whole state as a JSON document."""
        return json.dumps(self.collect(), indent=1, sort_keys=True).encode()

    def install_signal(self) -> None:
        """Write the state to standard error on SIGUSR1."""
        signal.signal(signal.SIGUSR1, self._on_signal)

    def _on_signal(self, _signum: int, _frame: object) -> None:
        sys.stderr.write(self.to_json().decode() + "\n")
        sys.stderr.flush()


def _collect(part: Callable[[], Any]) -> Any:
    try:
        return jsonable(part())
    except Exception as exc:
        return {"error": repr(exc)}


__all__ = ["StateDump"]
