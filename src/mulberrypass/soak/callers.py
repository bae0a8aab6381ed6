"""Online and batch callers of a soak run, one thread each."""

from __future__ import annotations

import random
import threading
import time
from typing import TYPE_CHECKING

from mulberrypass.platform.site import HostPort
from mulberrypass.platform.stand_in.caller import (
    CallFailedError,
    CallResult,
    SiteCaller,
)
from mulberrypass.platform.stand_in.site import (
    BATCH_HOST,
    ONCE_PATH,
    ONLINE_HOST,
    RESUMABLE_PATH,
)
from mulberrypass.soak.customers import (
    HOT,
    Customers,
    Identity,
    unknown_key,
)
from mulberrypass.soak.records import AttemptRecord, JobRecord
from mulberrypass.soak.strangers import intrude, submit_job

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from mulberrypass.soak.cluster import Instance
    from mulberrypass.soak.records import SoakRecords

REQUEST_TIMEOUT_S = 6.0
RESOLVE_TIMEOUT_S = 1.0
ADDRESS_TTL_S = 1.5
REQUEST_INTERVAL_S = 0.12
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
# Rhythms of the callers that keep to one connection, from nearly always busy
# to idle for most of a stop.
KEPT_INTERVALS_S = (0.02, 0.4, 1.3, 2.9)
# In a hot moment about 30 requests per second beside the usual 8; the limit
# is 9.
HOT_CALLERS = 6
HOT_INTERVAL_S = 0.05
UNAUTHORIZED = 401


class Callers:
    """Starts the callers; holds the instances, records and stop events."""

    def __init__(
        self,
        instances: Sequence[Instance],
        records: SoakRecords,
        seed: int,
        customers: Customers | None = None,
    ) -> None:
        self.instances = instances
        self.records = records
        self.seed = seed
        self.customers = customers
        self.stop_online = threading.Event()
        self.stop_batch = threading.Event()
        self._threads: list[threading.Thread] = []

    def start(self, online: int, batch: int) -> None:
        """Start the given numbers of online and batch callers."""
        for number in range(online):
            self._start(_OnlineCaller(self, number).run)
        for number in range(len(KEPT_INTERVALS_S)):
            self._start(_KeptCaller(self, number).run)
        for number in range(batch):
            self._start(_BatchCaller(self, number).run)
        if self.customers is not None:
            for number in range(HOT_CALLERS):
                self._start(_HotCaller(self, number, self.customers).run)

    def customer_of(self, number: int) -> str:
        """Return the customer of a caller; empty for none."""
        names = self.customers.names if self.customers else ("",)
        return names[number % len(names)]

    def join(self) -> None:
        """Wait for all caller threads to end."""
        for thread in self._threads:
            thread.join()

    def _start(self, target: Callable[[], None]) -> None:
        thread = threading.Thread(target=target, daemon=True)
        self._threads.append(thread)
        thread.start()


class _AddressCache:
    """Resolves instances and caches the result for ``ADDRESS_TTL_S``."""

    def __init__(self, callers: Callers, rng: random.Random) -> None:
        self._callers = callers
        self._rng = rng
        self._numbers: tuple[int, ...] = ()
        self._expires_at = 0.0

    def choose(self) -> Instance:
        """Choose a random resolved instance; any instance if none is known."""
        now = time.monotonic()
        if now >= self._expires_at:
            self._numbers = self._resolve() or self._numbers
            self._expires_at = now + ADDRESS_TTL_S
        numbers = self._numbers or tuple(range(len(self._callers.instances)))
        return self._callers.instances[self._rng.choice(numbers)]

    def _resolve(self) -> tuple[int, ...]:
        instances = self._callers.instances
        for instance in self._rng.sample(list(instances), len(instances)):
            caller = SiteCaller(instance.directory, RESOLVE_TIMEOUT_S)
            try:
                found = caller.resolve("zone-0")
            except CallFailedError:
                continue
            finally:
                caller.close()
            hosts = {address.rpartition(":")[0] for address in found}
            return tuple(i.number for i in instances if i.address in hosts)
        return ()


