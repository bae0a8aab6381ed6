"""State dump of a process, over HTTP or on a signal."""

from __future__ import annotations

import json
import signal
import sys
from typing import TYPE_CHECKING, Any

from mulberrypass.model.jsonable import jsonable
from mulberrypass.runtime.logs import get_logger

if TYPE_CHECKING:
    from collections.abc import Callable

LOG = get_logger(__name__)


class StateDump:
    """Collects the state of a process's components as one JSON document."""

    def __init__(self) -> None:
        self._providers: dict[str, Callable[[], Any]] = {}

    def register(self, name: str, provider: Callable[[], Any]) -> None:
        """Add a component.

        :param provider: returns the component's state as data classes,
            mappings, sequences and scalars; called on any thread
        """
        self._providers[name] = provider

    def collect(self) -> dict[str, Any]:
        """Return the state of each component, or the error of getting it."""
        return {
            name: _collect(provider)
            for name, provider in self._providers.items()
        }

    def to_json(self) -> bytes:
        """Return the whole state as a JSON document."""
        return json.dumps(self.collect(), indent=1, sort_keys=True).encode()

    def install_signal(self) -> None:
        """Write the state to standard error on SIGUSR1."""
        signal.signal(signal.SIGUSR1, self._on_signal)

    def _on_signal(self, _signum: int, _frame: object) -> None:
        """Write the state; an error here would end the main thread."""
        try:
            sys.stderr.write(self.to_json().decode() + "\n")
            sys.stderr.flush()
        except OSError as exc:
            LOG.warning("state not written", reason=str(exc))


def _collect(provider: Callable[[], Any]) -> Any:
    try:
        return jsonable(provider())
    except Exception as exc:
        return {"error": repr(exc)}


__all__ = ["StateDump"]
