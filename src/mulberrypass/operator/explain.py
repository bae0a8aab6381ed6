"""Explains which backend server a request would get."""

from __future__ import annotations

from http import HTTPStatus
from http.client import HTTPConnection, HTTPException
import json
from typing import TYPE_CHECKING, Any
from urllib.parse import urlencode

from expression import Error, Ok, Result

from mulberrypass.model.value_class import value_class
from mulberrypass.policy.admission.cells import (
    CellKey,
    owner,
    partition_backends,
)
from mulberrypass.runtime.bounded import read_answer
from mulberrypass.runtime.http import Problem, json_answer
from mulberrypass.runtime.ports import ENTRY_PORT

if TYPE_CHECKING:
    from mulberrypass.model.source import ConfigurationSource
    from mulberrypass.peer.api import Membership
    from mulberrypass.runtime.http import Reply, Request

TIMEOUT_S = 5.0
MAX_ANSWER_BYTES = 1_048_576
MAX_ENTRY_PROCESSES = 8
OWNED_CELLS_FIELD = "owned_here"


@value_class
class ExplainFailure:
    """An entry process returned no explanation.

    :param status: HTTP status; 0 if there was no answer
    :param document: the problem document
    """

    member: str
    status: int
    document: dict[str, Any]


@value_class
class PoolCell:
    """A cell of a pool, and the entry process that admits work to it."""

    cell: str
    backends: tuple[str, ...]
    owner: str


class ExplainProxy:
    """Merges the explanations of the owners of a pool's cells."""

    def __init__(
        self,
        membership: Membership,
        configuration: ConfigurationSource,
        entry_port: int = ENTRY_PORT,
    ) -> None:
        self._membership = membership
        self._configuration = configuration
        self._entry_port = entry_port

    def explain(self, req: Request) -> Reply:
        """Ask the owners, or any entry processes if there are none."""
        addresses = {m.name: m.address for m in self._membership.live("entry")}
        cells = self._cells(req.query.get("service", ""), addresses)
        members = list(dict.fromkeys(cell.owner for cell in cells))
        members = (members or sorted(addresses))[:MAX_ENTRY_PROCESSES]
        base: dict[str, Any] = {}
        owners: dict[str, Any] = {}
        first_failure: ExplainFailure | None = None
        for member in members:
            match self._ask(member, addresses[member], req):
                case Result(tag="ok", ok=found):
                    owners[member] = found.pop(OWNED_CELLS_FIELD, None)
                    base = base or found
                case Result(error=failure):
                    owners[member] = failure.document
                    first_failure = first_failure or failure
        if not base:
            return _failure_problem(first_failure)
        parts = [
            {"cell": c.cell, "backends": c.backends, "owner": c.owner}
            for c in cells
        ]
        return json_answer(base | {"cells": parts, "owners": owners})

    def _cells(
        self, service: str, addresses: dict[str, str]
    ) -> list[PoolCell]:
        cfg = self._configuration.current()
        found = cfg.services.get(service)
        if found is None or not addresses:
            return []
        backends = cfg.pools[found.pool].backends
        keys = (CellKey(found.pool, i) for i in range(len(backends)))
        return [
            PoolCell(key.name, names, owner(key, addresses) or "")
            for key, names in zip(
                keys, partition_backends(backends), strict=False
            )
        ]

    def _ask(
        self, member: str, address: str, req: Request
    ) -> Result[dict[str, Any], ExplainFailure]:
        conn = HTTPConnection(address, self._entry_port, timeout=TIMEOUT_S)
        key = req.headers.get("authorization", "")
        target = f"/debug/explain?{urlencode(req.query)}"
        try:
            conn.request("GET", target, headers={"Authorization": key})
            status, body = read_answer(conn, TIMEOUT_S, MAX_ANSWER_BYTES)
            document = json.loads(body)
            if not isinstance(document, dict):
                raise ValueError("the answer is not an object")
        except (OSError, HTTPException, ValueError) as exc:
            reason = f"{member} gives no answer: {exc}"
            return Error(ExplainFailure(member, 0, {"detail": reason}))
        finally:
            conn.close()
        if status != HTTPStatus.OK:
            return Error(ExplainFailure(member, status, document))
        return Ok(document)


def _failure_problem(first_failure: ExplainFailure | None) -> Problem:
    """Return the problem to answer if no entry process explained."""
    detail = "no entry process is known to be alive"
    if first_failure is not None:
        detail = str(
            first_failure.document.get("detail", first_failure.document)
        )
        if first_failure.status == HTTPStatus.NOT_FOUND:
            code = str(first_failure.document.get("code", "not_found"))
            return Problem(HTTPStatus.NOT_FOUND, code, detail)
    return Problem(
        HTTPStatus.SERVICE_UNAVAILABLE, "no_entry", detail, retry_after_s=1.0
    )


__all__ = ["ExplainProxy"]
