"""Admits requests and forwards them to engines."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from mulberrypass.policy.access import (
    Allowed,
    UnknownKey,
    UnknownRoute,
    check_access,
)
from mulberrypass.relay.api import NoRoute, Refused, Relay, Unauthorized
from mulberrypass.relay.dependencies import RelayDependencies
from mulberrypass.relay.forwarded import ForwardedRequest
from mulberrypass.runtime.logs import get_logger

if TYPE_CHECKING:
    from collections.abc import Callable, Generator

    from mulberrypass.relay.api import RelayEvent, RelayRequest

LOG = get_logger(__name__)
NO_CONFIGURATION_RETRY_S = 0.5


class Forwarder(Relay):
    """Answers requests by forwarding them to engines."""

    def __init__(self, deps: RelayDependencies) -> None:
        self._deps = deps

    def run(
        self, req: RelayRequest, disconnected: Callable[[], bool]
    ) -> Generator[RelayEvent, None, None]:
        """Answer one request; see ``Relay``."""
        table = self._deps.directory.routes()
        if table.version == 0:
            yield Refused("no_configuration", NO_CONFIGURATION_RETRY_S)
            return
        match check_access(table, req.host, req.path, req.key):
            case UnknownRoute():
                LOG.info("no route", id=req.request_id, version=table.version)
                yield NoRoute()
            case UnknownKey():
                LOG.info(
                    "unknown key", id=req.request_id, version=table.version
                )
                yield Unauthorized()
            case Allowed() as access:
                req = replace(req, customer=access.name)
                yield from ForwardedRequest(
                    self._deps, req, access, disconnected
                ).events()


__all__ = ["Forwarder", "RelayDependencies"]
