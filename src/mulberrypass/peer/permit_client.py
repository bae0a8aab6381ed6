"""Permit client that reaches cell owners over peer connections."""

from __future__ import annotations

from collections import deque
from concurrent.futures import Future
from dataclasses import replace
import time
from typing import TYPE_CHECKING, Any

from mulberrypass.peer.api import PermitClient
from mulberrypass.peer.permit_agent import PermitAgent
from mulberrypass.peer.permit_request import PermitRequest
from mulberrypass.peer.permit_routes import CellRoutes
from mulberrypass.peer.permit_session_registry import OwnerSessionRegistry
from mulberrypass.runtime.metrics import Metrics
from mulberrypass.runtime.ports import ENTRY_PEER_PORT

if TYPE_CHECKING:
    from collections.abc import Callable
    import ssl

    from mulberrypass.model.member import Member
    from mulberrypass.model.objects import Configuration
    from mulberrypass.model.source import ConfigurationSource
    from mulberrypass.peer.api import Membership
    from mulberrypass.peer.loop import LoopThread
    from mulberrypass.peer.owner import CellOwner
    from mulberrypass.policy.messages import (
        Ask,
        Grant,
        PermitMessage,
        Refuse,
    )

STATE_TIMEOUT_S = 2.0


def _entry_port(_member: Member) -> int:
    return ENTRY_PEER_PORT


class PeerPermitClient(PermitClient):
    """Passes calls from any thread to the agent on the peer loop.

    :param local: the cell owner in this process, if there is one
    :param key: the peer key
    :param port: returns the port of a member's peer server
    """

    def __init__(
        self,
        me: Member,
        loop: LoopThread,
        membership: Membership,
        configuration: ConfigurationSource,
        local: CellOwner | None,
        key: str,
        clock: Callable[[], float] = time.monotonic,
        metrics: Metrics | None = None,
        port: Callable[[Member], int] = _entry_port,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        self._me = me.name
        self._loop = loop
        self._membership = membership
        self._configuration = configuration
        self._clock = clock
        self._agent = PermitAgent(
            loop.loop,
            CellRoutes(me, membership, configuration),
            OwnerSessionRegistry(
                me, loop, membership, local, key, clock, port, tls
            ),
            clock,
            metrics or Metrics(me.program),
        )
        self._queue: deque[PermitRequest | PermitMessage] = deque()
        self._wake_scheduled = False

    def start(self) -> None:
        """Subscribe to changes of the membership and the configuration."""
        self._membership.subscribe(self._on_change)
        self._configuration.subscribe(self._on_configuration)

    def stop(self) -> None:
        """Close all connections to owners and refuse waiting requests."""
        self._loop.call(self._agent.stop)

    def ask(
        self, ask: Ask, on_revoke: Callable[[], None]
    ) -> Future[Grant | Refuse]:
        """Request a permit; the future never fails."""
        answer: Future[Grant | Refuse] = Future()
        if ask.holder != self._me:
            ask = replace(ask, holder=self._me)
        now = self._clock()
        deadline = now + ask.budget_s
        self._enqueue(PermitRequest(ask, answer, on_revoke, now, deadline))
        return answer

    def tell(self, message: PermitMessage) -> None:
        """Report the use of a permit to its owner; never blocks."""
        self._enqueue(message)

    def state(self) -> dict[str, Any]:
        """Return request counts, local permits, connections and cell loads."""
        state: Future[dict[str, Any]] = Future()
        self._loop.call(lambda: state.set_result(self._agent.state()))
        return state.result(STATE_TIMEOUT_S)

    def _enqueue(self, call: PermitRequest | PermitMessage) -> None:
        """Queue a call; the loop is woken once for all queued calls."""
        self._queue.append(call)
        if not self._wake_scheduled:
            self._wake_scheduled = True
            self._loop.call(self._process_calls)

    def _process_calls(self) -> None:
        self._wake_scheduled = False
        while self._queue:
            self._agent.handle(self._queue.popleft())
        self._agent.flush()

    def _on_change(self) -> None:
        self._loop.call(self._agent.reroute)

    def _on_configuration(self, _cfg: Configuration) -> None:
        self._on_change()


__all__ = ["PeerPermitClient"]
