"""HTTP server of a stand-in model engine."""

from __future__ import annotations

from dataclasses import asdict, field
import json
import time
from typing import TYPE_CHECKING, Any

from pydantic import BaseModel, Field, ValidationError

from mulberrypass.model.outcome import Ran
from mulberrypass.model.value_class import value_class
from mulberrypass.policy.prefix import prefix_hashes
from mulberrypass.runtime.http import (
    HttpRoute,
    Problem,
    Streamed,
    WsgiApp,
    json_answer,
)
from mulberrypass.runtime.http_server import HttpServer
from mulberrypass.testing.engine_events import CacheLog
from mulberrypass.testing.engine_faults import FaultSettings, FaultState
from mulberrypass.testing.engine_orders import ORDER_BODY, PlacementState
from mulberrypass.testing.engine_runs import (
    CANCELLED,
    Dropped,
    Reader,
    Run,
    RunProgress,
    Runs,
)
from mulberrypass.testing.engine_step import EngineShape, Sequence
from mulberrypass.testing.engine_tokens import (
    CRASH,
    POISON,
    expected_tokens,
    output_tokens,
)

if TYPE_CHECKING:
    from collections.abc import Iterator

    from mulberrypass.runtime.http import Reply, Request

MAX_BODY_BYTES = 4_194_304
CRASH_DOWNTIME_S = 2.0
RETRY_AFTER_S = 0.5
STOP_GRACE_S = 1.0
SSE_TYPE = "text/event-stream"
ADMITTED = b": admitted\n\n"
DONE = b"data: [DONE]\n\n"


class StreamCutError(Exception):
    """Closes a connection on purpose in the middle of an answer."""


class CompletionBody(BaseModel):
    """Body of a generation request."""

    request_id: str = Field(min_length=1)
    model: str
    version: str
    adapter: str | None = None
    prompt: str
    max_tokens: int = Field(ge=1)
    stream: bool = True
    stream_interval: int = Field(default=1, ge=1)
    seed: int = 0


class ResumeBody(BaseModel):
    """Body of a request to resume a stream at a token offset."""

    offset: int = Field(ge=0)
    stream_interval: int = Field(default=1, ge=1)


class KvBody(BaseModel):
    """KV cache blocks exported by another engine."""

    blocks: tuple[int, ...]


@value_class
class EngineOptions:
    """Options of a stand-in engine.

    :param time_scale: factor on each modelled duration
    :param report_lag_s: delay after which a load report is visible
    :param event_lag_s: delay after which a cache event is visible
    :param event_loss: probability that a cache event is dropped
    :param load_s: seconds that a load order takes
    :param versions: versions loaded at the start; empty for any
    :param ignore_fences: accept orders with a stale fence
    :param threads: maximum of concurrent streams and calls
    """

    shape: EngineShape = field(default_factory=EngineShape)
    time_scale: float = 1.0
    report_lag_s: float = 2.0
    event_lag_s: float = 1.0
    event_loss: float = 0.02
    load_s: float = 5.0
    versions: tuple[str, ...] = ()
    ignore_fences: bool = False
    threads: int = 256
    seed: int = 0


