"""Which whole answers of engines may be handed on to callers."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING

from mulberrypass.engine.api import EngineFailed
from mulberrypass.engine.wire import CUT, WireError
from mulberrypass.model.outcome import Ran

if TYPE_CHECKING:
    from mulberrypass.relay.api import EngineHead

# Statuses that promise a caller that its request has not run.
NOT_RUN_STATUSES = frozenset(
    {
        HTTPStatus.REQUEST_TIMEOUT,
        HTTPStatus.MISDIRECTED_REQUEST,
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.SERVICE_UNAVAILABLE,
    }
)


def check_whole(
    head: EngineHead, size: int, may_repeat: bool, begun: bool
) -> None:
    """Check that a complete answer may be forwarded.

    :param size: bytes of its body
    :param may_repeat: whether the request may run again
    :param begun: whether the caller has the head of another answer
    :raises WireError: if it may not
    """
    if not size and head.ends_with_connection and head.is_success:
        # Nothing else shows that it ended too early.
        raise WireError(CUT)
    status = head.status
    if status in NOT_RUN_STATUSES:
        # The engine doesn't say so itself.
        reason = f"engine answered {status}"
        raise WireError(EngineFailed(reason, Ran.MAYBE, status=status))
    if status >= HTTPStatus.INTERNAL_SERVER_ERROR and may_repeat:
        reason = f"engine answered {status}"
        raise WireError(EngineFailed(reason, Ran.YES, status=status))
    if begun:
        raise WireError(EngineFailed(f"status {status}", Ran.YES))


__all__ = ["NOT_RUN_STATUSES", "check_whole"]
