"""Decides which jobs of lost holders this member takes over."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from mulberrypass.policy.batches import heads as policy

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator

    from mulberrypass.model.batch_jobs import JobHead, JobKey

# Time that a starting member needs to learn of the others, from the first
# that it meets.
MEMBERSHIP_SETTLE_S = 2.5
# Time after which a member that has met no other is the only one: the list of
# instances may be read at the third attempt, at most 3.6 s apart.
ALONE_SETTLE_S = 8.0
# How long a job's holder must be unknown before the job is taken over.
TAKEOVER_DELAY_S = 1.0


@dataclass(slots=True)
class Members:
    """The membership view of this member.

    :param live: members that may hold jobs
    :param known: members not known to be dead, including leaving ones
    """

    live: frozenset[str]
    known: frozenset[str]


class Takeover:
    """Finds jobs whose holder is lost and whose successor is this member.

    :param me: name of this member
    :param members: returns the current membership view
    :param clock: monotonic seconds
    """

    def __init__(
        self,
        me: str,
        members: Callable[[], Members],
        clock: Callable[[], float],
    ) -> None:
        self._me = me
        self._members = members
        self._clock = clock
        self._started_at = clock()
        self._met_at: float | None = None
        self._missing_since: dict[JobKey, float] = {}

    def due(self, heads: Iterable[JobHead]) -> Iterator[JobHead]:
        """Yield the heads to claim; the claims in between may take long."""
        if not self._is_settled():
            return
        now = self._clock()
        members = self._members()
        for head in heads:
            successor = _successor(head, members)
            if successor is None:
                self._missing_since.pop(head.key, None)
                continue
            since = self._missing_since.setdefault(head.key, now)
            if successor != self._me or now - since < TAKEOVER_DELAY_S:
                continue
            if self.may_claim(head):
                yield head

    def may_claim(self, head: JobHead) -> bool:
        """Return whether this member is the successor by the newest view."""
        return _successor(head, self._members()) == self._me

    def _is_settled(self) -> bool:
        """Return whether this member has had time to learn of the others.

        After a loss of power of all, the heads of jobs may be read long
        before the list of instances: all holders then look lost.
        """
        now = self._clock()
        if self._met_at is None and self._members().known - {self._me}:
            self._met_at = now
        if self._met_at is None:
            return now - self._started_at >= ALONE_SETTLE_S
        return now - self._met_at >= MEMBERSHIP_SETTLE_S


def _successor(head: JobHead, members: Members) -> str | None:
    return policy.next_holder(head, members.live, members.known)


__all__ = ["Members", "Takeover"]
