"""HTTP calls of experiments to programs and stand-ins."""

from __future__ import annotations

import http.client
import json
import time
from typing import TYPE_CHECKING, Any

from mulberrypass.model.value_class import value_class

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

CALL_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.1


@value_class
class HttpAnswer:
    """Status and body of an HTTP answer."""

    status: int
    body: bytes

    def json(self) -> Any:
        """Return the body, parsed as JSON."""
        return json.loads(self.body)


def call(
    method: str,
    address: str,
    path: str,
    body: bytes | None = None,
    headers: Mapping[str, str] | None = None,
) -> HttpAnswer:
    """Send one request on a connection of its own."""
    conn = http.client.HTTPConnection(address, timeout=CALL_TIMEOUT_S)
    try:
        conn.request(method, path, body, dict(headers or {}))
        resp = conn.getresponse()
        return HttpAnswer(resp.status, resp.read())
    finally:
        conn.close()


def wait_until(
    what: str, condition: Callable[[], bool], timeout_s: float
) -> None:
    """Poll until a condition holds; connection errors count as not yet.

    :param what: description of the condition, for the error message
    :raises TimeoutError: if the condition does not hold in time
    """
    end = time.monotonic() + timeout_s
    while time.monotonic() < end:
        try:
            if condition():
                return
        except (OSError, http.client.HTTPException):
            pass
        time.sleep(POLL_INTERVAL_S)
    raise TimeoutError(f"waited {timeout_s:g} s for {what} without success")


__all__ = ["HttpAnswer", "call", "wait_until"]
