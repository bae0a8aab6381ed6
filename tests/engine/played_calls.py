"""Calls of clients to servers whose answers must not be accepted."""

from __future__ import annotations

from typing import TYPE_CHECKING
import unittest

from mulberrypass.engine.api import EngineFailed, Finished, GenerationRequest
from mulberrypass.engine.model_client import HttpModelEngine
from mulberrypass.engine.plain_client import HttpPlainService
from mulberrypass.engine.pool import ConnectionPool
from mulberrypass.engine.wire import MAX_ERROR_BYTES, Deadline, WireError
from tests.engine.played import Play, PlayedServer

if TYPE_CHECKING:
    from expression import Result

DEADLINE_S = 4.0
OK = b"HTTP/1.1 200 OK\r\n"
BODY = b"the body of an answer"


def exchanged(server: PlayedServer, body: bytes) -> tuple[int, bytes]:
    """Return the answer to a request.

    :raises WireError: if it is none
    """
    pool = ConnectionPool(server.address)
    deadline = Deadline.after(DEADLINE_S)
    exchange = pool.open(deadline, "r1")
    try:
        exchange.send("POST", "/", body, deadline)
        answer = exchange.read_whole(MAX_ERROR_BYTES, deadline)
        return exchange.status, answer
    finally:
        exchange.finish()
        pool.close()


class ExchangeCase(unittest.TestCase):
    def assert_no_answer(self, play: Play, body: bytes) -> EngineFailed:
        server = PlayedServer(self, play)
        with self.assertRaises(WireError) as caught:
            exchanged(server, body)
        return caught.exception.failed

    def assert_answer(self, play: Play, body: bytes) -> None:
        server = PlayedServer(self, play)
        self.assertEqual((200, BODY), exchanged(server, body))


class ClientsCase(unittest.TestCase):
    """Calls of the clients of the product's own interface."""

    def generate(self, play: Play, size: int) -> list[object]:
        """Return the ends of an answer to a generation."""
        server = PlayedServer(self, play)
        engine = HttpModelEngine(server.address)
        self.addCleanup(engine.close)
        request = GenerationRequest("r1", "m", "1", "a " * (size // 2), 4)
        events = [*engine.generate(request, DEADLINE_S)]
        resumed = [*engine.resume("r1", 0, DEADLINE_S)]
        found = [e.ok if e.is_ok() else e.error for e in (*events, *resumed)]
        return [e for e in found if isinstance(e, (Finished, EngineFailed))]

    def call(self, play: Play, size: int) -> Result[object, EngineFailed]:
        server = PlayedServer(self, play)
        service = HttpPlainService(server.address)
        self.addCleanup(service.close)
        return service.call("r1", "x" * size, DEADLINE_S).map(dict)

    def load(self, play: Play) -> Result[object, EngineFailed]:
        server = PlayedServer(self, play)
        engine = HttpModelEngine(server.address)
        self.addCleanup(engine.close)
        return engine.load().map(repr)


__all__ = ["BODY", "ClientsCase", "ExchangeCase", "OK"]
