"""Client of a model engine over HTTP with server-sent events."""

from __future__ import annotations

from http import HTTPStatus
import json
from typing import TYPE_CHECKING, Any
from urllib.parse import quote

from expression import Error, Ok

from mulberrypass.engine.api import (
    CacheEvent,
    EngineFailed,
    Finished,
    LoadOrder,
    LoadReport,
    ModelEngine,
    RoleOrder,
    StaleFence,
    Tokens,
    UnloadOrder,
)
from mulberrypass.engine.pool import ConnectionPool
from mulberrypass.engine.wire import (
    MAX_ANSWER_BYTES,
    MAX_ERROR_BYTES,
    Deadline,
    WireError,
    decode_object,
    parse_failure,
)
from mulberrypass.model.outcome import Ran

if TYPE_CHECKING:
    from collections.abc import Iterator
    import ssl

    from expression import Result

    from mulberrypass.engine.api import GenerationRequest, Order, StreamEvent
    from mulberrypass.engine.wire import Exchange

COMPLETIONS = "/v1/completions"
CALL_TIMEOUT_S = 2.0
ORDER_TIMEOUT_S = 5.0
READ_BYTES = 65_536
MAX_EVENT_BYTES = 1_048_576
DATA_PREFIX = b"data: "
DONE = b"[DONE]"
WRONG_ANSWER = EngineFailed("wrong answer", Ran.MAYBE)


class HttpModelEngine(ModelEngine):
    """Client of the model engine at an address.

    :param address: IP address and port
    :param ssl_context: for TLS; ``None`` for plain HTTP
    """

    def __init__(
        self, address: str, ssl_context: ssl.SSLContext | None = None
    ) -> None:
        self._pool = ConnectionPool(address, ssl_context)

    def close(self) -> None:
        """Close idle connections."""
        self._pool.close()

    def generate(
        self, req: GenerationRequest, deadline_s: float
    ) -> Iterator[Result[StreamEvent, EngineFailed]]:
        """Run a generation; see ``ModelEngine``."""
        body = {
            "request_id": req.request_id,
            "model": req.model,
            "version": req.version,
            "adapter": req.adapter,
            "prompt": req.prompt,
            "max_tokens": req.max_tokens,
            "stream": True,
            "stream_interval": req.chunk_tokens,
            "seed": req.seed,
        }
        validator = _StreamValidator(req.request_id, 0)
        deadline = Deadline.after(deadline_s)
        return self._stream(COMPLETIONS, body, validator, deadline, False)

    def resume(
        self,
        request_id: str,
        offset: int,
        deadline_s: float,
        chunk_tokens: int = 1,
    ) -> Iterator[Result[StreamEvent, EngineFailed]]:
        """Resume an interrupted stream; see ``ModelEngine``.

        :param chunk_tokens: tokens in each event
        """
        path = f"{COMPLETIONS}/{quote(request_id, safe='')}/resume"
        body = {"offset": offset, "stream_interval": chunk_tokens}
        validator = _StreamValidator(request_id, offset)
        deadline = Deadline.after(deadline_s)
        return self._stream(path, body, validator, deadline, True)

    def cancel(self, request_id: str) -> Result[Tokens, EngineFailed]:
        """Cancel a generation; see ``ModelEngine``."""
        path = f"{COMPLETIONS}/{quote(request_id, safe='')}"
        try:
            doc = self._get_document("DELETE", path)
            return Ok(Tokens(int(doc["offset"]), _strings(doc["tokens"])))
        except WireError as exc:
            return Error(exc.failed)
        except (KeyError, TypeError, ValueError):
            return Error(WRONG_ANSWER)

    def load(self) -> Result[LoadReport, EngineFailed]:
        """Read the engine's load report; see ``ModelEngine``."""
        try:
            doc = self._get_document("GET", "/v1/load")
            report = LoadReport(
                running=int(doc["running"]),
                waiting=int(doc["waiting"]),
                kv_used_tokens=int(doc["kv_used_tokens"]),
                leaving=bool(doc["leaving"]),
                at=float(doc["at"]),
                versions=_strings(doc["versions"]),
            )
            return Ok(report)
        except WireError as exc:
            return Error(exc.failed)
        except (KeyError, TypeError, ValueError):
            return Error(WRONG_ANSWER)

    def cache_events(
        self, after: int
    ) -> Result[tuple[CacheEvent, ...], EngineFailed]:
        """Read the cache events after a number; see ``ModelEngine``."""
        try:
            doc = self._get_document("GET", f"/v1/cache_events?after={after}")
            return Ok(tuple(_cache_event(event) for event in doc["events"]))
        except WireError as exc:
            return Error(exc.failed)
        except (KeyError, TypeError, ValueError):
            return Error(WRONG_ANSWER)

    def order(
        self, order: Order, fence: int
    ) -> Result[None, StaleFence | EngineFailed]:
        """Send an order with a fencing number; see ``ModelEngine``."""
        body = json.dumps(_order_body(order, fence)).encode()
        deadline = Deadline.after(ORDER_TIMEOUT_S)
        try:
            status, answer = self._request(
                "POST", "/v1/orders", body, deadline, repeatable=True
            )
            if status == HTTPStatus.CONFLICT:
                highest = int(decode_object(answer)["highest"])
                return Error(StaleFence(highest))
            if status != HTTPStatus.OK:
                return Error(parse_failure(status, answer))
            return Ok(None)
        except WireError as exc:
            return Error(exc.failed)
        except (KeyError, TypeError, ValueError):
            return Error(WRONG_ANSWER)

    def _get_document(self, method: str, path: str) -> dict[str, Any]:
        deadline = Deadline.after(CALL_TIMEOUT_S)
        status, answer = self._request(method, path, None, deadline, True)
        if status != HTTPStatus.OK:
            raise WireError(parse_failure(status, answer))
        return decode_object(answer)

    def _request(
        self,
        method: str,
        path: str,
        body: bytes | None,
        deadline: Deadline,
        repeatable: bool,
    ) -> tuple[int, bytes]:
        exchange = self._pool.exchange(
            method, path, body, deadline, repeatable
        )
        try:
            answer = exchange.read_whole(MAX_ANSWER_BYTES, deadline)
            return exchange.status, answer
        finally:
            exchange.finish()

    def _stream(
        self,
        path: str,
        body: dict[str, Any],
        validator: _StreamValidator,
        deadline: Deadline,
        repeatable: bool,
    ) -> Iterator[Result[StreamEvent, EngineFailed]]:
        data = json.dumps(body).encode()
        try:
            exchange = self._pool.exchange(
                "POST", path, data, deadline, repeatable
            )
        except WireError as exc:
            yield Error(exc.failed)
            return
        try:
            if exchange.status != HTTPStatus.OK:
                answer = exchange.read_whole(MAX_ERROR_BYTES, deadline)
                yield Error(
                    parse_failure(exchange.status, answer, exchange.is_own)
                )
                return
            for event in _sse_data(exchange, deadline):
                yield Ok(validator.parse(event))
            if not validator.finished:
                yield Error(WRONG_ANSWER)
        except WireError as exc:
            # What comes after the last event belongs to no request.
            if not validator.finished:
                yield Error(exc.failed)
        finally:
            exchange.finish()


