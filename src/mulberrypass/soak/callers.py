"""Callers of a run, each on a thread of its own."""

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
    BATCH_PATH,
    ONCE_PATH,
    ONLINE_HOST,
    RESUMABLE_PATH,
)
from mulberrypass.soak.records import Attempt, JobRecord

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from mulberrypass.soak.records import Records
    from mulberrypass.soak.world import Instance

TIMEOUT_S = 6.0
RESOLVE_TIMEOUT_S = 1.0
KEPT_S = 1.5
PAUSE_S = 0.12
ITEMS = 6
TRIES = 8
ACCEPTED = 202
OK = 200
SETTLE_S = 1.0
CANCELLED = 0.15
READ_PAUSE_S = 0.3


class Callers:
    """What all callers share: where the instances are, and the records."""

    def __init__(
        self, instances: Sequence[Instance], records: Records, seed: int
    ) -> None:
        self.instances = instances
        self.records = records
        self.seed = seed
        self.stop_online = threading.Event()
        self.stop_batch = threading.Event()
        self._threads: list[threading.Thread] = []

    def start(self, online: int, batch: int) -> None:
        """Start the threads of all callers."""
        for number in range(online):
            self._start(_OnlineCaller(self, number).run)
        for number in range(batch):
            self._start(_BatchCaller(self, number).run)

    def join(self) -> None:
        """Wait until all callers have ended."""
        for thread in self._threads:
            thread.join()

    def _start(self, work: Callable[[], None]) -> None:
        thread = threading.Thread(target=work, daemon=True)
        self._threads.append(thread)
        thread.start()


class _Addresses:
    """Where one caller connects: it asks, and keeps the answer a while."""

    def __init__(self, callers: Callers, rng: random.Random) -> None:
        self._callers = callers
        self._rng = rng
        self._found: tuple[int, ...] = ()
        self._until = 0.0

    def choose(self) -> Instance:
        """Choose an instance."""
        now = time.monotonic()
        if now >= self._until:
            self._found = self._ask() or self._found
            self._until = now + KEPT_S
        numbers = self._found or tuple(range(len(self._callers.instances)))
        return self._callers.instances[self._rng.choice(numbers)]

    def _ask(self) -> tuple[int, ...]:
        instances = self._callers.instances
        for asked in self._rng.sample(list(instances), len(instances)):
            caller = SiteCaller(asked.directory, RESOLVE_TIMEOUT_S)
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
    """Sends one request after the other, on connections that it keeps."""

    def __init__(self, callers: Callers, number: int) -> None:
        self._callers = callers
        self._number = number
        self._rng = random.Random(f"{callers.seed}-online-{number}")
        self._addresses = _Addresses(callers, self._rng)
        self._kept: dict[int, SiteCaller] = {}

    def run(self) -> None:
        """Send until told to stop."""
        count = 0
        while not self._callers.stop_online.wait(PAUSE_S):
            count += 1
            self._send(f"o{self._number}-{count}")
        for caller in self._kept.values():
            caller.close()

    def _send(self, request_id: str) -> None:
        instance = self._addresses.choose()
        caller = self._kept.pop(instance.number, None)
        if caller is None:
            at = HostPort(instance.front.host, instance.front.port)
            caller = SiteCaller(at, TIMEOUT_S)
        repeatable = self._rng.random() < 0.5
        path = RESUMABLE_PATH if repeatable else ONCE_PATH
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
            self._kept[instance.number] = caller
        self._callers.records.add(
            Attempt(
                request_id,
                instance.number,
                began,
                time.monotonic(),
                answer.status,
                answer.body,
                answer.stamped,
                repeatable,
                reason,
            )
        )


class _BatchCaller:
    """Hands jobs in one after the other, and reads them to their end."""

    def __init__(self, callers: Callers, number: int) -> None:
        self._callers = callers
        self._number = number
        self._rng = random.Random(f"{callers.seed}-batch-{number}")
        self._addresses = _Addresses(callers, self._rng)

    def run(self) -> None:
        """Hand in until told to stop; what was handed in is read on."""
        count = 0
        while not self._callers.stop_online.is_set():
            count += 1
            name = f"j{self._number}-{count}"
            items = tuple(f"{name}.{number}" for number in range(ITEMS))
            job = JobRecord(name, items)
            self._callers.records.open_job(job)
            self._follow(job)
            job.ended = True

    def _follow(self, job: JobRecord) -> None:
        self._hand_in(job)
        if job.accepted_at is None:
            return
        if self._rng.random() < CANCELLED:
            self._cancel(job)
        self._read(job)

    def _caller(self) -> SiteCaller:
        return SiteCaller(self._addresses.choose().front, TIMEOUT_S)

    def _hand_in(self, job: JobRecord) -> None:
        """Hand a job in until it is accepted, each time elsewhere."""
        stop = self._callers.stop_batch
        for _ in range(TRIES):
            if stop.is_set():
                return
            caller = self._caller()
            try:
                status = caller.submit(
                    BATCH_HOST, BATCH_PATH, job.job_id, job.items
                )
            except CallFailedError:
                status = 0
            finally:
                caller.close()
            job.statuses.append(status)
            if status == ACCEPTED:
                job.accepted_at = time.monotonic()
                job.late = stop.is_set()
                return
            time.sleep(READ_PAUSE_S)

    def _cancel(self, job: JobRecord) -> None:
        time.sleep(self._rng.uniform(0.0, READ_PAUSE_S))
        while not self._callers.stop_batch.is_set():
            caller = self._caller()
            try:
                status = caller.cancel(BATCH_HOST, job.job_id)
            except CallFailedError:
                status = 0
            finally:
                caller.close()
            if status == OK:
                job.cancelled_at = time.monotonic()
                return
            time.sleep(READ_PAUSE_S)

    def _read(self, job: JobRecord) -> None:
        """Read until all is listed; now and then from the start again."""
        ended = job.cancelled_at is not None
        left = 3 if ended else None
        while not self._callers.stop_batch.wait(READ_PAUSE_S):
            again = self._rng.random() < 0.2
            self._read_from(job, 0 if again else len(job.seen))
            if left is not None:
                left -= 1
            if len(job.seen) == len(job.items) or left == 0:
                self._read_from(job, 0)
                return

    def _read_from(self, job: JobRecord, after: int) -> None:
        caller = self._caller()
        try:
            page = caller.results(BATCH_HOST, job.job_id, after)
        except CallFailedError:
            return
        finally:
            caller.close()
        now = time.monotonic()
        if page is None:
            assert job.accepted_at is not None
            if now > job.accepted_at + SETTLE_S:
                job.missing.append((now, "no such job"))
            return
        if page.total != len(job.items):
            job.moved.append(f"total {page.total}")
        for position, result in enumerate(page.results, after):
            before = job.seen.setdefault(position, result)
            if before != result:
                job.moved.append(f"position {position} holds another result")


__all__ = ["Callers"]
