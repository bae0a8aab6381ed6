"""The server side of holders' permit streams."""

from __future__ import annotations

import asyncio
from functools import partial
from typing import TYPE_CHECKING

from mulberrypass.peer.permit_codec import decode_holder, encode_owner_batch
from mulberrypass.peer.permit_outbox import Outbox
from mulberrypass.peer.server import PermitsHandler
from mulberrypass.runtime.logs import get_logger

if TYPE_CHECKING:
    from grpclib.server import Stream

    from mulberrypass.peer.owner import CellOwner
    from mulberrypass.peer.owner_events import OwnerReply
    import mulberrypass.peer.peer_pb2 as pb

LOG = get_logger(__name__)


class PermitStreams(PermitsHandler):
    """Passes messages between holders' streams and the cell owner."""

    def __init__(self, owner: CellOwner) -> None:
        self._owner = owner

    async def permits(
        self, stream: Stream[pb.HolderBatch, pb.OwnerBatch]
    ) -> None:
        """Serve one holder's stream until it ends."""
        batch = await stream.recv_message()
        if batch is None or not batch.holder:
            return
        holder = batch.holder
        outbox: Outbox[OwnerReply] = Outbox()
        loop = asyncio.get_running_loop()
        session = self._owner.connect(
            holder, partial(_post_reply, loop, outbox)
        )
        sender = loop.create_task(outbox.run(partial(_send_replies, stream)))
        try:
            while batch is not None:
                decoded = (decode_holder(m, holder) for m in batch.messages)
                messages = [m for m in decoded if m is not None]
                self._owner.receive(session, messages)
                batch = await stream.recv_message()
        finally:
            sender.cancel()
            self._owner.disconnect(session)


def _post_reply(
    loop: asyncio.AbstractEventLoop,
    outbox: Outbox[OwnerReply],
    reply: OwnerReply,
) -> None:
    try:
        loop.call_soon_threadsafe(outbox.put, (reply,))
    except RuntimeError:
        LOG.info("loop closed before a reply was sent")


async def _send_replies(
    stream: Stream[pb.HolderBatch, pb.OwnerBatch], replies: list[OwnerReply]
) -> None:
    messages = [m for reply in replies for m in reply.messages]
    await stream.send_message(encode_owner_batch(messages, replies[-1].loads))


__all__ = ["PermitStreams"]
