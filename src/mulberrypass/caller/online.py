"""Online requests over HTTP."""

from __future__ import annotations

from dataclasses import asdict, replace
from http import HTTPStatus
import json
import threading
import time
from typing import TYPE_CHECKING, Any
import uuid

import xxhash

from mulberrypass.caller.auth import authenticate_customer
from mulberrypass.caller.online_body import read_body, read_options
from mulberrypass.model.objects import RecordMode
from mulberrypass.model.outcome import Ran
from mulberrypass.model.value_class import value_class
from mulberrypass.online.call import Call, Completed, Failed, StreamedTokens
from mulberrypass.online.execution import RequestExecution
from mulberrypass.policy.online.shares import ThreadShares, ThreadShareSettings
from mulberrypass.policy.placement.canary import route_version
from mulberrypass.runtime.http import (
    Answer,
    ClosingChunks,
    Problem,
    Streamed,
    json_answer,
)
from mulberrypass.runtime.logs import get_logger
from mulberrypass.runtime.metrics import Decision

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from mulberrypass.caller.online_body import OnlineBody, RequestOptions
    from mulberrypass.model.objects import Customer, Service
    from mulberrypass.model.source import ConfigurationSource
    from mulberrypass.online.call import CallEvent
    from mulberrypass.online.execution import OnlineDependencies
    from mulberrypass.online.recorded import RecordedRuns
    from mulberrypass.online.records import Records
    from mulberrypass.runtime.http import Reply, Request

LOG = get_logger(__name__)
SSE_TYPE = "text/event-stream"
BUSY_RETRY_S = 0.5


@value_class
class ValidatedRequest:
    """A request that has passed authentication and validation."""

    call: Call
    options: RequestOptions


class PortShares:
    """Limits who may hold the threads of one port; thread-safe."""

    def __init__(self, settings: ThreadShareSettings) -> None:
        self._shares = ThreadShares(settings)
        self._lock = threading.Lock()

    def take(self, call: Call) -> bool:
        """Count a thread as held; return false if that exceeds a limit."""
        with self._lock:
            return self._shares.take(
                call.customer.name, call.service.name, call.stream
            )

    def give_back(self, call: Call) -> None:
        """Count a request's thread as free again."""
        with self._lock:
            self._shares.give_back(
                call.customer.name, call.service.name, call.stream
            )

    def state(self) -> dict[str, int]:
        """Return the threads held by each customer, for the state dump."""
        with self._lock:
            return self._shares.held()


class OnlineCalls:
    """Answers online requests; its methods run on HTTP threads."""

    def __init__(
        self,
        configuration: ConfigurationSource,
        deps: OnlineDependencies,
        records: Records,
        recorded: RecordedRuns,
        wall: Callable[[], float] = time.time,
    ) -> None:
        self._configuration = configuration
        self._deps = deps
        self._records = records
        self._recorded = recorded
        self._wall = wall

    def handler(self, shares: PortShares) -> Callable[[Request], Reply]:
        """Return the handler for one port.

        :param shares: limits who may hold threads of the port
        """
        return lambda req: self._post(req, shares)

    def _post(self, req: Request, shares: PortShares) -> Reply:
        validated = self._validate(req)
        if isinstance(validated, Problem):
            return validated
        call = validated.call
        if not shares.take(call):
            return self._busy()
        try:
            reply = self._run(req, call, validated.options)
        except BaseException:
            shares.give_back(call)
            raise
        if isinstance(reply, Streamed):
            chunks = ClosingChunks(
                reply.chunks, lambda: shares.give_back(call)
            )
            return replace(reply, chunks=chunks)
        shares.give_back(call)
        return reply

    def _run(self, req: Request, call: Call, options: RequestOptions) -> Reply:
        LOG.debug(
            "request",
            request_id=call.request_id,
            customer=call.customer.name,
            service=call.service.name,
        )
        if _requires_record(call.service):
            if self._recorded.full():
                return self._busy()
            if options.asynchronous:
                return self._post_async(call, options)
            events = self._recorded.events(
                call, self._wall() + options.timeout_s
            )
        else:
            execution = RequestExecution(
                call, self._deps, _skip_record, req.disconnected
            )
            events = execution.events()
        if call.stream:
            return _stream(call, events)
        return _await_outcome(call, events)

    def _validate(self, req: Request) -> ValidatedRequest | Problem:
        cfg = self._configuration.current()
        customer = authenticate_customer(cfg, req, self._wall())
        if customer.is_error():
            return customer.error
        service = cfg.services.get(req.params["service"])
        if service is None or not _may_call(service, customer.ok):
            return _no_service(req.params["service"])
        options = read_options(req, service)
        if options.is_error():
            return options.error
        body = read_body(req, service)
        if body.is_error():
            return body.error
        call = self._call(service, customer.ok, body.ok, options.ok)
        return ValidatedRequest(call, options.ok)

    def _call(
        self,
        service: Service,
        customer: Customer,
        body: OnlineBody,
        options: RequestOptions,
    ) -> Call:
        request_id = _request_id(customer, service, options.key)
        tokens = body.max_tokens or service.max_output_tokens
        return Call(
            request_id=request_id,
            customer=customer,
            service=service,
            payload=body.input,
            max_tokens=tokens if service.model else 0,
            deadline=time.monotonic() + options.timeout_s,
            stream=body.stream,
            route=route_version(
                service,
                customer,
                xxhash.xxh3_64_intdigest(request_id.encode()),
            ),
        )

    def _post_async(self, call: Call, options: RequestOptions) -> Reply:
        failed = self._recorded.accept_only(
            call, self._wall() + options.timeout_s
        )
        if failed is not None:
            return problem_of(failed, call.request_id)
        location = f"/v1/requests/{call.request_id}"
        return json_answer(
            {"request_id": call.request_id, "state": "accepted"},
            HTTPStatus.ACCEPTED,
            (("Request-Id", call.request_id), ("Location", location)),
        )

    def _busy(self) -> Problem:
        self._deps.metrics.count(Decision.REFUSED_THREADS)
        return Problem(
            HTTPStatus.SERVICE_UNAVAILABLE,
            "instance_busy",
            "this instance has no room; use another address",
            Ran.NO,
            BUSY_RETRY_S,
        )

    def get(self, req: Request) -> Reply:
        """Answer ``GET /v1/requests/{request_id}``."""
        cfg = self._configuration.current()
        customer = authenticate_customer(cfg, req, self._wall())
        if customer.is_error():
            return customer.error
        request_id = req.params["request_id"]
        found = self._records.read(request_id)
        if found.is_error():
            return Problem(
                HTTPStatus.SERVICE_UNAVAILABLE,
                "store_unavailable",
                "the record can't be read now",
                retry_after_s=BUSY_RETRY_S,
            )
        record = found.ok
        if record is None or record.customer != customer.ok.name:
            detail = f"no recorded request {request_id!r}"
            return Problem(HTTPStatus.NOT_FOUND, "no_such_request", detail)
        document: dict[str, Any] = {
            "request_id": request_id,
            "service": record.service,
            "state": record.state.value,
        }
        match record.outcome:
            case Completed() as completed:
                document |= _answer_fields(completed)
            case Failed() as failed:
                problem = problem_of(failed, request_id)
                document["problem"] = problem.document()
        return json_answer(document)


