"""One ask of a holder, from the call to the release."""

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
    """How far an ask has come."""

    WAITING = "waiting"
    RUNNING = "running"


@dataclass(slots=True, eq=False)
class PermitRequest:
    """One ask that waits, or whose permit is in use.

    :param since: when the ask was made
    :param cell: the cell that it was sent to
    :param owner: the member that it was sent to; empty while there is none
    :param sent_at: when the ask was last sent
    :param refused_at: when it was first refused by a member that owns not
    :param local: whether it runs by the holder's own share
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
        """Whether the work is online work."""
        return self.ask.work_class is WorkClass.ONLINE

    @property
    def resend_s(self) -> float:
        """Seconds after which an ask without an answer is sent again."""
        return ONLINE_RESEND_S if self.online else BATCH_RESEND_S

    @property
    def waiting(self) -> bool:
        """Whether there is no answer yet."""
        return self.state is RequestState.WAITING

    @property
    def urgent(self) -> bool:
        """Whether online work waits for the answer."""
        return self.waiting and self.online

    def message(self, now: float) -> Ask:
        """Give the ask as it is sent now, or tell of the permit in use."""
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
