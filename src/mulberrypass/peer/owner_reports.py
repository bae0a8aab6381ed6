"""What a holder tells the owners of cells about their backend servers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from mulberrypass.peer.permit_limits import KnownLimits
from mulberrypass.peer.permit_paces import KnownPaces
from mulberrypass.policy.messages import LimitReport

if TYPE_CHECKING:
    from collections.abc import Iterator

    from mulberrypass.policy.messages import Grant, PaceReport


class OwnerReports:
    """Learns from grants what a new owner doesn't know yet."""

    def __init__(self) -> None:
        self.limits = KnownLimits()
        self.paces = KnownPaces()

    def on_grant(
        self, owner: str, grant: Grant, now: float
    ) -> Iterator[LimitReport | PaceReport]:
        """Learn from a grant, or tell an owner that is new to its server."""
        known = self.limits.per_s(grant.backend, now)
        if grant.limit_per_s > 0:
            self.limits.note(grant.backend, grant.limit_per_s, now)
        elif known > 0:
            yield LimitReport("", grant.backend, known)
        if grant.pace > 0:
            self.paces.note(grant.backend, grant.pace, now)
            return
        report = self.paces.report(owner, grant.backend, now)
        if report is not None:
            yield report

    def for_new_owner(self, now: float) -> Iterator[LimitReport | PaceReport]:
        """Return all that is known; the owner may be new to its cells."""
        for backend, per_s in self.limits.current(now).items():
            yield LimitReport("", backend, per_s)
        yield from self.paces.reports(now)


__all__ = ["OwnerReports"]
