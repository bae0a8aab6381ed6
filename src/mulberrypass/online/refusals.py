"""Maps permit refusals and engine failures to outcomes."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING

from mulberrypass.model.outcome import Ran
from mulberrypass.online.call import Failed
from mulberrypass.policy.messages import RefusalReason

if TYPE_CHECKING:
    from mulberrypass.engine.api import EngineFailed
    from mulberrypass.policy.messages import Refuse

NO_BACKEND_RETRY_S = 1.0
STORE_RETRY_S = 1.0

_STATUS = {
    RefusalReason.DEADLINE: HTTPStatus.SERVICE_UNAVAILABLE,
    RefusalReason.QUEUE_FULL: HTTPStatus.SERVICE_UNAVAILABLE,
    RefusalReason.CUSTOMER_LIMIT: HTTPStatus.TOO_MANY_REQUESTS,
    RefusalReason.NO_BACKEND: HTTPStatus.SERVICE_UNAVAILABLE,
    RefusalReason.NOT_OWNER: HTTPStatus.SERVICE_UNAVAILABLE,
    RefusalReason.DRAINING: HTTPStatus.SERVICE_UNAVAILABLE,
}

_DETAIL = {
    RefusalReason.DEADLINE: "the deadline can't be met at the present load",
    RefusalReason.QUEUE_FULL: "the queue of the service is full",
    RefusalReason.CUSTOMER_LIMIT: "the customer's quota is used up",
    RefusalReason.NO_BACKEND: "no backend server can take the request",
    RefusalReason.NOT_OWNER: "the owner of the engines is changing",
    RefusalReason.DRAINING: "the instance is being stopped",
}


def from_refusal(refusal: Refuse, ran: Ran) -> Failed:
    """Return the outcome of a refused permit request."""
    return Failed(
        _STATUS[refusal.reason],
        refusal.reason.value,
        _DETAIL[refusal.reason],
        ran,
        refusal.retry_after_s,
    )


def from_engine(failed: EngineFailed, ran: Ran) -> Failed:
    """Return the outcome of a failure on a backend server."""
    if failed.permanent:
        status = HTTPStatus.UNPROCESSABLE_ENTITY
        return Failed(status, "rejected", failed.reason, Ran.YES)
    status = HTTPStatus.BAD_GATEWAY
    return Failed(status, "backend_failed", failed.reason, ran)


def expired(ran: Ran) -> Failed:
    """Return the outcome of a request past its deadline."""
    return Failed(
        HTTPStatus.GATEWAY_TIMEOUT,
        "timeout",
        "the request's deadline has passed",
        ran,
    )


def caller_left(ran: Ran) -> Failed:
    """Return the outcome of a request whose caller disconnected."""
    return Failed(
        HTTPStatus.REQUEST_TIMEOUT, "caller_left", "the caller left", ran
    )


def backend_removed(backend: str) -> Failed:
    """Return the outcome if the backend server is no longer configured."""
    return Failed(
        HTTPStatus.SERVICE_UNAVAILABLE,
        "no_backend",
        f"backend server {backend!r} has left the configuration",
        Ran.NO,
        NO_BACKEND_RETRY_S,
    )


def start_not_durable() -> Failed:
    """Return the outcome if the start marker can't be stored."""
    return Failed(
        HTTPStatus.SERVICE_UNAVAILABLE,
        "store_unavailable",
        "the request's start can't be made durable now",
        Ran.NO,
        STORE_RETRY_S,
    )


def fenced() -> Failed:
    """Return the outcome if another instance holds the request."""
    return Failed(
        HTTPStatus.CONFLICT,
        "fenced",
        "another instance has taken the request over",
        Ran.MAYBE,
    )


def indeterminate() -> Failed:
    """Return the outcome if the holder was lost after the start."""
    return Failed(
        HTTPStatus.BAD_GATEWAY,
        "indeterminate",
        "the instance was lost while the request may have run",
        Ran.MAYBE,
    )


def internal_error() -> Failed:
    """Return the outcome of an unexpected exception."""
    return Failed(
        HTTPStatus.INTERNAL_SERVER_ERROR,
        "internal",
        "the system met a fault of its own",
        Ran.MAYBE,
    )


__all__ = [
    "STORE_RETRY_S",
    "backend_removed",
    "caller_left",
    "expired",
    "fenced",
    "from_engine",
    "from_refusal",
    "indeterminate",
    "internal_error",
    "start_not_durable",
]