class _OnlineCaller:
    """Sends requests one at a time over persistent connections."""

    def __init__(self, callers: Callers, number: int) -> None:
        self._callers = callers
        self._number = number
        self._rng = random.Random(f"{callers.seed}-online-{number}")
        self._addresses = _AddressCache(callers, self._rng)
        self._connections: dict[int, SiteCaller] = {}

    def run(self) -> None:
        """Send requests until ``stop_online`` is set."""
        count = 0
        while not self._callers.stop_online.wait(REQUEST_INTERVAL_S):
            count += 1
            self._send(f"o{self._number}-{count}")
        for caller in self._connections.values():
            caller.close()

    def _send(self, request_id: str) -> None:
        self._send_to(self._addresses.choose(), request_id)

    def _send_to(self, instance: Instance, request_id: str) -> None:
        caller = self._connections.pop(instance.number, None)
        if caller is None:
            at = HostPort(instance.front.host, instance.front.port)
            caller = SiteCaller(at, REQUEST_TIMEOUT_S)
        resumable = self._rng.random() < 0.5
        path = RESUMABLE_PATH if resumable else ONCE_PATH
        identity = self._identity()
        caller.identify(identity.key, identity.claimed)
        began = time.monotonic()
        answer = CallResult(0, b"", False, True)
        reason = ""
        try:
            answer = caller.request(ONLINE_HOST, path, request_id)
        except CallFailedError as exc:
            reason = str(exc)
        if answer.will_close:
            caller.close()
        else:
            self._connections[instance.number] = caller
        self._callers.records.add_attempt(
            AttemptRecord(
                request_id,
                instance.number,
                began,
                time.monotonic(),
                answer.status,
                answer.body,
                answer.stamped,
                resumable,
                reason,
                identity.customer,
                identity.held,
            )
        )
        self._answered(answer.status)

    def _identity(self) -> Identity:
        customers = self._callers.customers
        if customers is None:
            return Identity()
        return customers.draw(
            self._callers.customer_of(self._number), self._rng
        )

    def _answered(self, status: int) -> None:
        """Take note of the status of an answer."""


class _HotCaller(_OnlineCaller):
    """Sends without a pause in hot moments."""

    def __init__(
        self, callers: Callers, number: int, customers: Customers
    ) -> None:
        super().__init__(callers, number)
        self._customers = customers
        self._rng = random.Random(f"{callers.seed}-hot-{number}")

    def run(self) -> None:
        """Send requests in hot moments until ``stop_online`` is set."""
        count = 0
        while not self._callers.stop_online.wait(HOT_INTERVAL_S):
            if self._customers.hot.is_set():
                count += 1
                self._send(f"h{self._number}-{count}")
        for caller in self._connections.values():
            caller.close()

    def _identity(self) -> Identity:
        return self._customers.identity(HOT, self._rng)


class _KeptCaller(_OnlineCaller):
    """Keeps to one connection, listed or not, until it is closed.

    Keeps to its key until that is refused, so that keys are withdrawn on
    connections that are kept open.
    """

    def __init__(self, callers: Callers, number: int) -> None:
        super().__init__(callers, number)
        self._kept: Identity | None = None

    def _identity(self) -> Identity:
        customers = self._callers.customers
        if self._kept is None and customers is not None:
            # The busiest of them isn't of the customer with hot moments.
            customer = self._callers.customer_of(self._number + 1)
            self._kept = customers.identity(customer, self._rng)
        return self._kept or Identity()

    def _answered(self, status: int) -> None:
        if status == UNAUTHORIZED:
            self._kept = None

    def run(self) -> None:
        """Send requests in its rhythm until ``stop_online`` is set."""
        interval_s = KEPT_INTERVALS_S[self._number]
        count = 0
        while not self._callers.stop_online.wait(interval_s):
            count += 1
            kept = next(iter(self._connections), None)
            instance = (
                self._addresses.choose()
                if kept is None
                else self._callers.instances[kept]
            )
            self._send_to(instance, f"k{self._number}-{count}")
        for caller in self._connections.values():
            caller.close()


class _BatchCaller:
    """Submits batch jobs one at a time and polls each to its end."""

    def __init__(self, callers: Callers, number: int) -> None:
        self._callers = callers
        self._number = number
        self._rng = random.Random(f"{callers.seed}-batch-{number}")
        self._addresses = _AddressCache(callers, self._rng)
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


__all__ = ["JOB_VISIBLE_S", "REQUEST_TIMEOUT_S", "Callers", "read_page"]
