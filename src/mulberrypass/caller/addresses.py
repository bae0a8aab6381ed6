"""Lists the instances that a caller should use."""

from __future__ import annotations

from http import HTTPStatus
import time
from typing import TYPE_CHECKING

from mulberrypass.caller.auth import authenticate_customer
from mulberrypass.policy.online.addresses import TTL_S, Candidate, choose
from mulberrypass.runtime.http import Problem, json_answer
from mulberrypass.runtime.ports import (
    BATCH_PORT,
    ENTRY_PORT,
    ENTRY_STREAM_PORT,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from mulberrypass.model.source import ConfigurationSource
    from mulberrypass.peer.api import Membership
    from mulberrypass.runtime.http import Reply, Request

UNREADY_RETRY_S = 1.0


class Addresses:
    """Answers ``GET /v1/addresses``.

    Short calls and streams have separate ports, and so separate accept
    queues: the service determines the port. ``use=jobs`` selects the port
    for jobs.
    """

    def __init__(
        self,
        membership: Membership,
        configuration: ConfigurationSource,
        wall: Callable[[], float] = time.time,
    ) -> None:
        self._membership = membership
        self._configuration = configuration
        self._wall = wall

    def get(self, req: Request) -> Reply:
        """Answer one request."""
        cfg = self._configuration.current()
        customer = authenticate_customer(cfg, req, self._wall())
        if customer.is_error():
            return customer.error
        name = req.query.get("service", "")
        service = cfg.services.get(name)
        if service is None:
            detail = f"no service {name!r}"
            return Problem(HTTPStatus.NOT_FOUND, "no_such_service", detail)
        if req.query.get("use") == "jobs":
            return self._answer(req, "batch", BATCH_PORT, customer.ok.name)
        port = ENTRY_STREAM_PORT if service.streams else ENTRY_PORT
        return self._answer(req, "entry", port, customer.ok.name)

    def _answer(
        self, req: Request, program: str, port: int, customer: str
    ) -> Reply:
        candidates = [
            Candidate(member.name, member.zone, member.address)
            for member in self._membership.live(program)
        ]
        caller = req.query.get("caller", customer)
        chosen = choose(candidates, req.query.get("zone", ""), caller)
        if not chosen:
            return Problem(
                HTTPStatus.SERVICE_UNAVAILABLE,
                "no_instance",
                "no instance can take requests now",
                retry_after_s=UNREADY_RETRY_S,
            )
        return json_answer(
            {
                "ttl_s": TTL_S,
                "addresses": [
                    {"address": f"{c.address}:{port}", "zone": c.zone}
                    for c in chosen
                ],
            }
        )


__all__ = ["Addresses"]
