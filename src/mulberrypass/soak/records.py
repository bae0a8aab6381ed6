"""Records of the requests, jobs and disturbances of a run.

All times are monotonic seconds.
"""

from __future__ import annotations

from dataclasses import dataclass, field
import threading

from mulberrypass.model.value_class import value_class

# Kinds of disturbance that must not interrupt requests.
STOP = "stop"
RELOAD = "reload"
MOVE = "move of the routes"


@value_class
class AttemptRecord:
    """One request of a caller.

    :param instance: number of the instance it was sent to
    :param status: 0 if no complete answer was received
    :param stamped: whether the answer has an engine's response stamp
    :param resumable: whether it may run more than once
    :param reason: why no complete answer was received
    :param customer: holder of its key; empty if it has none
    :param held: whether any configuration ever held its key
    """

    request_id: str
    instance: int
    began: float
    ended: float
    status: int
    body: bytes = b""
    stamped: bool = False
    resumable: bool = False
    reason: str = ""
    customer: str = ""
    held: bool = True


@dataclass(slots=True)
class JobRecord:
    """One job of a caller.

    :param statuses: status of each submission; 0 for no answer
    :param results: id, state and output by position, as first read
    :param inconsistencies: changes between reads of the results
    :param cancelled_at: when the cancellation was acknowledged
    :param not_found: times at which the job was not found, and the answer
    :param accepted_late: whether it was accepted after polling had stopped
    :param done: whether its caller has finished with it
    :param customer: who submitted it; empty if it is no customer's
    :param held: whether any configuration ever held its submitter's key
    :param strangers: calls of others that were not refused
    """

    job_id: str
    items: tuple[str, ...]
    statuses: list[int] = field(default_factory=list)
    results: dict[int, tuple[str, str, str]] = field(default_factory=dict)
    inconsistencies: list[str] = field(default_factory=list)
    accepted_at: float | None = None
    cancelled_at: float | None = None
    not_found: list[tuple[float, str]] = field(default_factory=list)
    accepted_late: bool = False
    done: bool = False
    customer: str = ""
    held: bool = True
    strangers: list[str] = field(default_factory=list)


@dataclass(slots=True)
class SoakRecords:
    """Requests and jobs of a run. Thread-safe."""

    attempts: list[AttemptRecord] = field(default_factory=list)
    jobs: list[JobRecord] = field(default_factory=list)
    lock: threading.Lock = field(default_factory=threading.Lock)

    def add_attempt(self, attempt: AttemptRecord) -> None:
        """Add an attempt."""
        with self.lock:
            self.attempts.append(attempt)

    def add_job(self, job: JobRecord) -> None:
        """Add a job."""
        with self.lock:
            self.jobs.append(job)

    def count_accepted(self) -> int:
        """Count the jobs that have been accepted."""
        with self.lock:
            return sum(job.accepted_at is not None for job in self.jobs)

    def all_done(self) -> bool:
        """Return whether no caller still submits or polls a job."""
        with self.lock:
            return all(job.done for job in self.jobs)


@value_class
class Violation:
    """One violation of a guarantee.

    :param subject: id of the request or job, engine or instance
    """

    guarantee: str
    subject: str
    detail: str


@value_class
class Disturbance:
    """A fault, start, stop or reload that may affect requests.

    :param planned: whether it must not interrupt requests
    :param instance: number of the instance to stop or reload; ``None`` for
        others
    """

    kind: str
    began: float
    ended: float
    planned: bool
    instance: int | None = None


@value_class
class ReloadRecord:
    """A SIGHUP to an instance that was running and not stopping.

    :param until: when its log was looked at
    :param taken: whether it had logged the signal
    """

    instance: int
    at: float
    until: float
    taken: bool


@value_class
class DrainPeriod:
    """Period during which an engine was leaving.

    :param until: when its entry was removed
    """

    engine: str
    at: float
    until: float


@value_class
class Departure:
    """Period during which an engine said in its answers that it leaves.

    :param until: when it had another id
    """

    engine: str
    at: float
    until: float


@value_class
class Halt:
    """Period during which an instance was stopped, killed or paused."""

    instance: int
    began: float
    ended: float


__all__ = [
    "RELOAD",
    "STOP",
    "AttemptRecord",
    "Departure",
    "DrainPeriod",
    "Halt",
    "JobRecord",
    "ReloadRecord",
    "SoakRecords",
    "Disturbance",
    "Violation",
]
