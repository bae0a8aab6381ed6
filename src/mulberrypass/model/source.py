"""Interface for reading the configuration in force."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from mulberrypass.model.objects import Configuration


class ConfigurationSource(ABC):
    """The configuration in force in this process.

    Its generation never decreases.
    """

    @abstractmethod
    def current(self) -> Configuration:
        """Return the configuration in force; generation 0 before the first."""

    @abstractmethod
    def subscribe(self, changed: Callable[[Configuration], None]) -> None:
        """Register a callback for newer configurations.

        It is called on the thread of the source.
        """


__all__ = ["ConfigurationSource"]
