"""A holder's permit request, from the call to the release."""

from __future__ import annotations

from dataclasses import dataclass, replace
import enum
from typing import TYPE_CHECKING

from mulberrypass.policy.messages import WorkClass

if TYPE_CHECKING:
    from collections.abc import Callable
    from concurrent.futures import Future

    from mulberrypass.policy.admission.cells import CellKey
    from mulberrypass.policy.messages import Ask, Grant, Refuse

ONLINE_RESEND_S = 1.0
BATCH_RESEND_S = 15.0


class RequestState(enum.Enum):
    """Whether a request waits for its permit or runs with it."""

    WAITING = "waiting"
    RUNNING = "running"


@dataclass(slots=True, eq=False)
class PermitRequest:
    """A request that waits, or whose permit is in use.

    :param created_at: time of the call
    :param cell: the cell that the request was sent to
    :param owner: the member that it was sent to, or empty
    :param sent_at: time at which it was last sent
    :param refused_at: time of the first refusal by a member that is not
        the owner
    :param local: whether it runs on a slot of the local share
    :param prefilled: whether the first token was reported
    :param revoked: whether ``on_revoke`` was called
    """

    ask: Ask
    answer: Future[Grant | Refuse]
    on_revoke: Callable[[], None]
    created_at: float
    deadline: float
    state: RequestState = RequestState.WAITING
    cell: CellKey | None = None
    owner: str = ""
    sent_at: float = 0.0
    refused_at: float | None = None
    backend: str = ""
    local: bool = False
    prefilled: bool = False
    revoked: bool = False

    @property
    def online(self) -> bool:
        """Whether the request is for online work."""
        return self.ask.work_class is WorkClass.ONLINE

    @property
    def resend_s(self) -> float:
        """Seconds after which a request without an answer is resent."""
        return ONLINE_RESEND_S if self.online else BATCH_RESEND_S

    @property
    def waiting(self) -> bool:
        """Whether there is no answer yet."""
        return self.state is RequestState.WAITING

    @property
    def urgent(self) -> bool:
        """Whether online work waits for an answer."""
        return self.waiting and self.online

    def message(self, now: float) -> Ask:
        """Return the request to send now, or the report of a permit in use.

        After the first token no prefill is left: the report counts all
        tokens as output tokens.
        """
        budget_s = max(0.0, self.deadline - now)
        pool = self.cell.name if self.cell else self.ask.pool
        ask = replace(self.ask, pool=pool, budget_s=budget_s)
        if self.waiting:
            return ask
        if not self.prefilled:
            return replace(ask, granted=self.backend)
        tokens = ask.prompt_tokens + ask.output_tokens
        return replace(
            ask, granted=self.backend, prompt_tokens=0, output_tokens=tokens
        )


__all__ = ["RequestState", "PermitRequest"]
