"""HTTP server of a stand-in plain service."""

from __future__ import annotations

from collections.abc import Iterator
import json
import threading
import time
from typing import TYPE_CHECKING, Any

from pydantic import BaseModel, Field, ValidationError

from mulberrypass.model.outcome import Ran
from mulberrypass.model.value_class import value_class
from mulberrypass.runtime.http import (
    JSON_TYPE,
    HttpRoute,
    Problem,
    Streamed,
    WsgiApp,
    json_answer,
)
from mulberrypass.runtime.http_server import HttpServer
from mulberrypass.testing.engine_faults import FaultSettings, FaultState
from mulberrypass.testing.engine_http import StreamCutError
from mulberrypass.testing.engine_tokens import (
    POISON,
    SLOW_PREFIX,
    expected_result,
)

if TYPE_CHECKING:
    from mulberrypass.runtime.http import Reply, Request

MAX_BODY_BYTES = 4_194_304
RETRY_AFTER_S = 0.5
STOP_GRACE_S = 1.0


class CallBody(BaseModel):
    """Body of a call."""

    request_id: str = Field(min_length=1)
    payload: Any = None


@value_class
class PlainOptions:
    """Options of a stand-in plain service.

    :param service_s: duration of a call
    :param slots: maximum of concurrent calls; others wait
    :param time_scale: factor on the duration of a call
    """

    service_s: float = 0.02
    slots: int = 16
    time_scale: float = 1.0
    threads: int = 64


class FakePlainService:
    """Routes, slots and faults of a stand-in plain service."""

    def __init__(self, options: PlainOptions) -> None:
        self._options = options
        self._faults = FaultState()
        self._slots = threading.Semaphore(options.slots)
        self._lock = threading.Lock()
        self._down_until = 0.0
        self._paused_until = 0.0
        self.counts: dict[str, dict[str, int]] = {}

    def serve(self, host: str, port: int) -> HttpServer:
        """Start serving on an address; port 0 selects a free port."""
        app = WsgiApp(
            (
                HttpRoute("POST", "/call", self._call),
                HttpRoute("PUT", "/admin/faults", self._set_faults),
                HttpRoute(
                    "GET",
                    "/admin/faults",
                    lambda _req: self._faults.handle_show(),
                ),
                HttpRoute("GET", "/admin/runs", self._count_runs),
            )
        )
        server = HttpServer(
            app, host, port, self._options.threads, MAX_BODY_BYTES
        )
        server.start()
        return server

    def _call(self, req: Request) -> Reply:
        try:
            body = CallBody.model_validate_json(req.body.read(req.body_bytes))
        except ValidationError as exc:
            return Problem(400, "wrong_request", str(exc), Ran.NO)
        down = time.monotonic() < self._down_until
        if down or self._faults.consume("refuse"):
            detail = "the server takes nothing now"
            return Problem(503, "refused", detail, Ran.NO, RETRY_AFTER_S)
        with self._slots:
            return self._run(body)

    def _run(self, body: CallBody) -> Reply:
        self._count(body.request_id, "started")
        if _contains_word(body.payload, POISON):
            detail = "the payload can't be answered"
            return Problem(422, "poisoned", detail, Ran.YES)
        time.sleep(self._service_s(body.payload))
        self._count(body.request_id, "finished")
        time.sleep(self._faults.current.late_s)
        if self._faults.consume("cut_streams"):
            return Streamed(_truncated_body(), JSON_TYPE)
        request_id = body.request_id
        if self._faults.consume("crossed"):
            request_id = f"other-{request_id}"
        result = expected_result(body.payload)
        return json_answer({"request_id": request_id, "result": result})

    def _service_s(self, payload: Any) -> float:
        factor = self._faults.current.slow * _slow_factor(payload)
        seconds = self._options.service_s * self._options.time_scale * factor
        paused_s = self._paused_until - time.monotonic()
        return seconds + max(0.0, paused_s)

    def _count(self, request_id: str, counter: str) -> None:
        with self._lock:
            count = self.counts.setdefault(
                request_id, {"started": 0, "finished": 0}
            )
            count[counter] += 1

    def _set_faults(self, req: Request) -> Reply:
        update = self._faults.handle_update(req)
        if not isinstance(update, FaultSettings):
            return update
        now = time.monotonic()
        if update.pause_s:
            self._paused_until = now + update.pause_s
        if update.crash_s:
            self._down_until = now + update.crash_s
        return self._faults.handle_show()

    def _count_runs(self, _req: Request) -> Reply:
        with self._lock:
            started = sum(c["started"] for c in self.counts.values())
            return json_answer(
                {
                    "runs": self.counts,
                    "started": started,
                    "leaving_starts": [],
                }
            )


def _truncated_body() -> Iterator[bytes]:
    yield b'{"request_id":'
    raise StreamCutError


def _contains_word(payload: Any, word: str) -> bool:
    return word in json.dumps(payload).replace('"', " ").split()


def _slow_factor(payload: Any) -> int:
    for word in json.dumps(payload).replace('"', " ").split():
        digits = word.removeprefix(SLOW_PREFIX)
        if digits != word and digits.isdigit():
            return max(1, int(digits))
    return 1


__all__ = ["FakePlainService", "PlainOptions"]
