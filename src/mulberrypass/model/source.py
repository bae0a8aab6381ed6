"""Where the parts of a process read the configuration in force."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from mulberrypass.model.objects import Configuration


class ConfigurationSource(ABC):
    """The configuration in force in this process; it never goes back."""

    @abstractmethod
    def current(self) -> Configuration:
        """Give the configuration in force; generation 0 before the first."""

    @abstractmethod
    def subscribe(self, changed: Callable[[Configuration], None]) -> None:
        """Call with each newer configuration, on the source's thread."""


__all__ = ["ConfigurationSource"]