def problem_of(failed: Failed, request_id: str) -> Problem:
    """Return the problem answer for a failed request."""
    return Problem(
        failed.status,
        failed.code,
        failed.detail,
        failed.ran,
        failed.retry_after_s,
        {"request_id": request_id},
    )


def _stream(call: Call, events: Iterator[CallEvent]) -> Reply:
    """Wait for the first event, so that a refusal keeps its HTTP status."""
    first = next(events)
    if isinstance(first, Failed):
        return problem_of(first, call.request_id)
    return Streamed(
        _sse_chunks(call, first, events),
        SSE_TYPE,
        headers=(("Request-Id", call.request_id),),
    )


def _await_outcome(call: Call, events: Iterator[CallEvent]) -> Reply:
    for event in events:
        match event:
            case Completed():
                return _completed(call, event)
            case Failed():
                return problem_of(event, call.request_id)
    raise RuntimeError(f"no outcome for request {call.request_id}")


def _completed(call: Call, completed: Completed) -> Answer:
    document = {
        "request_id": call.request_id,
        "service": call.service.name,
        "version": call.route.version if call.route else None,
        **_answer_fields(completed),
    }
    return json_answer(document, headers=(("Request-Id", call.request_id),))


def _answer_fields(completed: Completed) -> dict[str, Any]:
    fields = asdict(completed)
    del fields["backend"]
    return fields


def _sse_chunks(
    call: Call, first: CallEvent, events: Iterator[CallEvent]
) -> Iterator[bytes]:
    yield _sse_event(call, first)
    for event in events:
        yield _sse_event(call, event)


def _sse_event(call: Call, event: CallEvent) -> bytes:
    match event:
        case StreamedTokens(offset=offset, tokens=tokens):
            name = "tokens"
            data: dict[str, Any] = {"offset": offset, "tokens": tokens}
        case Completed():
            name = "done"
            data = _answer_fields(event)
            del data["output"]
        case Failed():
            name = "error"
            data = problem_of(event, call.request_id).document()
    data["request_id"] = call.request_id
    return f"event: {name}\ndata: {json.dumps(data)}\n\n".encode()


def _request_id(customer: Customer, service: Service, key: str) -> str:
    if not key:
        return f"r-{uuid.uuid4().hex}"
    identity = json.dumps([customer.name, service.name, key])
    return f"r-{xxhash.xxh3_128_hexdigest(identity.encode())}"


def _requires_record(service: Service) -> bool:
    """Return whether a record is declared or the work isn't idempotent."""
    return service.record is RecordMode.ACCEPTED or not service.idempotent


def _may_call(service: Service, customer: Customer) -> bool:
    return not service.customers or customer.name in service.customers


def _no_service(name: str) -> Problem:
    detail = f"no service {name!r} for this customer"
    return Problem(HTTPStatus.NOT_FOUND, "no_such_service", detail, Ran.NO)


def _skip_record(_backend: str) -> None:
    return None


__all__ = ["OnlineCalls", "PortShares", "problem_of"]
