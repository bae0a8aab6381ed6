"""Sends requests to the system as callers do."""

from __future__ import annotations

import http.client
import json
import threading
import time
from typing import TYPE_CHECKING, Any

from mulberrypass.bench.load.http_call import call
from mulberrypass.bench.load.open_loop import Answered, Outgoing, Sender
from mulberrypass.bench.processes.cluster import ONLINE_SERVICE, bearer
from mulberrypass.engine.wire import ConnectionPool

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

CALLERS = 24
TRIES = 3
READ_BYTES = 65_536
PATH = f"/v1/services/{ONLINE_SERVICE}/requests"


class AddressBook:
    """The addresses that one caller was told, kept for a while."""

    def __init__(self, caller: str, customer: str, seeds: Sequence[str]):
        self._caller = caller
        self._customer = customer
        self._seeds = seeds
        self._lock = threading.Lock()
        self._until = 0.0
        self._told: list[str] = []

    def addresses(self) -> list[str]:
        """Give the addresses; ask again when they have grown old."""
        with self._lock:
            if time.monotonic() >= self._until:
                self._ask()
            return self._told

    def forget(self) -> None:
        """Ask again before the next request."""
        with self._lock:
            self._until = 0.0

    def _ask(self) -> None:
        path = f"/v1/addresses?service={ONLINE_SERVICE}&caller={self._caller}"
        for seed in self._seeds:
            try:
                answer = call(
                    "GET", seed, path, headers=bearer(self._customer)
                )
            except (OSError, http.client.HTTPException):
                continue
            if answer.status != 200:
                continue
            doc = answer.json()
            self._told = [entry["address"] for entry in doc["addresses"]]
            self._until = time.monotonic() + float(doc["ttl_s"])
            return


class EntrySender(Sender):
    """Many callers, each of which asks for addresses and connects there.

    A caller goes to its next address where the first can't be connected
    to or says that the request was not run.
    """

    def __init__(self, seeds: Sequence[str], customers: Sequence[str]):
        self._lock = threading.Lock()
        self._pools: dict[str, _Connections] = {}
        self._books = {
            customer: [
                AddressBook(
                    f"{customer}-{n}",
                    customer,
                    [*seeds[n % len(seeds) :], *seeds[: n % len(seeds)]],
                )
                for n in range(CALLERS)
            ]
            for customer in customers
        }

    def send(self, req: Outgoing) -> Answered:
        """Send a request, and wait for its end."""
        books = self._books[req.arrival.customer]
        book = books[req.index % len(books)]
        answered = Answered(error="no address")
        for attempt in range(TRIES):
            addresses = book.addresses()
            if not addresses:
                return answered
            address = addresses[attempt % len(addresses)]
            answered, again = self._try(address, req)
            if not again:
                return answered
            book.forget()
        return answered

    def close(self) -> None:
        """Close idle connections."""
        for pool in self._pools.values():
            pool.close()

    def _try(self, address: str, req: Outgoing) -> tuple[Answered, bool]:
        answered = Answered(address=address)
        if req.left_s <= 0:
            answered.error = "deadline before it was sent"
            return answered, False
        pool = self._pool(address)
        try:
            conn = pool.take()
        except OSError:
            answered.error = "no connection"
            return answered, True
        whole = False
        again = False
        try:
            again = _exchange(conn, req, answered)
            whole = not answered.error
        except (OSError, http.client.HTTPException, ValueError) as exc:
            answered.error = f"cut: {type(exc).__name__}"
        finally:
            pool.give_back(conn, whole)
        return answered, again

    def _pool(self, address: str) -> _Connections:
        with self._lock:
            pool = self._pools.get(address)
            if pool is None:
                pool = self._pools[address] = _Connections(address)
            return pool


class _Connections:
    """Connections of callers to one address."""

    def __init__(self, address: str) -> None:
        self._address = address
        self._pool = ConnectionPool(address)

    def take(self) -> http.client.HTTPConnection:
        conn = self._pool.take_idle()
        if conn is None:
            conn = http.client.HTTPConnection(self._address, timeout=5.0)
            conn.connect()
        return conn

    def give_back(self, conn: http.client.HTTPConnection, whole: bool) -> None:
        if whole and conn.sock is not None:
            self._pool.put(conn)
        else:
            conn.close()

    def close(self) -> None:
        self._pool.close()


def _exchange(
    conn: http.client.HTTPConnection, req: Outgoing, answered: Answered
) -> bool:
    """Send and read; whether the next address is to be tried."""
    size = req.arrival.size
    body = json.dumps(
        {
            "input": req.prompt,
            "max_tokens": size.output_tokens,
            "stream": True,
        }
    )
    left_ms = max(1, int(req.left_s * 1_000))
    headers = bearer(req.arrival.customer)
    headers["Request-Timeout-Ms"] = str(left_ms)
    conn.sock.settimeout(req.left_s + 5.0)
    conn.request("POST", PATH, body, headers)
    resp = conn.getresponse()
    if resp.status != 200:
        return _read_problem(resp.status, resp.read(), answered)
    answered.backend_id = resp.headers.get("Request-Id", "")
    for name, doc in _events(resp):
        match name:
            case "tokens":
                answered.add(doc["tokens"])
            case "done":
                resp.read()
                return False
            case "error":
                answered.error = f"error event: {doc.get('code')}"
                return False
    answered.error = "cut: ended without its last event"
    return False


def _read_problem(status: int, body: bytes, answered: Answered) -> bool:
    doc = json.loads(body)
    answered.backend_id = str(doc.get("request_id", ""))
    answered.refused = doc.get("ran") == "no"
    code = str(doc.get("code", status))
    if not answered.refused:
        answered.error = f"problem: {code}"
    return answered.refused and code == "instance_busy"


def _events(
    resp: http.client.HTTPResponse,
) -> Iterator[tuple[str, dict[str, Any]]]:
    buffer = b""
    while part := resp.read1(READ_BYTES):
        *blocks, buffer = (buffer + part).split(b"\n\n")
        for block in blocks:
            name, _, data = block.partition(b"\n")
            yield (
                name.removeprefix(b"event: ").decode(),
                json.loads(data.removeprefix(b"data: ")),
            )


__all__ = ["AddressBook", "EntrySender"]