class _StreamValidator:
    """Parses events and checks that they form one complete answer.

    :ivar finished: whether the last event of the answer has come
    """

    def __init__(self, request_id: str, offset: int) -> None:
        self._request_id = request_id
        self._next = offset
        self.finished = False

    def parse(self, data: bytes) -> StreamEvent:
        """Parse one event.

        :raises WireError: if the event is invalid, reports an error or
            doesn't follow the one before
        """
        if self.finished:
            raise WireError(WRONG_ANSWER)
        doc = decode_object(data)
        if doc.get("request_id") != self._request_id:
            raise WireError(WRONG_ANSWER)
        if "error" in doc:
            raise WireError(EngineFailed(str(doc["error"]), Ran.YES))
        try:
            return self._parse_finish(doc) or self._parse_tokens(doc)
        except (KeyError, TypeError, ValueError):
            raise WireError(WRONG_ANSWER)

    def _parse_finish(self, doc: dict[str, Any]) -> Finished | None:
        if "finish_reason" not in doc:
            return None
        if doc["completion_tokens"] != self._next:
            raise WireError(WRONG_ANSWER)
        self.finished = True
        return Finished(str(doc["finish_reason"]), self._next)

    def _parse_tokens(self, doc: dict[str, Any]) -> Tokens:
        tokens = _strings(doc["tokens"])
        if doc["offset"] != self._next or not tokens:
            raise WireError(WRONG_ANSWER)
        self._next += len(tokens)
        return Tokens(doc["offset"], tokens)


def _sse_data(exchange: Exchange, deadline: Deadline) -> Iterator[bytes]:
    """Yield the data of each event before the end marker."""
    buffer = bytearray()
    skipped = 0
    while True:
        part = exchange.read_some(READ_BYTES, deadline)
        if not part:
            raise WireError(EngineFailed("cut", Ran.MAYBE, resumable=True))
        buffer += part
        if skipped + len(buffer) > MAX_EVENT_BYTES:
            raise WireError(WRONG_ANSWER)
        if b"\n" not in part:
            continue
        *lines, rest = bytes(buffer).split(b"\n")
        buffer = bytearray(rest)
        for line in lines:
            skipped += len(line) + 1
            if not line.startswith(DATA_PREFIX):
                continue
            skipped = 0
            data = line[len(DATA_PREFIX) :]
            if data == DONE:
                exchange.read_some(READ_BYTES, deadline)
                return
            yield data


def _order_body(order: Order, fence: int) -> dict[str, Any]:
    match order:
        case LoadOrder(model=model, version=version, adapters=adapters):
            return {
                "fence": fence,
                "order": "load",
                "model": model,
                "version": version,
                "adapters": adapters,
            }
        case UnloadOrder(model=model, version=version):
            return {
                "fence": fence,
                "order": "unload",
                "model": model,
                "version": version,
            }
        case RoleOrder(role=role):
            return {"fence": fence, "order": "role", "role": role.value}


def _cache_event(doc: dict[str, Any]) -> CacheEvent:
    return CacheEvent(
        int(doc["sequence"]), bool(doc["stored"]), int(doc["block"])
    )


def _strings(value: Any) -> tuple[str, ...]:
    if not isinstance(value, list) or not all(
        isinstance(item, str) for item in value
    ):
        raise TypeError("not a list of strings")
    return tuple(value)


__all__ = ["HttpModelEngine"]
