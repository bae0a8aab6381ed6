"""Batch callers of a soak run."""

from __future__ import annotations

import random
import time
from typing import TYPE_CHECKING

from mulberrypass.platform.stand_in.caller import CallFailedError, SiteCaller
from mulberrypass.platform.stand_in.site import BATCH_HOST
from mulberrypass.soak.addresses import AddressCache
from mulberrypass.soak.customers import unknown_key
from mulberrypass.soak.records import JobRecord
from mulberrypass.soak.strangers import intrude, submit_job

if TYPE_CHECKING:
    from mulberrypass.soak.callers import Callers

REQUEST_TIMEOUT_S = 6.0
ITEMS_PER_JOB = 6
MAX_SUBMIT_ATTEMPTS = 8
ACCEPTED = 202
OK = 200
# Time within which every instance knows of an accepted job.
JOB_VISIBLE_S = 1.0
CANCEL_PROBABILITY = 0.15
STRANGER_PROBABILITY = 0.25
RESEND_PROBABILITY = 0.2
# Would say that an accepted job is another or unknown.
CONFLICTS = (404, 409)
POLL_INTERVAL_S = 0.3


class BatchCaller:
    """Submits batch jobs one at a time and polls each to its end."""

    def __init__(self, callers: Callers, number: int) -> None:
        self._callers = callers
        self._number = number
        self._rng = random.Random(f"{callers.seed}-batch-{number}")
        self._addresses = AddressCache(callers.instances, self._rng)
        self._customer = callers.customer_of(number)

    def run(self) -> None:
        """Submit jobs until ``stop_online`` is set; finish the last one."""
        count = 0
        while not self._callers.stop_online.is_set():
            count += 1
            name = f"j{self._number}-{count}"
            items = tuple(
                f"{name}.{number}" for number in range(ITEMS_PER_JOB)
            )
            job = JobRecord(name, items, customer=self._customer)
            self._callers.records.add_job(job)
            self._run_job(job)
            job.done = True

    def _run_job(self, job: JobRecord) -> None:
        self._submit_unknown(job.job_id)
        self._submit(job)
        if job.accepted_at is None:
            return
        self._resend(job)
        if self._rng.random() < CANCEL_PROBABILITY:
            self._cancel(job)
        self._poll_results(job)

    def _connect(self) -> SiteCaller:
        """Return a caller with any key of the customer."""
        caller = SiteCaller(self._addresses.choose().front, REQUEST_TIMEOUT_S)
        customers = self._callers.customers
        if customers is not None:
            identity = customers.identity(self._customer, self._rng)
            caller.identify(identity.key)
        return caller

    def _resend(self, job: JobRecord) -> None:
        """Submit an accepted job again with any key of its customer."""
        if self._rng.random() < RESEND_PROBABILITY:
            status = submit_job(self._connect(), job)
            if status in CONFLICTS:
                job.inconsistencies.append(f"resent, answered {status}")

    def _submit_unknown(self, name: str) -> None:
        """Submit a job with a key that no configuration ever held."""
        if (
            self._callers.customers is None
            or self._rng.random() >= STRANGER_PROBABILITY
        ):
            return
        job = JobRecord(f"{name}u", (f"{name}u.0",), held=False, done=True)
        self._callers.records.add_job(job)
        caller = self._connect()
        caller.identify(unknown_key(self._rng), self._customer)
        job.statuses.append(submit_job(caller, job))

    def _intrude(self, job: JobRecord) -> None:
        """Read, end or resend a job with a key that may not."""
        customers = self._callers.customers
        if customers is None or self._rng.random() >= STRANGER_PROBABILITY:
            return
        key = self._rng.choice(
            (
                customers.other(job.customer, self._rng).key,
                unknown_key(self._rng),
            )
        )
        caller = self._connect()
        caller.identify(key, job.customer)
        intrude(caller, job, self._rng)

    def _submit(self, job: JobRecord) -> None:
        """Submit a job until accepted, ``MAX_SUBMIT_ATTEMPTS`` times at most.

        Each attempt chooses an instance anew.
        """
        stop = self._callers.stop_batch
        for _ in range(MAX_SUBMIT_ATTEMPTS):
            if stop.is_set():
                return
            status = submit_job(self._connect(), job)
            job.statuses.append(status)
            if status == ACCEPTED:
                job.accepted_at = time.monotonic()
                job.accepted_late = stop.is_set()
                return
            time.sleep(POLL_INTERVAL_S)

    def _cancel(self, job: JobRecord) -> None:
        time.sleep(self._rng.uniform(0.0, POLL_INTERVAL_S))
        while not self._callers.stop_batch.is_set():
            caller = self._connect()
            try:
                status = caller.cancel(BATCH_HOST, job.job_id)
            except CallFailedError:
                status = 0
            finally:
                caller.close()
            if status == OK:
                job.cancelled_at = time.monotonic()
                return
            time.sleep(POLL_INTERVAL_S)

    def _poll_results(self, job: JobRecord) -> None:
        """Poll until all results are listed, sometimes from the start.

        A cancelled job is polled three times at most.
        """
        cancelled = job.cancelled_at is not None
        polls_left = 3 if cancelled else None
        while not self._callers.stop_batch.wait(POLL_INTERVAL_S):
            from_start = self._rng.random() < 0.2
            self._intrude(job)
            self._read_page(job, 0 if from_start else len(job.results))
            if polls_left is not None:
                polls_left -= 1
            if len(job.results) == len(job.items) or polls_left == 0:
                self._read_page(job, 0)
                return

    def _read_page(self, job: JobRecord, after: int) -> None:
        read_page(self._connect(), job, after)


def read_page(
    caller: SiteCaller, job: JobRecord, after: int, settled: bool = False
) -> bool:
    """Read results of a job from a position on and note what is wrong.

    :param settled: whether each instance must know all that was ever read
    :returns: whether there was an answer
    """
    try:
        page = caller.results(BATCH_HOST, job.job_id, after)
    except CallFailedError:
        return False
    finally:
        caller.close()
    now = time.monotonic()
    if page is None:
        assert job.accepted_at is not None
        if settled:
            job.inconsistencies.append("no such job at the end")
        elif now > job.accepted_at + JOB_VISIBLE_S:
            job.not_found.append((now, "no such job"))
        return True
    if page.total != len(job.items):
        job.inconsistencies.append(f"total {page.total}")
    for position, result in enumerate(page.results, after):
        before = job.results.setdefault(position, result)
        if before != result:
            job.inconsistencies.append(
                f"position {position} holds another result"
            )
    if settled and after + len(page.results) < len(job.results):
        job.inconsistencies.append(
            f"{len(page.results)} results after {after} at the end, "
            f"{len(job.results)} were read before"
        )
    return True


__all__ = ["JOB_VISIBLE_S", "REQUEST_TIMEOUT_S", "BatchCaller", "read_page"]
