"""Infers from the crashes of engines which requests cause them.

A request that comes again, with the same caller, method, target and body,
crashes each engine that begins to run it, so that no answer to it begins.
"""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

from mulberrypass.model.value_class import value_class

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from mulberrypass.policy.health.crash import Crash

OFFSET_BYTES = 8
OFFSETS = float(1 << (8 * OFFSET_BYTES))
# Of the time until a trial; the longest first one is a site's ``RecoveryS``.
MAX_SPREAD = 0.5


@value_class
class RequestSettings:
    """Settings of the quarantine of requests.

    :param crashes: crashes that quarantine a request
    :param occasions: at how many moments they must have happened, as a lost
        rack may end several engines that run the same sound request
    :param coincidence_ms: crashes within this time are of one moment
    :param trial_after_s: least time after which a member lets the request
        run again, within a site's ``RecoveryS`` and ``FinishS``; doubles with
        each further crash
    :param no_trial_crashes: crashes after which none does; a site's users
        allow three requests after the third crash
    """

    crashes: int = 3
    occasions: int = 2
    coincidence_ms: int = 100
    trial_after_s: float = 8.0
    no_trial_crashes: int = 6


@value_class
class CrashingRequest:
    """A request that gets no engine, and the crashes that count against it.

    :param request: its digest
    :param services: those whose engines have crashed
    :param last_known_at: monotonic time of the last of these crashes
    :param trial_at: monotonic time from which it may run again; infinite if
        it may not
    """

    request: int
    services: frozenset[str]
    engines: tuple[str, ...]
    last_known_at: float
    trial_at: float


class CrashingRequests:
    """The requests with enough crashes, those of all services together.

    A route may lead to several services, and to another one tomorrow.

    :param known: crashes, and the monotonic times at which they became known
    :param member: name of this member; members try a request again at
        different times
    """

    def __init__(
        self,
        known: Iterable[tuple[Crash, float]],
        member: str,
        settings: RequestSettings | None = None,
    ) -> None:
        self._member = member
        self._settings = settings or RequestSettings()
        by_request: dict[int, list[tuple[Crash, float]]] = {}
        for crash, known_at in known:
            for request in crash.open_requests:
                found = by_request.setdefault(request, [])
                found.append((crash, known_at))
        self._found = {
            request: self._judge(request, crashes)
            for request, crashes in by_request.items()
            if self._are_enough([crash.at_ms for crash, _ in crashes])
        }

    def get(self, request: int) -> CrashingRequest | None:
        """Return a request with enough crashes, whether it is held or not."""
        return self._found.get(request)

    def held(self, request: int, now: float) -> CrashingRequest | None:
        """Return why a request may not run; ``None`` if it may."""
        found = self._found.get(request)
        return None if found is None or now >= found.trial_at else found

    def all_held(self, now: float) -> dict[tuple[str, int], CrashingRequest]:
        """Return the requests that may not run, by service and digest."""
        return {
            (service, request): found
            for request, found in self._found.items()
            if now < found.trial_at
            for service in found.services
        }

    def causes(self) -> dict[str, int]:
        """Return the request that explains a crash, by engine.

        Of several, the one that explains most crashes.
        """
        causes: dict[str, int] = {}
        for found in sorted(
            self._found.values(), key=lambda found: -len(found.engines)
        ):
            for engine in found.engines:
                causes.setdefault(engine, found.request)
        return causes

    def _are_enough(self, times_ms: Sequence[int]) -> bool:
        settings = self._settings
        if len(times_ms) < settings.crashes:
            return False
        moments = count_occasions(times_ms, settings.coincidence_ms)
        return moments >= settings.occasions

    def _judge(
        self, request: int, crashes: Sequence[tuple[Crash, float]]
    ) -> CrashingRequest:
        last_known_at = max(known_at for _, known_at in crashes)
        return CrashingRequest(
            request,
            frozenset(crash.service for crash, _ in crashes),
            tuple(crash.engine for crash, _ in crashes),
            last_known_at,
            last_known_at + self._hold_s(request, len(crashes)),
        )

    def _hold_s(self, request: int, crashes: int) -> float:
        settings = self._settings
        if crashes >= settings.no_trial_crashes:
            return float("inf")
        doublings: float = crashes - settings.crashes
        # Otherwise all members would claim the trial at once.
        spread = 1.0 + MAX_SPREAD * self._offset(request)
        hold_s: float = settings.trial_after_s * 2.0**doublings * spread
        return hold_s

    def _offset(self, request: int) -> float:
        """Return this member's share of the span in which members try."""
        text = f"{self._member}/{request}".encode()
        found = hashlib.blake2b(text, digest_size=OFFSET_BYTES).digest()
        return int.from_bytes(found) / OFFSETS


def count_occasions(times_ms: Iterable[int], coincidence_ms: int) -> int:
    """Count crashes, those that coincide with an earlier one once."""
    count = 0
    ends_ms = -1
    for at_ms in sorted(times_ms):
        if at_ms > ends_ms:
            count += 1
            ends_ms = at_ms + coincidence_ms
    return count


__all__ = [
    "CrashingRequest",
    "CrashingRequests",
    "RequestSettings",
    "count_occasions",
]
