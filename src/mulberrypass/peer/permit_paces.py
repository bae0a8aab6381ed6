"""What a holder knows of the lasting paces of backend servers."""

from __future__ import annotations

from dataclasses import dataclass

from mulberrypass.policy.health.lasting_paces import HINT_AGE_S
from mulberrypass.policy.messages import PaceReport

# An owner that takes a report tells the pace in its next grants; it doesn't
# take one of a server that came back under its name.
REJECTED_AFTER_S = 1.0


@dataclass(slots=True)
class _Pace:
    pace: float
    told_at: float
    reported_to: str = ""
    reported_at: float = 0.0


class KnownPaces:
    """Lasting paces by backend server, to tell them to a new owner."""

    def __init__(self) -> None:
        self._paces: dict[str, _Pace] = {}

    def note(self, backend: str, pace: float, now: float) -> None:
        """Record what an owner tells.

        An owner without own samples repeats a report, which makes it no
        younger.
        """
        known = self._paces.get(backend)
        if known is not None and known.pace == pace:
            known.reported_to = ""
        else:
            self._paces[backend] = _Pace(pace, now)

    def report(
        self, owner: str, backend: str, now: float
    ) -> PaceReport | None:
        """Return a report to an owner that knows no pace of a server.

        An owner gets it once; the pace is dropped if it isn't taken.
        """
        known = self._current(backend, now)
        if known is None:
            return None
        if known.reported_to == owner:
            if now - known.reported_at >= REJECTED_AFTER_S:
                del self._paces[backend]
            return None
        known.reported_to = owner
        known.reported_at = now
        return PaceReport(backend, known.pace, now - known.told_at)

    def reports(self, now: float) -> list[PaceReport]:
        """Return reports of all known paces."""
        found = ((n, self._current(n, now)) for n in tuple(self._paces))
        return [
            PaceReport(name, known.pace, now - known.told_at)
            for name, known in found
            if known is not None
        ]

    def _current(self, backend: str, now: float) -> _Pace | None:
        known = self._paces.get(backend)
        if known is not None and now - known.told_at >= HINT_AGE_S:
            del self._paces[backend]
            return None
        return known


__all__ = ["KnownPaces", "REJECTED_AFTER_S"]
