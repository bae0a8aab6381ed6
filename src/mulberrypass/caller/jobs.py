"""The HTTP interface to jobs."""

from __future__ import annotations

from datetime import datetime
from http import HTTPStatus
import re
from typing import TYPE_CHECKING, Any

from expression import Error, Ok, Result

from mulberrypass.caller.auth import authenticate_customer
from mulberrypass.jobs.manager import (
    AlreadyDone,
    EmptyManifest,
    KeyTaken,
    NoSuchJob,
    StoreDown,
    Submission,
)
from mulberrypass.jobs.manifest import BadLine
from mulberrypass.model.outcome import Ran
from mulberrypass.model.value_class import value_class
from mulberrypass.runtime.http import (
    HttpRoute,
    Problem,
    Streamed,
    json_answer,
)
from mulberrypass.runtime.logs import get_logger
from mulberrypass.runtime.metrics import Decision

if TYPE_CHECKING:
    from collections.abc import Callable

    from mulberrypass.jobs.manager import JobManager
    from mulberrypass.jobs.results import JobResults
    from mulberrypass.jobs.rows import JobRow
    from mulberrypass.model.objects import Customer, Service
    from mulberrypass.model.source import ConfigurationSource
    from mulberrypass.policy.jobs.jobs import JobView
    from mulberrypass.runtime.http import Reply, Request
    from mulberrypass.runtime.metrics import Metrics

LOG = get_logger(__name__)
NDJSON_TYPE = "application/x-ndjson"
DEFAULT_DUE_S = 86_400.0
MAX_DUE_S = 31 * 86_400.0
MAX_RESULT_ITEMS = 400_000
MAX_DIGITS = 9
_IDEMPOTENCY_KEY = re.compile(r"[\x21-\x7e]{1,200}")

JobProblem = (
    AlreadyDone | BadLine | EmptyManifest | KeyTaken | NoSuchJob | StoreDown
)


@value_class
class _OwnedJob:
    customer: Customer
    job: JobRow


class JobRoutes:
    """Handlers to submit, query and cancel jobs.

    :param on_cancelled: called with the id of each job cancelled here
    :param wall: returns Unix time in seconds
    """

    def __init__(
        self,
        configuration: ConfigurationSource,
        manager: JobManager,
        results: JobResults,
        on_cancelled: Callable[[str], None],
        metrics: Metrics,
        wall: Callable[[], float],
    ) -> None:
        self._configuration = configuration
        self._manager = manager
        self._results = results
        self._on_cancelled = on_cancelled
        self._metrics = metrics
        self._wall = wall

    def routes(self) -> tuple[HttpRoute, ...]:
        """Return the routes of jobs."""
        return (
            HttpRoute("POST", "/v1/jobs", self.submit),
            HttpRoute("GET", "/v1/jobs", self.list_jobs),
            HttpRoute("GET", "/v1/jobs/{job}", self.show),
            HttpRoute("GET", "/v1/jobs/{job}/results", self.results),
            HttpRoute("POST", "/v1/jobs/{job}/cancel", self.cancel),
        )

    def submit(self, req: Request) -> Reply:
        """Accept a job; the same idempotency key returns the same job."""
        customer = self._customer(req)
        if customer.is_error():
            return customer.error
        submission = self._submission(req, customer.ok)
        if submission.is_error():
            return submission.error
        accepted = self._manager.submit(submission.ok, req.body)
        if accepted.is_error():
            return self._problem(accepted.error)
        job = accepted.ok.job
        LOG.info(
            "job accepted",
            job=job.job,
            customer=job.customer,
            items=job.items,
            created=accepted.ok.created,
        )
        doc = {"job_id": job.job, "items": job.items, "service": job.service}
        created = accepted.ok.created
        status = HTTPStatus.ACCEPTED if created else HTTPStatus.OK
        location = (("Location", f"/v1/jobs/{job.job}"),)
        return json_answer(doc, status, location)

    def list_jobs(self, req: Request) -> Reply:
        """Return the ids of the customer's jobs."""
        customer = self._customer(req)
        if customer.is_error():
            return customer.error
        jobs = self._manager.jobs_of(customer.ok.name)
        if jobs.is_error():
            return self._problem(jobs.error)
        return json_answer({"jobs": list(jobs.ok)})

    def show(self, req: Request) -> Reply:
        """Return the state of a job and the counts of its items."""
        own = self._find_owned(req)
        if own.is_error():
            return own.error
        job = own.ok.job
        view = self._manager.show(job)
        if view.is_error():
            return self._problem(StoreDown(Ran.NO))
        return json_answer(_document(job, view.ok))

    def results(self, req: Request) -> Reply:
        """Stream the results of a range of items, in item order."""
        own = self._find_owned(req)
        if own.is_error():
            return own.error
        first = _non_negative(req, "from", 0)
        limit = _non_negative(req, "limit", MAX_RESULT_ITEMS)
        for value in (first, limit):
            if value.is_error():
                return value.error
        lines = self._results.lines(own.ok.job, first.ok, limit.ok)
        if lines.is_error():
            return self._problem(StoreDown(Ran.NO))
        return Streamed(lines.ok, NDJSON_TYPE)

    def cancel(self, req: Request) -> Reply:
        """Cancel a job: none of its items starts after this."""
        customer = self._customer(req)
        if customer.is_error():
            return customer.error
        job = req.params["job"]
        done = self._manager.cancel(customer.ok.name, job)
        if done.is_error():
            return self._problem(done.error)
        self._on_cancelled(job)
        self._metrics.count(Decision.JOB_CANCELLED)
        LOG.info("job cancelled", job=job, customer=customer.ok.name)
        return json_answer({"job_id": job, "state": done.ok.state.value})

    def _customer(self, req: Request) -> Result[Customer, Problem]:
        cfg = self._configuration.current()
        return authenticate_customer(cfg, req, self._wall())

    def _find_owned(self, req: Request) -> Result[_OwnedJob, Problem]:
        customer = self._customer(req)
        if customer.is_error():
            return Error(customer.error)
        found = self._manager.find(customer.ok.name, req.params["job"])
        if found.is_error():
            return Error(self._problem(found.error))
        return Ok(_OwnedJob(customer.ok, found.ok))

    def _submission(
        self, req: Request, customer: Customer
    ) -> Result[Submission, Problem]:
        service = self._service(req, customer)
        if service.is_error():
            return Error(service.error)
        key = req.headers.get("idempotency-key", "")
        if _IDEMPOTENCY_KEY.fullmatch(key) is None:
            detail = (
                "Idempotency-Key: a job needs one, of at most 200 "
                "printable ASCII characters without spaces"
            )
            return Error(_bad_request("bad_header", detail))
        due = _due(req.query.get("due", ""), self._wall())
        if due.is_error():
            return Error(due.error)
        return Ok(Submission(customer.name, key, service.ok, due.ok))

    def _service(
        self, req: Request, customer: Customer
    ) -> Result[Service, Problem]:
        name = req.query.get("service", "")
        cfg = self._configuration.current()
        service = cfg.services.get(name)
        allowed = service is not None and (
            not service.customers or customer.name in service.customers
        )
        if service is None or not allowed:
            detail = f"service: no service {name!r} for this customer"
            return Error(
                Problem(
                    HTTPStatus.NOT_FOUND, "unknown_service", detail, Ran.NO
                )
            )
        return Ok(service)

    def _problem(self, error: JobProblem) -> Problem:
        match error:
            case BadLine(line=line, reason=reason):
                return Problem(
                    HTTPStatus.BAD_REQUEST,
                    "bad_item",
                    f"line {line}: {reason}",
                    Ran.NO,
                    extra={"line": line},
                )
            case EmptyManifest():
                return _bad_request(
                    "empty_manifest", "the manifest has no items"
                )
            case KeyTaken(reason=reason):
                return Problem(
                    HTTPStatus.CONFLICT, "key_taken", reason, Ran.NO
                )
            case NoSuchJob():
                detail = "no such job of this customer"
                return Problem(HTTPStatus.NOT_FOUND, "unknown_job", detail)
            case AlreadyDone():
                detail = "the job is done already"
                return Problem(HTTPStatus.CONFLICT, "already_done", detail)
            case StoreDown(ran=ran, retry_after_s=retry_after_s):
                self._metrics.count(Decision.REFUSED_STORE)
                return _store_down(ran, retry_after_s)


