"""Interfaces of the peer package: membership and permits."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable
    from concurrent.futures import Future

    from mulberrypass.model.member import Member
    from mulberrypass.policy.messages import (
        Ask,
        Grant,
        PermitMessage,
        Refuse,
    )


class Membership(ABC):
    """The members known to this process."""

    @abstractmethod
    def members(self, program: str) -> tuple[Member, ...]:
        """Return the members of a program that are not known to be dead."""

    @abstractmethod
    def live(self, program: str) -> tuple[Member, ...]:
        """Return the members that are alive and not leaving, by name."""

    @abstractmethod
    def leaving_backends(self) -> frozenset[str]:
        """Return the backend servers that any source reports as leaving."""

    @abstractmethod
    def report_leaving_backend(self, backend: str) -> None:
        """Report to all members that a backend server is leaving."""

    @abstractmethod
    def subscribe(self, changed: Callable[[], None]) -> None:
        """Register a callback for changes, run on the membership's thread."""


class PermitClient(ABC):
    """Requests permits from the owners of pool cells. Thread-safe."""

    @abstractmethod
    def ask(
        self, ask: Ask, on_revoke: Callable[[], None]
    ) -> Future[Grant | Refuse]:
        """Request a permit.

        The future never fails: while the owner is unreachable, online work
        gets a local grant and batch work keeps waiting.

        :param on_revoke: called at most once, on the client's thread
        """

    @abstractmethod
    def tell(self, message: PermitMessage) -> None:
        """Report the use of a permit to its owner; never blocks."""


__all__ = ["Membership", "PermitClient"]
