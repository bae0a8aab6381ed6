"""Log lines of one request that is forwarded."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Any

from mulberrypass.relay.api import digest_name, framing, part_names
from mulberrypass.relay.streams import IN_DOUBT
from mulberrypass.runtime.logs import get_logger

if TYPE_CHECKING:
    from mulberrypass.engine.api import EngineFailed
    from mulberrypass.relay.api import EngineAnswer, RelayRequest
    from mulberrypass.relay.permits import HeldPermit

LOG = get_logger(__name__)
MS_PER_S = 1_000


class RequestLog:
    """Writes what happens to a request.

    :param route: name of its route
    :param started_at: when it came, in monotonic seconds
    """

    def __init__(
        self, req: RelayRequest, digest: int, route: str, started_at: float
    ) -> None:
        self._names = {"id": req.request_id, "request": digest_name(digest)}
        self._route = route
        self._parts = part_names(req.shared_parts)
        self._started_at = started_at

    def not_placed(self, reason: str, **facts: Any) -> None:
        """Write that the request gets no engine, or no further one."""
        self._write("not placed", route=self._route, reason=reason, **facts)

    def attempt_failed(
        self,
        failed: EngineFailed,
        permit: HeldPermit,
        answer: EngineAnswer | None,
        shown: int | None,
        left: bool,
    ) -> None:
        """Write why an attempt failed, or that its end is in doubt.

        :param shown: number of the last event that the caller has
        :param left: whether the caller has left
        """
        if failed is IN_DOUBT and shown is not None:
            self._in_doubt(permit, answer, shown)
            return
        self._write(
            "attempt failed",
            engine=permit.engine.name,
            reason=failed.reason,
            ran=failed.ran.value,
            status=failed.status,
            shown=shown,
            **framing(answer),
            parts=self._parts,
            left=left,
        )

    def _in_doubt(
        self, permit: HeldPermit, answer: EngineAnswer | None, event: int
    ) -> None:
        """Write after which event a run has ended that may not be whole."""
        self._write(
            "end in doubt",
            route=self._route,
            engine=permit.engine.name,
            event_number=event,
            **framing(answer),
        )

    def answered(
        self,
        permit: HeldPermit,
        answer: EngineAnswer | None,
        events: int,
        attempts: int,
        proof: str,
    ) -> None:
        """Write that the answer is complete.

        :param proof: what shows that its end is one
        """
        first_ms = None
        if permit.first_at is not None:
            first_ms = self._after_ms(permit.first_at)
        self._write(
            "answered",
            route=self._route,
            engine=permit.engine.name,
            queued_ms=round(permit.queued_s * MS_PER_S),
            first_ms=first_ms,
            events=events,
            attempts=attempts,
            proof=proof,
            **framing(answer),
            parts=self._parts,
        )

    def _write(self, event: str, **facts: Any) -> None:
        age_ms = self._after_ms(time.monotonic())
        LOG.info(event, **self._names, **facts, age_ms=age_ms)

    def _after_ms(self, at: float) -> int:
        return round((at - self._started_at) * MS_PER_S)


__all__ = ["RequestLog"]
