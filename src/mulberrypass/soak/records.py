"""What callers and engines have seen in a run."""

from __future__ import annotations

from dataclasses import dataclass, field
import threading


@dataclass(frozen=True, slots=True)
class Attempt:
    """One request of a caller.

    :param instance: number of the instance that was asked
    :param began: monotonic time, as all times here
    :param status: 0 where no whole answer came
    :param repeatable: whether it may run more than once
    """

    request_id: str
    instance: int
    began: float
    ended: float
    status: int
    body: bytes = b""
    stamped: bool = False
    repeatable: bool = False
    reason: str = ""


@dataclass(slots=True)
class JobRecord:
    """One job of a caller.

    :param statuses: answers to each time it was handed in; 0 for none
    :param seen: results by position, as first read
    :param moved: results that were not what they had been
    :param cancelled_at: when the end was acknowledged
    :param missing: when and how the job was said not to exist
    :param late: whether it was accepted when nobody would read it any more
    :param ended: whether its caller has nothing more to do with it
    """

    job_id: str
    items: tuple[str, ...]
    statuses: list[int] = field(default_factory=list)
    seen: dict[int, tuple[str, str, str]] = field(default_factory=dict)
    moved: list[str] = field(default_factory=list)
    accepted_at: float | None = None
    cancelled_at: float | None = None
    missing: list[tuple[float, str]] = field(default_factory=list)
    late: bool = False
    ended: bool = False


@dataclass(slots=True)
class Records:
    """All of a run. Safe on any thread."""

    attempts: list[Attempt] = field(default_factory=list)
    jobs: list[JobRecord] = field(default_factory=list)
    lock: threading.Lock = field(default_factory=threading.Lock)

    def add(self, attempt: Attempt) -> None:
        """Add an attempt."""
        with self.lock:
            self.attempts.append(attempt)

    def open_job(self, job: JobRecord) -> None:
        """Add a job."""
        with self.lock:
            self.jobs.append(job)

    def all_ended(self) -> bool:
        """Whether no caller still hands in or reads a job."""
        with self.lock:
            return all(job.ended for job in self.jobs)


@dataclass(frozen=True, slots=True)
class Span:
    """Something that went on for a while.

    :param planned: whether it may cut nothing off
    :param instance: the instance that it concerns; ``None`` for others
    """

    what: str
    began: float
    ended: float
    planned: bool
    instance: int | None = None


@dataclass(frozen=True, slots=True)
class Drained:
    """One time that an engine was leaving."""

    engine: str
    at: float
    until: float


__all__ = ["Attempt", "Drained", "JobRecord", "Records", "Span"]
