"""Finishes recorded requests whose holder is lost."""

from __future__ import annotations

import threading
import time
from typing import TYPE_CHECKING

import xxhash

from mulberrypass.online.call import Call
from mulberrypass.policy.online.recovery import (
    PendingRequest,
    is_sweeper,
    orphans,
)
from mulberrypass.policy.placement.canary import route_version
from mulberrypass.runtime.logs import get_logger

if TYPE_CHECKING:
    from mulberrypass.model.member import Member
    from mulberrypass.model.source import ConfigurationSource
    from mulberrypass.online.recorded import RecordedRuns
    from mulberrypass.online.records import Record, Records
    from mulberrypass.peer.api import Membership

LOG = get_logger(__name__)
SWEEP_S = 2.0
LOST_AFTER_S = 4.0
UNSURE_S = 60.0
EXPIRE_S = 300.0


class Sweeper:
    """A thread that looks for requests whose holder is lost.

    Only a few members sweep, so that reads don't grow with the fleet.
    """

    def __init__(
        self,
        me: Member,
        membership: Membership,
        configuration: ConfigurationSource,
        records: Records,
        runs: RecordedRuns,
    ) -> None:
        self._me = me
        self._membership = membership
        self._configuration = configuration
        self._records = records
        self._runs = runs
        self._lost_since: dict[str, float] = {}
        self._unsure_since: dict[str, float] = {}
        self._expire_at = 0.0
        self._stop = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name="sweeper", daemon=True
        )

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """End the thread."""
        self._stop.set()

    def _run(self) -> None:
        while not self._stop.wait(SWEEP_S):
            now = time.monotonic()
            try:
                self.sweep(now)
                self.remove_expired(now)
            except Exception:
                LOG.exception("sweep failed")

    def sweep(self, now: float) -> int:
        """Look once; the number of requests taken over.

        :param now: monotonic time in seconds
        """
        own = sum(self._reconcile(key, now) for key in self._runs.unsure())
        return own + self._sweep_lost(now)

    def _reconcile(self, request_id: str, now: float) -> bool:
        """Run a request that is held here by a write without a reply."""
        since = self._unsure_since.setdefault(request_id, now)
        found = self._records.read(request_id)
        if found.is_error():
            return False
        record = found.ok
        if record is None and now - since < UNSURE_S:
            return False
        self._unsure_since.pop(request_id, None)
        if record is None or not self._records.holds(record):
            self._runs.forget(request_id)
            return False
        if record.outcome is not None:
            self._runs.forget(request_id)
            return False
        return self._take_over(request_id)

    def _sweep_lost(self, now: float) -> int:
        live = self._membership.live(self._me.program)
        if not is_sweeper(self._me.name, [m.name for m in live]):
            self._lost_since.clear()
            return 0
        known = self._membership.members(self._me.program)
        incarnations = {m.name: m.incarnation for m in known}
        claims = [
            PendingRequest(*pending) for pending in self._records.pending()
        ]
        lost = orphans(claims, incarnations)
        self._lost_since = {
            request_id: self._lost_since.get(request_id, now)
            for request_id in lost
        }
        ripe = [
            request_id
            for request_id, since in self._lost_since.items()
            if now - since >= LOST_AFTER_S
        ]
        return sum(self._take_over(request_id) for request_id in ripe)

    def remove_expired(self, now: float) -> int:
        """Remove outcomes kept for their time, now and then.

        :param now: monotonic time in seconds
        """
        live = [m.name for m in self._membership.live(self._me.program)]
        if now < self._expire_at or not is_sweeper(self._me.name, live):
            return 0
        self._expire_at = now + EXPIRE_S
        return self._records.remove_expired()

    def _take_over(self, request_id: str) -> bool:
        if self._runs.full():
            return False
        found = self._records.read(request_id)
        if found.is_error() or found.ok is None:
            return False
        call = self._call(found.ok)
        if call is None:
            LOG.error("service or customer is gone", request_id=request_id)
            return False
        LOG.info(
            "taking over request",
            request_id=request_id,
            lost_holder=found.ok.holder,
        )
        return self._runs.recover(call, found.ok)

    def _call(self, record: Record) -> Call | None:
        cfg = self._configuration.current()
        service = cfg.services.get(record.service)
        customer = cfg.customers.get(record.customer)
        if service is None or customer is None:
            return None
        return Call(
            request_id=record.request_id,
            customer=customer,
            service=service,
            payload=record.payload,
            max_tokens=record.max_tokens,
            deadline=time.monotonic() + service.max_timeout_ms / 1_000,
            route=route_version(
                service,
                customer,
                xxhash.xxh3_64_intdigest(record.request_id.encode()),
            ),
        )


__all__ = ["Sweeper"]
