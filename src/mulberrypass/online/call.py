"""One online request, and what its course can give."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from mulberrypass.model.objects import Customer, Route, Service
    from mulberrypass.model.outcome import Ran


@dataclass(frozen=True, slots=True)
class Call:
    """One accepted or recovered online request.

    :param deadline: on the monotonic clock, in seconds
    :param route: version that a model service was routed to
    :param payload: the prompt of a model service, or any JSON value
    """

    request_id: str
    customer: Customer
    service: Service
    payload: Any
    max_tokens: int
    deadline: float
    stream: bool = False
    route: Route | None = None


@dataclass(frozen=True, slots=True)
class StreamedTokens:
    """Tokens of the answer that may be shown to the caller now."""

    offset: int
    tokens: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Completed:
    """The whole answer.

    :param output: text of a model service, or a plain service's result
    :param tokens: tokens generated; 0 for a plain service
    :param backend: backend server that gave the answer
    :param recorded: whether the answer is durable
    """

    output: Any
    finish_reason: str
    tokens: int
    backend: str
    recorded: bool = False


@dataclass(frozen=True, slots=True)
class Failed:
    """The request ended without an answer.

    :param status: HTTP status that tells the caller
    :param code: stable name of the kind of error
    :param ran: whether the work ran
    """

    status: int
    code: str
    detail: str
    ran: Ran
    retry_after_s: float | None = None


CallEvent = StreamedTokens | Completed | Failed
Outcome = Completed | Failed

__all__ = [
    "Call",
    "CallEvent",
    "Completed",
    "Failed",
    "Outcome",
    "StreamedTokens",
]
