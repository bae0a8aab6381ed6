"""An online request and the events of its execution."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from mulberrypass.model.value_class import value_class

if TYPE_CHECKING:
    from mulberrypass.model.objects import Customer, Route, Service
    from mulberrypass.model.outcome import Ran


@value_class
class Call:
    """An accepted or recovered online request.

    :param deadline: monotonic time in seconds
    :param route: route of a model service, which names the version
    :param payload: prompt of a model service, or any JSON value
    """

    request_id: str
    customer: Customer
    service: Service
    payload: Any
    max_tokens: int
    deadline: float
    stream: bool = False
    route: Route | None = None


@value_class
class StreamedTokens:
    """Tokens of the answer to stream to the caller.

    :param offset: index of the first token in the whole answer
    """

    offset: int
    tokens: tuple[str, ...]


@value_class
class Completed:
    """The complete answer.

    :param output: text of a model service, or result of a plain service
    :param tokens: number of tokens generated; 0 for a plain service
    :param backend: name of the backend server that answered
    :param recorded: whether the answer is durable
    """

    output: Any
    finish_reason: str
    tokens: int
    backend: str
    recorded: bool = False


@value_class
class Failed:
    """The request ended without an answer.

    :param status: HTTP status for the caller
    :param code: stable error code
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
