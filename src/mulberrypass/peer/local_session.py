"""A holder's session with the cell owner in its own process."""

from __future__ import annotations

from typing import TYPE_CHECKING

from mulberrypass.peer.permit_session import OwnerSession, expects_reply

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from mulberrypass.peer.loop import LoopThread
    from mulberrypass.peer.owner import CellOwner
    from mulberrypass.peer.owner_events import HolderSession, OwnerReply
    from mulberrypass.policy.messages import HolderMessage


class LocalSession(OwnerSession):
    """Exchanges messages with the owner's thread, without a socket."""

    def __init__(
        self,
        me: str,
        owner_thread: CellOwner,
        loop: LoopThread,
        clock: Callable[[], float],
        on_reply: Callable[[OwnerSession, OwnerReply], None],
        on_open: Callable[[OwnerSession], None],
    ) -> None:
        super().__init__(me, clock, on_reply, on_open)
        self._owner_thread = owner_thread
        self._loop = loop
        self._session: HolderSession | None = None

    def start(self) -> None:
        """Connect to the owner."""
        self._session = self._owner_thread.connect(self.owner, self._deliver)
        self.handle_open()

    def stop(self) -> None:
        """Disconnect from the owner."""
        self.open = False
        if self._session is not None:
            self._owner_thread.disconnect(self._session)

    def send(self, messages: Iterable[HolderMessage]) -> None:
        """Put messages into the owner's inbox."""
        if self._session is not None:
            batch = list(messages)
            self._owner_thread.receive(self._session, batch)
            if expects_reply(batch):
                self.expect_reply()

    def _deliver(self, reply: OwnerReply) -> None:
        self._loop.call(self.handle_reply, reply)


__all__ = ["LocalSession"]
