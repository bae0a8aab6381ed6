"""Calls to the owners and deputies of customers' limits, by datagram."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING

from mulberrypass.peer.datagrams import Kind
from mulberrypass.peer.peer_pb2 import QuotaReply, QuotaRequest

if TYPE_CHECKING:
    from collections.abc import Callable

    from mulberrypass.peer.datagrams import Address, HeartbeatDatagrams

# Replies take 2 to 5 ms across zones.
RESEND_S = 0.05
TIMEOUT_S = 0.12
# Replies are kept for longer than any datagram of a call may be under way.
REPLY_KEPT_S = 2.0

_Call = tuple["Address", int]


class QuotaCalls:
    """Asks other instances for tokens, and answers them.

    Used on the peer loop only. Each datagram is authenticated as heartbeats
    are. A repeated call ID gets the first reply again, so that a resent
    request lends nothing twice.

    :param answer: decides on a request; ``None`` to send no reply
    """

    def __init__(
        self,
        datagrams: HeartbeatDatagrams,
        answer: Callable[[QuotaRequest], QuotaReply | None],
        clock: Callable[[], float],
    ) -> None:
        self._datagrams = datagrams
        self._answer = answer
        self._clock = clock
        self._pending: dict[int, asyncio.Future[QuotaReply | None]] = {}
        self._replies: dict[_Call, bytes] = {}
        self._replied: deque[tuple[float, _Call]] = deque()
        self.sent = 0
        datagrams.register(Kind.QUOTA_REQUEST, self._receive_request)
        datagrams.register(Kind.QUOTA_REPLY, self._receive_reply)

    async def call(
        self, to: Address, req: QuotaRequest, timeout_s: float = TIMEOUT_S
    ) -> QuotaReply | None:
        """Ask an instance, and ask again under the same call ID.

        :returns: the reply, or ``None`` if none has come in time
        """
        data = req.SerializeToString()
        call_id = self._datagrams.new_call_id()
        loop = asyncio.get_running_loop()
        reply: asyncio.Future[QuotaReply | None] = loop.create_future()
        self._pending[call_id] = reply
        ends_at = loop.time() + timeout_s
        try:
            while (left_s := ends_at - loop.time()) > 0:
                self._send(to, Kind.QUOTA_REQUEST, call_id, data)
                wait_s = min(left_s, RESEND_S)
                await asyncio.wait((reply,), timeout=wait_s)
                if reply.done():
                    return reply.result()
            return None
        finally:
            del self._pending[call_id]

    def _receive_request(
        self, call_id: int, message: bytes, addr: Address
    ) -> None:
        self._forget_replies()
        call = addr, call_id
        data = self._replies.get(call)
        if data is None:
            reply = self._answer(QuotaRequest.FromString(message))
            if reply is None:
                return
            data = reply.SerializeToString()
            self._replies[call] = data
            self._replied.append((self._clock(), call))
        self._send(addr, Kind.QUOTA_REPLY, call_id, data)

    def _receive_reply(
        self, call_id: int, message: bytes, _addr: Address
    ) -> None:
        reply = QuotaReply.FromString(message)
        waiting = self._pending.get(call_id)
        if waiting is not None and not waiting.done():
            waiting.set_result(reply)

    def _forget_replies(self) -> None:
        before = self._clock() - REPLY_KEPT_S
        while self._replied and self._replied[0][0] < before:
            del self._replies[self._replied.popleft()[1]]

    def _send(
        self, to: Address, kind: Kind, call_id: int, data: bytes
    ) -> None:
        self.sent += 1
        self._datagrams.send(to, kind, call_id, data)


__all__ = ["QuotaCalls", "RESEND_S", "TIMEOUT_S"]
