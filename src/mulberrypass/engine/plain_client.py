"""Client of a server of a plain service over HTTP."""

from __future__ import annotations

from http import HTTPStatus
import json
from typing import TYPE_CHECKING, Any

from expression import Error, Ok

from mulberrypass.engine.api import EngineFailed, PlainService
from mulberrypass.engine.pool import ConnectionPool
from mulberrypass.engine.wire import (
    MAX_ANSWER_BYTES,
    Deadline,
    WireError,
    decode_object,
    parse_failure,
)
from mulberrypass.model.outcome import Ran

if TYPE_CHECKING:
    from collections.abc import Mapping
    import ssl

    from expression import Result

CALL_PATH = "/call"


class HttpPlainService(PlainService):
    """Client of one server of a plain service; it never retries.

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

    def call(
        self, request_id: str, payload: Any, deadline_s: float
    ) -> Result[Mapping[str, Any], EngineFailed]:
        """Make one call; see ``PlainService``."""
        body = {"request_id": request_id, "payload": payload}
        deadline = Deadline.after(deadline_s)
        try:
            doc = self._post(json.dumps(body).encode(), deadline)
        except WireError as exc:
            return Error(exc.failed)
        result = doc.get("result")
        if doc.get("request_id") != request_id or not isinstance(result, dict):
            return Error(EngineFailed("wrong answer", Ran.MAYBE))
        return Ok(result)

    def _post(self, body: bytes, deadline: Deadline) -> dict[str, Any]:
        exchange = self._pool.exchange(
            "POST", CALL_PATH, body, deadline, repeatable=False
        )
        try:
            answer = exchange.read_whole(MAX_ANSWER_BYTES, deadline)
        finally:
            exchange.finish()
        if exchange.status != HTTPStatus.OK:
            raise WireError(
                parse_failure(exchange.status, answer, exchange.is_own)
            )
        return decode_object(answer)


__all__ = ["HttpPlainService"]
