"""Who an operator is, also before the first operator is published."""

from __future__ import annotations

import hmac
from http import HTTPStatus
import time
from typing import TYPE_CHECKING

from expression import Error, Ok, Result

from mulberrypass.caller.auth import authenticate_operator, key_digest
from mulberrypass.runtime.http import Problem

if TYPE_CHECKING:
    from collections.abc import Callable

    from mulberrypass.configuration.store import ConfigurationStore
    from mulberrypass.model.objects import Operator
    from mulberrypass.model.source import ConfigurationSource
    from mulberrypass.runtime.http import Request

BOOTSTRAP = "bootstrap"
BEARER = "bearer "


class OperatorAuth:
    """Finds the operator whose key a request shows.

    :param bootstrap_digest: SHA-256 of the key that is taken while no
        operator is published; empty for none
    :param clock: gives Unix time in seconds
    """

    def __init__(
        self,
        configuration: ConfigurationSource,
        store: ConfigurationStore,
        bootstrap_digest: str,
        clock: Callable[[], float] = time.time,
    ) -> None:
        self._configuration = configuration
        self._store = store
        self._bootstrap_digest = bootstrap_digest
        self._clock = clock

    def authenticate(self, req: Request) -> Result[str, Problem]:
        """Give the operator's name."""
        cfg = self._configuration.current()
        if cfg.operators:
            found = authenticate_operator(cfg, req, self._clock())
            return found.map(_name)
        if not self._shows_bootstrap_key(req):
            return Error(_unknown())
        return self._bootstrap(cfg.generation)

    def _shows_bootstrap_key(self, req: Request) -> bool:
        header = req.headers.get("authorization", "")
        if not header.lower().startswith(BEARER):
            return False
        digest = key_digest(header[len(BEARER) :].strip())
        expected = self._bootstrap_digest.lower()
        return bool(expected) and hmac.compare_digest(digest, expected)

    def _bootstrap(self, generation: int) -> Result[str, Problem]:
        """Take the bootstrap key only where no operator is published."""
        match self._store.head():
            case Result(tag="ok", ok=head) if head.generation <= generation:
                return Ok(BOOTSTRAP)
            case Result(tag="ok", ok=head):
                reason = f"generation {head.generation} is not read yet"
            case Result(error=down):
                reason = down.reason
        return Error(
            Problem(
                HTTPStatus.SERVICE_UNAVAILABLE,
                "not_ready",
                f"whether there are operators is not known: {reason}",
                retry_after_s=1.0,
            )
        )


def _name(operator: Operator) -> str:
    return operator.name


def _unknown() -> Problem:
    return Problem(
        HTTPStatus.UNAUTHORIZED,
        "unknown_key",
        "Authorization must be Bearer with an operator's key",
    )


__all__ = ["BOOTSTRAP", "OperatorAuth"]