class FakeEngine:
    """Routes, runs and faults of a stand-in engine."""

    def __init__(self, options: EngineOptions) -> None:
        self._options = options
        self._time_scale = options.time_scale
        self._faults = FaultState(
            FaultSettings(ignore_fences=options.ignore_fences)
        )
        self._events = CacheLog(
            options.event_lag_s * self._time_scale,
            options.event_loss,
            options.seed,
        )
        self._placement = PlacementState(
            options.versions, options.load_s * self._time_scale
        )
        self.runs = Runs(
            options.shape, self._faults, self._events, self._time_scale
        )

    def serve(self, host: str, port: int) -> EngineServer:
        """Start serving on an address; port 0 selects a free port."""
        app = WsgiApp(self._routes())
        server = HttpServer(
            app, host, port, self._options.threads, MAX_BODY_BYTES
        )
        self.runs.start()
        server.start()
        return EngineServer(self, server)

    def _routes(self) -> tuple[HttpRoute, ...]:
        completion = "/v1/completions/{id}"
        return (
            HttpRoute("POST", "/v1/completions", self._complete),
            HttpRoute("POST", completion + "/resume", self._resume),
            HttpRoute("DELETE", completion, self._cancel),
            HttpRoute("GET", "/v1/load", self._load),
            HttpRoute("GET", "/v1/cache_events", self._cache_events),
            HttpRoute("POST", "/v1/orders", self._order),
            HttpRoute("GET", "/v1/kv/{id}", self._export_kv),
            HttpRoute("PUT", "/v1/kv/{id}", self._import_kv),
            HttpRoute("PUT", "/admin/faults", self._set_faults),
            HttpRoute(
                "GET", "/admin/faults", lambda _req: self._faults.handle_show()
            ),
            HttpRoute("GET", "/admin/runs", self._count_runs),
            HttpRoute("GET", "/admin/totals", self._show_totals),
        )

    def _complete(self, req: Request) -> Reply:
        try:
            body = CompletionBody.model_validate_json(_body(req))
        except ValidationError as exc:
            return Problem(400, "wrong_request", str(exc), Ran.NO)
        refusal = self._check_refused(body.version)
        if refusal is not None:
            return refusal
        self.runs.count_start(body.request_id)
        words = body.prompt.split()
        if POISON in words:
            detail = "the prompt can't be answered"
            return Problem(422, "poisoned", detail, Ran.YES)
        run = self._new_run(body, len(words))
        reader = Reader(body.stream_interval, 1)
        self.runs.begin(run, reader)
        if CRASH in words:
            self.runs.crash(CRASH_DOWNTIME_S * self._time_scale)
        return Streamed(self._stream(run, reader, 0), SSE_TYPE)

    def _check_refused(self, version: str) -> Problem | None:
        if self.runs.down:
            detail = "the engine is starting"
            return Problem(503, "starting", detail, Ran.NO, RETRY_AFTER_S)
        if self._faults.consume("refuse"):
            detail = "the engine takes nothing now"
            return Problem(503, "refused", detail, Ran.NO, RETRY_AFTER_S)
        if not self._placement.can_serve(version):
            detail = f'version "{version}" is not loaded'
            return Problem(404, "not_loaded", detail, Ran.NO)
        return None

    def _new_run(self, body: CompletionBody, prompt_tokens: int) -> Run:
        count = output_tokens(body.prompt, body.max_tokens)
        sequence = Sequence(
            body.request_id,
            prompt_tokens,
            count,
            prefix_hashes(body.prompt),
        )
        reason = "stop" if count < body.max_tokens else "length"
        return Run(sequence, body.prompt, body.seed, reason)

    def _resume(self, req: Request) -> Reply:
        try:
            body = ResumeBody.model_validate_json(_body(req))
        except ValidationError as exc:
            return Problem(400, "wrong_request", str(exc))
        reader = Reader(body.stream_interval, body.offset + 1)
        run = self.runs.attach(req.params["id"], reader)
        if run is None:
            return _unknown_run()
        return Streamed(self._stream(run, reader, body.offset), SSE_TYPE)

    def _stream(
        self, run: Run, reader: Reader, offset: int
    ) -> Iterator[bytes]:
        request_id = run.sequence.request_id
        if self._faults.consume("crossed"):
            request_id = f"other-{request_id}"
        cut_at = None
        if self._faults.consume("cut_streams"):
            cut_at = offset + self._faults.current.cut_after_tokens
        try:
            yield ADMITTED
            time.sleep(self._faults.current.late_s)
            yield from _events(run, reader, offset, request_id, cut_at)
        finally:
            self.runs.detach(run, reader)

    def _cancel(self, req: Request) -> Reply:
        run = self.runs.cancel(req.params["id"])
        if run is None:
            return _unknown_run()
        tokens = expected_tokens(run.prompt, run.seed, run.sequence.generated)
        return json_answer({"offset": 0, "tokens": tokens})

    def _load(self, _req: Request) -> Reply:
        report = self.runs.report(
            self._options.report_lag_s * self._time_scale
        )
        return json_answer(
            {
                "running": report.running,
                "waiting": report.waiting,
                "kv_used_tokens": report.kv_used,
                "leaving": self._faults.current.leaving,
                "at": report.at,
                "versions": self._placement.loaded(),
                "role": self._placement.role.value,
            }
        )

    def _cache_events(self, req: Request) -> Reply:
        after = req.query.get("after", "0")
        if not after.isdigit():
            return Problem(400, "wrong_request", "after is a number")
        events = self._events.after(int(after))
        return json_answer({"events": [asdict(e) for e in events]})

    def _order(self, req: Request) -> Reply:
        try:
            order = ORDER_BODY.validate_json(_body(req))
        except ValidationError as exc:
            return Problem(400, "wrong_order", str(exc), Ran.NO)
        accepted = self._placement.apply(
            order, self._faults.current.ignore_fences
        )
        highest = {"highest": self._placement.highest_fence}
        return json_answer(highest, 200 if accepted else 409)

    def _export_kv(self, req: Request) -> Reply:
        reader = Reader(1, 1)
        run = self.runs.attach(req.params["id"], reader)
        if run is None:
            return _unknown_run()
        self.runs.detach(run, reader)
        return json_answer({"blocks": run.sequence.blocks})

    def _import_kv(self, req: Request) -> Reply:
        try:
            body = KvBody.model_validate_json(_body(req))
        except ValidationError as exc:
            return Problem(400, "wrong_request", str(exc))
        self.runs.import_blocks(body.blocks)
        return json_answer({"blocks": len(body.blocks)})

    def _set_faults(self, req: Request) -> Reply:
        update = self._faults.handle_update(req)
        if not isinstance(update, FaultSettings):
            return update
        if update.pause_s:
            self.runs.pause(update.pause_s)
        if update.crash_s:
            self.runs.crash(update.crash_s)
        return self._faults.handle_show()

    def _count_runs(self, _req: Request) -> Reply:
        counts = {k: asdict(c) for k, c in self.runs.counts_snapshot().items()}
        return json_answer(
            {
                "runs": counts,
                "started": sum(c["started"] for c in counts.values()),
                "leaving_starts": list(self.runs.leaving_starts),
            }
        )

    def _show_totals(self, _req: Request) -> Reply:
        return json_answer(asdict(self.runs.totals()))


