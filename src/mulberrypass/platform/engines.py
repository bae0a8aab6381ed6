"""HTTP requests to engines over pooled connections."""

from __future__ import annotations

import contextlib
from http import HTTPStatus
import threading
import time
from typing import TYPE_CHECKING

from mulberrypass.engine.api import EngineFailed
from mulberrypass.engine.pool import CONNECT_TIMEOUT_S, ConnectionPool
from mulberrypass.engine.wire import CUT, WireError
from mulberrypass.model.outcome import Ran
from mulberrypass.platform import headers as names
from mulberrypass.relay.api import EngineAnswer, EngineClient, EngineHead
from mulberrypass.relay.departures import DepartureGuard
from mulberrypass.runtime.logs import get_logger

if TYPE_CHECKING:
    from collections.abc import Callable

    from mulberrypass.engine.wire import Deadline, Exchange
    from mulberrypass.model.routes import RegisteredEngine
    from mulberrypass.relay.api import RelayRequest

LOG = get_logger(__name__)
READ_BYTES = 65_536
# Engines are given whole milliseconds, and stop a moment before the deadline.
STOP_MARGIN_S = 0.01
STOPPED = EngineFailed("ended at the deadline", Ran.MAYBE, resumable=True)
WRONG_REQUEST_ID = EngineFailed("an answer to another request", Ran.MAYBE)


class HttpEngineClient(EngineClient):
    """Sends requests to engines, one at a time per connection.

    :param departures: is told of engines that leave, which get no request
    :param connect_timeout_s: how long an engine may take to accept a
        connection
    """

    def __init__(
        self,
        departures: DepartureGuard | None = None,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
    ) -> None:
        self._connect_timeout_s = connect_timeout_s
        self._departures = departures or DepartureGuard()
        self._lock = threading.Lock()
        self._pools: dict[str, ConnectionPool] = {}

    def retain(self, engines: frozenset[str]) -> None:
        """Close idle connections to engines other than these, by name."""
        with self._lock:
            removed = [name for name in self._pools if name not in engines]
            pools = [self._pools.pop(name) for name in removed]
        for pool in pools:
            pool.close()

    def exchange(
        self,
        engine: RegisteredEngine,
        req: RelayRequest,
        deadline: Deadline,
        on_open: Callable[[Callable[[], None]], None],
        head_deadline: Deadline,
    ) -> EngineAnswer:
        """Send a request; see ``EngineClient``."""
        pool = self._pool(engine)
        exchange = pool.open(head_deadline, req.request_id)
        on_open(exchange.shut_down)
        headers = names.engine_headers(req, engine.name, deadline.left_s())
        try:
            # Opening the connection may have taken long.
            self._departures.check(engine)
            exchange.send(
                req.method, req.target, req.body, head_deadline, headers
            )
            leaving = self._note_leaving(engine, req, exchange)
            return HttpEngineAnswer(exchange, req, deadline, leaving)
        except WireError:
            exchange.close()
            raise

    def check_alive(
        self, engine: RegisteredEngine, deadline: Deadline
    ) -> None:
        """Look at a connection, or open one; see ``EngineClient``."""
        self._pool(engine).check_listening(deadline)

    def _note_leaving(
        self, engine: RegisteredEngine, req: RelayRequest, exchange: Exchange
    ) -> bool:
        """Return whether an answer says that this engine leaves.

        An extra answer to another request counts too: the engine wrote it.
        """
        values = exchange.head.get_all(names.SERVER_LEAVING, [])
        named = exchange.head.get(names.INSTANCE_ID)
        moved = exchange.status == HTTPStatus.MISDIRECTED_REQUEST
        if not values or named != (engine.name if moved or named else None):
            return False
        if names.LEAVING not in (value.strip() for value in values):
            self._departures.on_other_value(engine, str(values[0]))
            return False
        self._departures.on_answer(engine, req.request_id, exchange.status)
        return True

    def _pool(self, engine: RegisteredEngine) -> ConnectionPool:
        with self._lock:
            pool = self._pools.get(engine.name)
            if pool is None or pool.address != engine.address:
                pool = ConnectionPool(
                    engine.address, connect_timeout_s=self._connect_timeout_s
                )
                self._pools[engine.name] = pool
            return pool


class HttpEngineAnswer(EngineAnswer):
    """An engine's answer; its request id must be that of the request.

    The connection has carried no other request with this id. A refusal may
    lack an id. On a connection that has had another request, it may be the
    refusal of that one, written once more.

    :param deadline: when the engine stops the work
    :param leaving: whether it says that the engine leaves
    """

    def __init__(
        self,
        exchange: Exchange,
        req: RelayRequest,
        deadline: Deadline,
        leaving: bool = False,
    ) -> None:
        self._exchange = exchange
        self._deadline = deadline
        head = exchange.head
        answer_ids = set(head.get_all(names.REQUEST_ID, []))
        not_run = head.get(names.NOT_RUN) is not None
        moved = exchange.status == HTTPStatus.MISDIRECTED_REQUEST
        lacks_id = not answer_ids and (not_run or moved)
        is_own = answer_ids == {req.request_id}
        if not is_own and (exchange.reused or not lacks_id):
            raise WireError(WRONG_REQUEST_ID)
        headers = names.end_to_end(tuple(head.items()))
        self.head = EngineHead(
            status=exchange.status,
            headers=headers,
            not_run=not_run or moved,
            moved=moved,
            length=exchange.length,
            limit_per_s=self._limit(),
            ends_with_connection=exchange.ends_with_connection,
            reused=exchange.reused,
            load=names.parse_load(head.get(names.SERVER_LOAD)),
            leaving=leaving,
            marks=names.answer_marks(headers),
            stamped=bool(head.get(names.RESPONSE_STAMP, "").strip()),
        )

    def _limit(self) -> float | None:
        text = self._exchange.head.get(names.SERVER_LIMIT)
        try:
            return names.parse_limit(text)
        except ValueError as exc:
            LOG.warning("limit can't be read", limit=text, why=str(exc))
            return None

    def read_some(self, deadline: Deadline) -> bytes:
        """Read the next bytes; see ``EngineAnswer``."""
        data = self._exchange.read_some(READ_BYTES, deadline)
        if data:
            return data
        if self._exchange.length:
            raise WireError(CUT)
        stops_at = self._deadline.at - STOP_MARGIN_S
        unframed = self._exchange.ends_with_connection
        if unframed and time.monotonic() >= stops_at:
            raise WireError(STOPPED)
        return data

    def finish(self) -> None:
        """Reuse the connection if the answer is complete, else close it."""
        self._exchange.finish()

    def abort(self) -> None:
        """Shut the connection down; safe on any thread."""
        with contextlib.suppress(OSError):
            self._exchange.shut_down()


__all__ = ["HttpEngineAnswer", "HttpEngineClient"]