def _document(job: JobRow, view: JobView) -> dict[str, Any]:
    counts = ("done", "failed", "indeterminate", "cancelled", "pending")
    return {
        "job_id": job.job,
        "service": job.service,
        "due": job.due,
        "created": job.created,
        "ended": job.ended,
        "state": view.state.value,
        "items": view.items,
        "remaining_s": view.remaining_s,
        "counts": {name: getattr(view, name) for name in counts},
    }


def _store_down(ran: Ran, retry_after_s: float) -> Problem:
    detail = "the platform's store gives no answer"
    if ran is Ran.MAYBE:
        detail += "; send the same request again to learn the outcome"
    return Problem(
        HTTPStatus.SERVICE_UNAVAILABLE,
        "store_unavailable",
        detail,
        ran,
        retry_after_s,
    )


def _due(given: str, now: float) -> Result[float, Problem]:
    if not given:
        return Ok(now + DEFAULT_DUE_S)
    due = _parse_due(given, now)
    if due is None or not now <= due <= now + MAX_DUE_S:
        detail = (
            "due: must be seconds from now or an RFC 3339 time with its "
            "offset, in the next 31 days"
        )
        return Error(_bad_request("bad_due", detail))
    return Ok(due)


def _parse_due(given: str, now: float) -> float | None:
    if given.isascii() and given.isdigit():
        return now + int(given[: MAX_DIGITS + 1])
    try:
        moment = datetime.fromisoformat(given)
    except ValueError:
        return None
    return moment.timestamp() if moment.tzinfo is not None else None


def _non_negative(
    req: Request, name: str, default: int
) -> Result[int, Problem]:
    given = req.query.get(name, str(default))
    good = given.isascii() and given.isdigit() and len(given) <= MAX_DIGITS
    if not good:
        detail = f"{name}: must be a whole number from 0"
        return Error(_bad_request("bad_range", detail))
    return Ok(int(given))


def _bad_request(code: str, detail: str) -> Problem:
    return Problem(HTTPStatus.BAD_REQUEST, code, detail, Ran.NO)


__all__ = ["JobRoutes", "NDJSON_TYPE"]
