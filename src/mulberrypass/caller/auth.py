"""Authentication of customers and operators by key."""

from __future__ import annotations

import hashlib
import hmac
from http import HTTPStatus
from typing import TYPE_CHECKING

from expression import Error, Ok, Result

from mulberrypass.model.outcome import Ran
from mulberrypass.runtime.http import Problem

if TYPE_CHECKING:
    from collections.abc import Iterable

    from mulberrypass.model.objects import (
        Configuration,
        Customer,
        KeyDigest,
        Operator,
    )
    from mulberrypass.runtime.http import Request

BEARER = "bearer "


def key_digest(key: str) -> str:
    """Return the hexadecimal SHA-256 of a key."""
    return hashlib.sha256(key.encode()).hexdigest()


def authenticate_customer(
    cfg: Configuration, req: Request, wall_now: float
) -> Result[Customer, Problem]:
    """Return the customer whose key a request carries.

    :param wall_now: Unix time in seconds, for keys that expire
    """
    digest = _presented_digest(req)
    for customer in cfg.customers.values():
        if _matches(customer.keys, digest, wall_now):
            return Ok(customer)
    return Error(_unknown_key())


def authenticate_operator(
    cfg: Configuration, req: Request, wall_now: float
) -> Result[Operator, Problem]:
    """Return the operator whose key a request carries."""
    digest = _presented_digest(req)
    for operator in cfg.operators.values():
        if _matches(operator.keys, digest, wall_now):
            return Ok(operator)
    return Error(_unknown_key())


def _presented_digest(req: Request) -> str:
    header = req.headers.get("authorization", "")
    if not header.lower().startswith(BEARER):
        return ""
    return key_digest(header[len(BEARER) :].strip())


def _matches(keys: Iterable[KeyDigest], digest: str, wall_now: float) -> bool:
    return any(
        hmac.compare_digest(key.digest.lower(), digest)
        and (key.not_after is None or wall_now <= key.not_after)
        for key in keys
    )


def _unknown_key() -> Problem:
    return Problem(
        HTTPStatus.UNAUTHORIZED,
        "unknown_key",
        "Authorization must be Bearer with a key that is in force",
        Ran.NO,
    )


__all__ = ["authenticate_customer", "authenticate_operator", "key_digest"]
