"""Removal of expired jobs."""

from __future__ import annotations

import itertools
import random
import threading
from typing import TYPE_CHECKING

from mulberrypass.jobs.rows import (
    EXPIRY_PREFIX,
    TABLE,
    customer_prefix,
    intent_prefix,
    job_key,
    lot_key,
    manifest_key,
)
from mulberrypass.model.store import (
    MAX_TRANSACTION_OPS,
    Always,
    Delete,
    Missing,
)
from mulberrypass.policy.jobs.lots import LotKey
from mulberrypass.policy.rendezvous import pick
from mulberrypass.runtime.logs import get_logger

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator

    from mulberrypass.jobs.reading import JobReader
    from mulberrypass.jobs.rows import JobRow, LotRow
    from mulberrypass.model.store import Objects, Table

LOG = get_logger(__name__)
SWEEP_INTERVAL_S = 300.0
DELETES_PER_TRANSACTION = MAX_TRANSACTION_OPS // 2


class ExpirySweeper:
    """Removes expired jobs, which are divided among processes by hash.

    The row that lists a job's expiry is deleted last, so that a later sweep
    completes a removal that a crash interrupted.

    :param members: returns the names of the processes that share the work
    :param wall: returns the Unix time in seconds
    """

    def __init__(
        self,
        own: str,
        table: Table,
        objects: Objects,
        reader: JobReader,
        members: Callable[[], Iterable[str]],
        wall: Callable[[], float],
    ) -> None:
        self._own = own
        self._table = table
        self._objects = objects
        self._reader = reader
        self._members = members
        self._wall = wall
        self._stop = threading.Event()
        self._thread = threading.Thread(
            target=self._loop, name="job-expiry", daemon=True
        )

    def start(self) -> None:
        """Start the thread that sweeps periodically."""
        self._thread.start()

    def stop(self) -> None:
        """Stop before the next removal."""
        self._stop.set()

    def sweep(self) -> int:
        """Remove expired jobs that hash to this process; return the number."""
        removed = 0
        members = tuple(self._members())
        for key, job in self._expired():
            if self._stop.is_set():
                break
            if pick(job, members) == self._own and self._remove(key, job):
                removed += 1
        return removed

    def _loop(self) -> None:
        while not self._stop.wait(random.uniform(0.5, 1.0) * SWEEP_INTERVAL_S):
            try:
                removed = self.sweep()
            except Exception:
                LOG.exception("sweep of expired jobs failed")
                continue
            if removed:
                LOG.info("expired jobs removed", jobs=removed)

    def _expired(self) -> Iterator[tuple[str, str]]:
        page = self._table.scan(TABLE, EXPIRY_PREFIX)
        if page.is_error():
            return
        now = self._wall()
        for row in page.ok.rows:
            _, expires, job = row.key.split("/")
            if float(expires) > now:
                return
            yield row.key, job

    def _remove(self, expiry: str, job: str) -> bool:
        found = self._reader.job(job)
        if found.is_error():
            return False
        if found.ok is None:
            return self._delete([expiry])
        lots = self._reader.lots(job)
        if lots.is_error():
            return False
        complete = all(
            self._remove_lot(found.ok, number, lots.ok.get(number))
            for number in range(len(found.ok.lots))
        )
        listing_key = f"{customer_prefix(found.ok.customer)}{job}"
        return complete and self._delete([job_key(job), listing_key, expiry])

    def _remove_lot(
        self, job: JobRow, number: int, lot: LotRow | None
    ) -> bool:
        key = LotKey(job.job, number)
        objects = [manifest_key(job.job, number, job.lots[number].digest)]
        rows = []
        if lot is not None:
            objects.extend(chunk.key for chunk in lot.chunks)
            intents = self._reader.scan(intent_prefix(key))
            if intents.is_error():
                return False
            rows = [*(row.key for row in intents.ok), lot_key(key)]
        gone = all(self._delete_object(name) for name in objects)
        return gone and self._delete(rows)

    def _delete_object(self, key: str) -> bool:
        done = self._objects.delete(key)
        return done.is_ok() or isinstance(done.error, Missing)

    def _delete(self, keys: list[str]) -> bool:
        rest = iter(keys)
        while batch := tuple(itertools.islice(rest, DELETES_PER_TRANSACTION)):
            ops = tuple(Delete(TABLE, key, Always()) for key in batch)
            if self._table.transact(ops).is_error():
                return False
        return True


__all__ = ["ExpirySweeper"]
