"""Explains to an operator how a request would be handled."""

from __future__ import annotations

from http import HTTPStatus
import time
from typing import TYPE_CHECKING, Any

import xxhash

from mulberrypass.caller.auth import authenticate_operator
from mulberrypass.model.jsonable import jsonable
from mulberrypass.policy.placement.canary import route_version
from mulberrypass.runtime.http import Problem, json_answer

if TYPE_CHECKING:
    from collections.abc import Callable

    from mulberrypass.model.source import ConfigurationSource
    from mulberrypass.peer.owner import CellOwner
    from mulberrypass.runtime.http import Reply, Request


class Explain:
    """Answers ``GET /debug/explain?service=&customer=&input=``."""

    def __init__(
        self,
        configuration: ConfigurationSource,
        owner: CellOwner,
        wall: Callable[[], float] = time.time,
    ) -> None:
        self._configuration = configuration
        self._owner = owner
        self._wall = wall

    def get(self, req: Request) -> Reply:
        """Answer one request, without a call to a backend server."""
        cfg = self._configuration.current()
        operator = authenticate_operator(cfg, req, self._wall())
        if operator.is_error():
            return operator.error
        service = cfg.services.get(req.query.get("service", ""))
        customer = cfg.customers.get(req.query.get("customer", ""))
        if service is None or customer is None:
            detail = "service and customer must name objects in force"
            return Problem(HTTPStatus.NOT_FOUND, "no_such_object", detail)
        routing_key = req.query.get("input", "").encode()
        route = route_version(
            service, customer, xxhash.xxh3_64_intdigest(routing_key)
        )
        pool = cfg.pools[service.pool]
        document: dict[str, Any] = {
            "generation": cfg.generation,
            "service": service.name,
            "customer": customer.name,
            "may_call": not service.customers
            or customer.name in service.customers,
            "record": service.record.value,
            "idempotent": service.idempotent,
            "route": jsonable(route),
            "pool": {"name": pool.name, "backends": list(pool.backends)},
            "owned_here": jsonable(self._owner.state()),
        }
        return json_answer(document)


__all__ = ["Explain"]
