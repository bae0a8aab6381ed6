"""All sessions of a holder with cell owners."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from mulberrypass.peer.local_session import LocalSession
from mulberrypass.peer.permit_routes import OWNER_PROGRAM
from mulberrypass.peer.permit_session import OwnerSession, StreamSession

if TYPE_CHECKING:
    from collections.abc import Callable, Collection
    import ssl

    from mulberrypass.model.member import Member
    from mulberrypass.peer.api import Membership
    from mulberrypass.peer.loop import LoopThread
    from mulberrypass.peer.owner import CellOwner
    from mulberrypass.peer.owner_events import OwnerReply
    from mulberrypass.policy.messages import HolderMessage


class OwnerSessionRegistry:
    """Opens a connection to each owner on first use."""

    def __init__(
        self,
        me: Member,
        loop: LoopThread,
        membership: Membership,
        local: CellOwner | None,
        key: str,
        clock: Callable[[], float],
        port: Callable[[Member], int],
        tls: ssl.SSLContext | None,
    ) -> None:
        self._me = me
        self._loop = loop
        self._membership = membership
        self._local = local
        self._key = key
        self._clock = clock
        self._port = port
        self._tls = tls
        self._sessions: dict[str, OwnerSession] = {}
        self._pending: dict[str, list[HolderMessage]] = {}
        self._stopped = False
        self.on_reply: Callable[[OwnerSession, OwnerReply], None]
        self.on_open: Callable[[OwnerSession], None]

    def get(self, owner: str) -> OwnerSession | None:
        """Return the session with a live owner, opened on first use."""
        session = self._sessions.get(owner)
        if session is None and owner and not self._stopped:
            session = self._create(owner)
            if session is not None:
                self._sessions[owner] = session
                session.start()
        return session

    def send(self, owner: str, message: HolderMessage) -> None:
        """Queue a message for the next flush, if the owner is connected.

        Otherwise it is dropped: all requests and permits of an owner are
        sent when its connection opens.
        """
        session = self.get(owner)
        if session is not None and session.open:
            self._pending.setdefault(owner, []).append(message)

    def flush(self) -> None:
        """Send all queued messages, batched by owner."""
        pending, self._pending = self._pending, {}
        for owner, messages in pending.items():
            session = self._sessions.get(owner)
            if session is not None:
                session.send(messages)

    def check_liveness(
        self,
        owners: Collection[str],
        now: float,
        ping_s: float,
        reconnect_s: float,
    ) -> None:
        """Ping idle owners, and reconnect to those that don't reply.

        :param owners: owners with requests or permits of this holder
        :param ping_s: idle time after which to ping
        :param reconnect_s: time without a reply after which to reconnect
        """
        for owner in owners:
            session = self._sessions.get(owner)
            if session is None or not session.open:
                continue
            quiet_s = now - session.sent_at
            if session.silent_since is None and quiet_s > ping_s:
                session.send(())
            elif session.silent_s(now) > reconnect_s:
                session.reconnect()

    def close_stale(self) -> None:
        """Close sessions with members that are dead or changed address."""
        members = self._membership.members(OWNER_PROGRAM)
        addresses = {member.name: member.address for member in members}
        for owner, session in list(self._sessions.items()):
            if not session.address:
                continue
            if session.address != addresses.get(owner):
                self._close(owner)

    def stop(self) -> None:
        """Close all sessions."""
        self._stopped = True
        for session in self._sessions.values():
            session.stop()
        self._sessions.clear()

    def state(self) -> dict[str, Any]:
        """Return whether each owner is connected, and for how long silent."""
        now = self._clock()
        return {
            owner: {"open": s.open, "silent_s": round(s.silent_s(now), 3)}
            for owner, s in self._sessions.items()
        }

    def _close(self, owner: str) -> None:
        self._sessions.pop(owner).stop()
        self._pending.pop(owner, None)

    def _create(self, owner: str) -> OwnerSession | None:
        if owner == self._me.name and self._local is not None:
            return LocalSession(
                owner,
                self._local,
                self._loop,
                self._clock,
                self._on_reply,
                self._on_open,
            )
        for member in self._membership.members(OWNER_PROGRAM):
            if member.name == owner:
                return StreamSession(
                    self._me,
                    member,
                    self._port(member),
                    self._key,
                    self._clock,
                    self._on_reply,
                    self._on_open,
                    self._tls,
                )
        return None

    def _on_reply(self, session: OwnerSession, reply: OwnerReply) -> None:
        if self._sessions.get(session.owner) is session:
            self.on_reply(session, reply)

    def _on_open(self, session: OwnerSession) -> None:
        self.on_open(session)


__all__ = ["OwnerSessionRegistry"]
