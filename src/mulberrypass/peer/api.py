"""What the system's own processes ask of one another."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable
    from concurrent.futures import Future

    from mulberrypass.model.member import Member
    from mulberrypass.policy.messages import (
        Ask,
        FirstToken,
        Grant,
        Refuse,
        Release,
        Withdraw,
    )


class Membership(ABC):
    """The members that this process knows of."""

    @abstractmethod
    def members(self, program: str) -> tuple[Member, ...]:
        """Give members of a program that are not known to be dead."""

    @abstractmethod
    def live(self, program: str) -> tuple[Member, ...]:
        """Give members that are alive and not leaving, by name."""

    @abstractmethod
    def leaving_backends(self) -> frozenset[str]:
        """Give backend servers that any source has said to be leaving."""

    @abstractmethod
    def report_leaving_backend(self, backend: str) -> None:
        """Spread that a backend server is leaving."""

    @abstractmethod
    def subscribe(self, changed: Callable[[], None]) -> None:
        """Call after each change, on the membership's thread."""


class PermitClient(ABC):
    """Asks the owners of pool cells for permits. Safe on any thread."""

    @abstractmethod
    def ask(
        self, ask: Ask, on_revoke: Callable[[], None]
    ) -> Future[Grant | Refuse]:
        """Ask for a permit.

        The future never fails: an owner that can't be reached gives a
        local grant to online work and keeps batch work waiting.

        :param on_revoke: called at most once, on the client's thread
        """

    @abstractmethod
    def tell(self, message: Withdraw | FirstToken | Release) -> None:
        """Tell the owner that gave a permit of its use; never blocks."""


__all__ = ["Membership", "PermitClient"]
