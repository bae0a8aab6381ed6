"""Sender that calls the system as its callers do."""

from __future__ import annotations

import http.client
import json
import threading
import time
from typing import TYPE_CHECKING, Any

from mulberrypass.bench.load.http_call import call
from mulberrypass.bench.load.open_loop import (
    OutgoingRequest,
    RequestResult,
    Sender,
)
from mulberrypass.bench.processes.cluster import ONLINE_SERVICE, bearer
from mulberrypass.engine.pool import ConnectionPool

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

CALLERS_PER_CUSTOMER = 24
MAX_ATTEMPTS = 3
READ_BYTES = 65_536
REQUESTS_PATH = f"/v1/services/{ONLINE_SERVICE}/requests"


class AddressCache:
    """Addresses assigned to one caller, cached for their lifetime."""

    def __init__(self, caller: str, customer: str, seeds: Sequence[str]):
        self._caller = caller
        self._customer = customer
        self._seeds = seeds
        self._lock = threading.Lock()
        self._expires_at = 0.0
        self._addresses: list[str] = []

    def addresses(self) -> list[str]:
        """Return the addresses; fetch them again when expired."""
        with self._lock:
            if time.monotonic() >= self._expires_at:
                self._refresh()
            return self._addresses

    def invalidate(self) -> None:
        """Expire the addresses, so that the next request fetches them."""
        with self._lock:
            self._expires_at = 0.0

    def _refresh(self) -> None:
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
            self._addresses = [entry["address"] for entry in doc["addresses"]]
            self._expires_at = time.monotonic() + float(doc["ttl_s"])
            return


class EntrySender(Sender):
    """Many callers that fetch instance addresses and connect to them.

    A caller retries at its next address if it can't connect or if the
    instance answers that it is busy and did not run the request.
    """

    def __init__(self, seeds: Sequence[str], customers: Sequence[str]):
        self._lock = threading.Lock()
        self._pools: dict[str, _Connections] = {}
        self._caches = {
            customer: [
                AddressCache(
                    f"{customer}-{n}",
                    customer,
                    [*seeds[n % len(seeds) :], *seeds[: n % len(seeds)]],
                )
                for n in range(CALLERS_PER_CUSTOMER)
            ]
            for customer in customers
        }

    def send(self, req: OutgoingRequest) -> RequestResult:
        """Send a request and wait for the end of its answer."""
        caches = self._caches[req.arrival.customer]
        cache = caches[req.index % len(caches)]
        result = RequestResult(error="no address")
        for attempt in range(MAX_ATTEMPTS):
            addresses = cache.addresses()
            if not addresses:
                return result
            address = addresses[attempt % len(addresses)]
            result, retry = self._attempt(address, req)
            if not retry:
                return result
            cache.invalidate()
        return result

    def close(self) -> None:
        """Close idle connections."""
        for pool in self._pools.values():
            pool.close()

    def _attempt(
        self, address: str, req: OutgoingRequest
    ) -> tuple[RequestResult, bool]:
        result = RequestResult(address=address)
        if req.remaining_s <= 0:
            result.error = "deadline before it was sent"
            return result, False
        pool = self._pool(address)
        try:
            conn = pool.acquire()
        except OSError:
            result.error = "no connection"
            return result, True
        complete = False
        retry = False
        try:
            retry = _exchange(conn, req, result)
            complete = not result.error
        except (OSError, http.client.HTTPException, ValueError) as exc:
            result.error = f"cut: {type(exc).__name__}"
        finally:
            pool.release(conn, complete)
        return result, retry

    def _pool(self, address: str) -> _Connections:
        with self._lock:
            pool = self._pools.get(address)
            if pool is None:
                pool = self._pools[address] = _Connections(address)
            return pool


class _Connections:
    """Connection pool of the callers of one address."""

    def __init__(self, address: str) -> None:
        self._address = address
        self._pool = ConnectionPool(address)

    def acquire(self) -> http.client.HTTPConnection:
        conn = self._pool.take_idle()
        if conn is None:
            conn = http.client.HTTPConnection(self._address, timeout=5.0)
            conn.connect()
        return conn

    def release(
        self, conn: http.client.HTTPConnection, complete: bool
    ) -> None:
        if complete and conn.sock is not None:
            self._pool.put(conn)
        else:
            conn.close()

    def close(self) -> None:
        self._pool.close()


def _exchange(
    conn: http.client.HTTPConnection,
    req: OutgoingRequest,
    result: RequestResult,
) -> bool:
    """Send a request and read its answer.

    :returns: whether to retry at the next address
    """
    size = req.arrival.size
    body = json.dumps(
        {
            "input": req.prompt,
            "max_tokens": size.output_tokens,
            "stream": True,
        }
    )
    remaining_ms = max(1, int(req.remaining_s * 1_000))
    headers = bearer(req.arrival.customer)
    headers["Request-Timeout-Ms"] = str(remaining_ms)
    conn.sock.settimeout(req.remaining_s + 5.0)
    conn.request("POST", REQUESTS_PATH, body, headers)
    resp = conn.getresponse()
    if resp.status != 200:
        return _read_problem(resp.status, resp.read(), result)
    result.backend_id = resp.headers.get("Request-Id", "")
    for name, doc in _events(resp):
        match name:
            case "tokens":
                result.add_tokens(doc["tokens"])
            case "done":
                resp.read()
                return False
            case "error":
                result.error = f"error event: {doc.get('code')}"
                return False
    result.error = "cut: ended without its last event"
    return False


def _read_problem(status: int, body: bytes, result: RequestResult) -> bool:
    doc = json.loads(body)
    result.backend_id = str(doc.get("request_id", ""))
    result.refused = doc.get("ran") == "no"
    code = str(doc.get("code", status))
    if not result.refused:
        result.error = f"problem: {code}"
    return result.refused and code == "instance_busy"


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


__all__ = ["AddressCache", "EntrySender"]
