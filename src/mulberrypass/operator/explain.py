"""Asks an entry process which backend server a request would get."""

from __future__ import annotations

from http import HTTPStatus
from http.client import HTTPConnection, HTTPException
from typing import TYPE_CHECKING
from urllib.parse import urlencode

from mulberrypass.runtime.http import Answer, Problem
from mulberrypass.runtime.ports import ENTRY_PORT

if TYPE_CHECKING:
    from mulberrypass.peer.api import Membership
    from mulberrypass.runtime.http import Reply, Request

TIMEOUT_S = 5.0
MAX_ANSWER_BYTES = 1_048_576
MAX_ENTRIES_ASKED = 3


class ExplainProxy:
    """Hands an operator's question to an entry process."""

    def __init__(
        self, membership: Membership, entry_port: int = ENTRY_PORT
    ) -> None:
        self._membership = membership
        self._entry_port = entry_port

    def explain(self, req: Request) -> Reply:
        """Ask entry processes in turn until one answers."""
        reason = "no entry process is known to be alive"
        for member in self._membership.live("entry")[:MAX_ENTRIES_ASKED]:
            try:
                return self._ask(member.address, req)
            except (OSError, HTTPException) as exc:
                reason = f"{member.name} gives no answer: {exc}"
        return Problem(
            HTTPStatus.SERVICE_UNAVAILABLE,
            "no_entry",
            reason,
            retry_after_s=1.0,
        )

    def _ask(self, address: str, req: Request) -> Reply:
        conn = HTTPConnection(address, self._entry_port, timeout=TIMEOUT_S)
        try:
            target = f"/debug/explain?{urlencode(req.query)}"
            key = req.headers.get("authorization", "")
            conn.request("GET", target, headers={"Authorization": key})
            resp = conn.getresponse()
            body = resp.read(MAX_ANSWER_BYTES)
            kind = resp.getheader("Content-Type", "application/json")
            return Answer(body, resp.status, kind)
        finally:
            conn.close()


__all__ = ["ExplainProxy"]