@value_class
class EngineServer:
    """A running server of a stand-in engine."""

    engine: FakeEngine
    server: HttpServer

    @property
    def port(self) -> int:
        """The port that the server listens on."""
        return self.server.port

    def stop(self) -> None:
        """Drop all streams and stop the server."""
        self.engine.runs.stop()
        self.server.stop(STOP_GRACE_S)


def _events(
    run: Run, reader: Reader, offset: int, request_id: str, cut_at: int | None
) -> Iterator[bytes]:
    sent = offset
    while True:
        match reader.inbox.get():
            case Dropped():
                raise StreamCutError
            case RunProgress(generated=generated, reason=reason):
                end = generated if cut_at is None else min(generated, cut_at)
                if end > sent:
                    yield _tokens_event(run, request_id, sent, end)
                    sent = end
                if cut_at is not None and generated > cut_at:
                    raise StreamCutError
                if reason is not None:
                    yield _last_event(request_id, generated, reason)
                    yield DONE
                    return


def _tokens_event(run: Run, request_id: str, first: int, end: int) -> bytes:
    tokens = expected_tokens(run.prompt, run.seed, end, first)
    return _event(
        {"request_id": request_id, "offset": first, "tokens": tokens}
    )


def _last_event(request_id: str, generated: int, reason: str) -> bytes:
    if reason == CANCELLED:
        return _event({"request_id": request_id, "error": CANCELLED})
    return _event(
        {
            "request_id": request_id,
            "finish_reason": reason,
            "completion_tokens": generated,
        }
    )


def _event(document: dict[str, Any]) -> bytes:
    return b"data: " + json.dumps(document).encode() + b"\n\n"


def _unknown_run() -> Problem:
    return Problem(404, "unknown_run", "the engine holds no such run")


def _body(req: Request) -> bytes:
    return req.body.read(req.body_bytes)


__all__ = ["EngineOptions", "EngineServer", "FakeEngine", "StreamCutError"]
