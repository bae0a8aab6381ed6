"""Small HTTP calls of the bench to programs and stand-ins."""

from __future__ import annotations

from dataclasses import dataclass
import http.client
import json
import time
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

CALL_TIMEOUT_S = 30.0
POLL_S = 0.1


@dataclass(frozen=True, slots=True)
class HttpAnswer:
    """The answer to one small call."""

    status: int
    body: bytes

    def json(self) -> Any:
        """Read the body as JSON."""
        return json.loads(self.body)


def call(
    method: str,
    address: str,
    path: str,
    body: bytes | None = None,
    headers: Mapping[str, str] | None = None,
) -> HttpAnswer:
    """Make one call on a connection of its own."""
    conn = http.client.HTTPConnection(address, timeout=CALL_TIMEOUT_S)
    try:
        conn.request(method, path, body, dict(headers or {}))
        resp = conn.getresponse()
        return HttpAnswer(resp.status, resp.read())
    finally:
        conn.close()


def wait_until(what: str, done: Callable[[], bool], timeout_s: float) -> None:
    """Wait for a state of a program.

    :raises TimeoutError: where it does not come in time
    """
    end = time.monotonic() + timeout_s
    while time.monotonic() < end:
        try:
            if done():
                return
        except (OSError, http.client.HTTPException):
            pass
        time.sleep(POLL_S)
    raise TimeoutError(f"waited {timeout_s:g} s in vain for {what}")


__all__ = ["HttpAnswer", "call", "wait_until"]
