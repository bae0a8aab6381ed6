"""When a member learnt of jobs and hand-overs, on its own steady clock."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from mulberrypass.model.batch_jobs import JobHead, JobKey


class JobTimes:
    """Times that don't depend on the clocks of other members.

    Each is at or after the event itself, so that a job isn't abandoned, and
    an item not run again, too early. All times are monotonic, in seconds.
    """

    def __init__(self) -> None:
        self._seen_at: dict[JobKey, float] = {}
        self._handed_at: dict[JobKey, float] = {}

    def note(self, known: JobHead | None, head: JobHead, now: float) -> None:
        """Record that a job's head has changed.

        :param known: the head known before; ``None`` for a new job
        """
        self._seen_at.setdefault(head.key, now)
        if known is None or _hand_over(known) != _hand_over(head):
            self._handed_at[head.key] = now

    def expires_at(self, head: JobHead) -> float:
        """Return from when the job's items may be abandoned."""
        return self._seen_at[head.key] + head.retention_s

    def since_hand_over(self, head: JobHead, now: float) -> float:
        """Return the time since the job was last handed over."""
        return now - self._handed_at[head.key]


def _hand_over(head: JobHead) -> tuple[str, float]:
    return head.busy_by, head.busy_for_s


__all__ = ["JobTimes"]
