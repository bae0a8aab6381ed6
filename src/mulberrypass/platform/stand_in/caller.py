"""Stand-in for a caller on the platform."""

from __future__ import annotations

import base64
import http.client
import json
from typing import TYPE_CHECKING, Any

from mulberrypass.model.value_class import value_class
from mulberrypass.platform import headers as names
from mulberrypass.platform.stand_in.engine import RESPONSE_STAMP

if TYPE_CHECKING:
    from mulberrypass.platform.site import HostPort

MS_PER_S = 1_000.0
ITEM_TOKENS = 100


class CallFailedError(Exception):
    """The answer is missing, incomplete or an error."""


@value_class
class CallResult:
    """A complete answer.

    :param stamped: whether it has an engine's response stamp
    :param will_close: whether the server closes the connection after it
    """

    status: int
    body: bytes
    stamped: bool
    will_close: bool


@value_class
class ResultsPage:
    """Results of a job from a position on.

    :param results: id, state and output of each item
    """

    total: int
    results: tuple[tuple[str, str, str], ...]


class SiteCaller:
    """Makes calls on one persistent connection."""

    def __init__(self, to: HostPort, timeout_s: float) -> None:
        self._conn = http.client.HTTPConnection(
            to.host, to.port, timeout=timeout_s
        )
        self._timeout_s = timeout_s
        self._identity: dict[str, str] = {}

    def close(self) -> None:
        """Close the connection."""
        self._conn.close()

    def identify(self, key: str, claimed: str = "") -> None:
        """Set the key of the next calls.

        :param claimed: name of a customer, which no caller may set
        """
        pairs = ((names.CUSTOMER_KEY, key), (names.CUSTOMER, claimed))
        self._identity = {name: value for name, value in pairs if value}

    def resolve(self, zone: str) -> tuple[str, ...]:
        """Look up the addresses for a zone.

        :raises CallFailedError: if the answer is an error or incomplete
        """
        doc = self._json("GET", f"/resolve?Name=x&Region=r&Zone={zone}")
        return tuple(doc["Addresses"])

    def request(self, host: str, path: str, request_id: str) -> CallResult:
        """Make one request.

        :raises CallFailedError: if the answer is missing or incomplete
        """
        deadline = str(round(self._timeout_s * MS_PER_S))
        headers = {
            "Host": host,
            names.REQUEST_ID: request_id,
            names.DEADLINE_MS: deadline,
            names.TOKEN_COUNTS: "40,20",
        }
        return self._call("POST", path, headers, request_id.encode())

    def submit(
        self,
        host: str,
        path: str,
        job_id: str,
        items: tuple[str, ...],
        item_paths: tuple[str, ...] = (),
    ) -> int:
        """Submit a job and return the status of the answer.

        :param item_paths: used in turn for the items; by default the path of
            the job
        :raises CallFailedError: if the answer is missing or incomplete
        """
        paths = item_paths or (path,)
        body = json.dumps(
            {
                "Items": [
                    {
                        "Id": item,
                        "Path": paths[number % len(paths)],
                        "Headers": {},
                        "Body": base64.b64encode(item.encode()).decode(),
                        "Tokens": ITEM_TOKENS,
                    }
                    for number, item in enumerate(items)
                ]
            }
        ).encode()
        headers = {"Host": host, names.REQUEST_ID: job_id}
        return self._call("POST", path, headers, body).status

    def results(
        self, host: str, job_id: str, after: int
    ) -> ResultsPage | None:
        """Read results from a position on; ``None`` for an unknown job.

        :raises CallFailedError: if the answer is an error or incomplete
        """
        path = f"/lots/{job_id}?After={after}"
        answer = self._call("GET", path, {"Host": host}, None)
        if answer.status == http.client.NOT_FOUND:
            return None
        if answer.status != http.client.OK:
            raise CallFailedError(f"status {answer.status}")
        doc = json.loads(answer.body)
        return ResultsPage(
            doc["Total"],
            tuple(
                (entry["Id"], entry["State"], entry["Output"])
                for entry in doc["Results"]
            ),
        )

    def cancel(self, host: str, job_id: str) -> int:
        """Cancel a job and return the status of the answer.

        :raises CallFailedError: if the answer is missing or incomplete
        """
        path = f"/lots/{job_id}"
        return self._call("DELETE", path, {"Host": host}, None).status

    def _json(self, method: str, path: str) -> dict[str, Any]:
        answer = self._call(method, path, {}, None)
        if answer.status != http.client.OK:
            raise CallFailedError(f"status {answer.status}")
        doc: dict[str, Any] = json.loads(answer.body)
        return doc

    def _call(
        self,
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes | None,
    ) -> CallResult:
        try:
            self._conn.request(method, path, body, headers | self._identity)
            resp = self._conn.getresponse()
            data = resp.read()
        except (OSError, http.client.HTTPException) as exc:
            self._conn.close()
            raise CallFailedError(repr(exc))
        stamped = resp.getheader(RESPONSE_STAMP) is not None
        return CallResult(resp.status, data, stamped, resp.will_close)


__all__ = ["CallResult", "CallFailedError", "ResultsPage", "SiteCaller"]
