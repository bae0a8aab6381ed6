"""HTTP client for the control programs' operator API."""

from __future__ import annotations

from http.client import HTTPConnection, HTTPException
import json
from typing import Any
from urllib.parse import urlsplit

from expression import Error, Ok, Result

from mulberrypass.model.value_class import value_class
from mulberrypass.runtime.bounded import read_answer

TIMEOUT_S = 30.0
MAX_ANSWER_BYTES = 268_435_456
FIRST_ERROR_STATUS = 400


@value_class
class NoAnswer:
    """No control program answered."""

    reason: str

    @property
    def detail(self) -> str:
        """Why the last control program did not answer."""
        return self.reason


@value_class
class Refused:
    """A control program refused the request.

    :param document: the problem document
    """

    status: int
    document: dict[str, Any]

    @property
    def code(self) -> str:
        """Stable error code."""
        return str(self.document.get("code", ""))

    @property
    def detail(self) -> str:
        """Description of the error."""
        return str(self.document.get("detail", f"status {self.status}"))


ClientError = NoAnswer | Refused
Reply = Result[dict[str, Any], ClientError]


class ControlClient:
    """Sends requests to control programs in turn until one answers.

    :param controls: URLs of control programs, as ``http://IP:port``
    :param key: the operator's key
    """

    def __init__(self, controls: tuple[str, ...], key: str) -> None:
        self._controls = controls
        self._key = key

    def get(self, path: str) -> Reply:
        """Send a GET request."""
        return self._call("GET", path, None)

    def post(self, path: str, document: Any) -> Reply:
        """Send a POST request, which must be safe to repeat."""
        return self._call("POST", path, json.dumps(document).encode())

    def _call(self, method: str, path: str, body: bytes | None) -> Reply:
        reason = "no control program is named"
        for control in self._controls:
            try:
                return self._ask(control, method, path, body)
            except (OSError, HTTPException, ValueError) as exc:
                reason = f"{control} gives no answer: {exc}"
        return Error(NoAnswer(reason))

    def _ask(
        self, control: str, method: str, path: str, body: bytes | None
    ) -> Reply:
        url = urlsplit(control)
        if url.scheme != "http" or url.hostname is None:
            raise ValueError("it is not a URL as http://IP:port")
        conn = HTTPConnection(url.hostname, url.port, timeout=TIMEOUT_S)
        headers = {"Authorization": f"Bearer {self._key}"}
        if body is not None:
            headers["Content-Type"] = "application/json"
        try:
            conn.request(method, path, body, headers)
            status, answer = read_answer(conn, TIMEOUT_S, MAX_ANSWER_BYTES)
            document = json.loads(answer)
        finally:
            conn.close()
        if not isinstance(document, dict):
            raise ValueError("the answer is not an object")
        if status >= FIRST_ERROR_STATUS:
            return Error(Refused(status, document))
        return Ok(document)


__all__ = ["ClientError", "ControlClient", "NoAnswer", "Refused", "Reply"]
