"""Reads what is left of an answer that doesn't count."""

from __future__ import annotations

from typing import TYPE_CHECKING

from mulberrypass.engine.wire import MAX_ERROR_BYTES, WireError

if TYPE_CHECKING:
    from mulberrypass.engine.wire import Deadline
    from mulberrypass.relay.api import EngineAnswer

# Such a body comes with its head. Waiting longer costs the request more than
# a new connection.
SKIP_TIMEOUT_S = 0.05


def skip_rest(answer: EngineAnswer, deadline: Deadline) -> bool:
    """Read the rest of an answer, so that its connection can be reused.

    :returns: whether the body is no larger than that of a refusal
    """
    size = 0
    try:
        until = deadline.within(SKIP_TIMEOUT_S)
        while size <= MAX_ERROR_BYTES:
            data = answer.read_some(until)
            if not data:
                return True
            size += len(data)
    except WireError:
        return True
    return False


def ends_at_head(answer: EngineAnswer, deadline: Deadline) -> bool:
    """Return whether the connection ends right behind the head.

    An engine that crashes ends its connections like this.
    """
    try:
        data = answer.read_some(deadline.within(SKIP_TIMEOUT_S))
    except WireError as exc:
        return exc.failed.closed
    return not data and answer.head.ends_with_connection


__all__ = ["ends_at_head", "skip_rest"]
