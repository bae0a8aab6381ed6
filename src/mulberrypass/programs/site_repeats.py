"""Limits on second runs, read from the environment of ``mulberry-site``."""

from __future__ import annotations

from typing import TYPE_CHECKING, Annotated

from pydantic import (
    BaseModel,
    BeforeValidator,
    ConfigDict,
    Field,
    ValidationError,
)

from mulberrypass.engine.pool import CONNECT_TIMEOUT_S
from mulberrypass.platform.site import SiteError
from mulberrypass.policy.online.repeats import RepeatShares

if TYPE_CHECKING:
    from collections.abc import Mapping

# A run that is connecting can't be stopped: its request would get the events
# of a second run only after that. Engines are 2 to 5 ms away, and a lost SYN
# is sent again after 1 s, so that waiting longer gains nothing.
RACED_CONNECT_TIMEOUT_S = 0.3
SHARE_VARIABLE = "MULBERRYPASS_REPEAT_SHARE"
SHARES_VARIABLE = "MULBERRYPASS_REPEAT_SHARES"
VARIABLES = {"share": SHARE_VARIABLE, "shares": SHARES_VARIABLE}


def _parse_shares(text: str) -> dict[str, str]:
    """Parse ``service=share,service=share``."""
    shares: dict[str, str] = {}
    for entry in filter(None, (part.strip() for part in text.split(","))):
        name, _, share = entry.rpartition("=")
        name = name.strip()
        if not name:
            raise ValueError(f"{entry!r} is not service=share")
        if name in shares:
            raise ValueError(f"service {name!r} has two shares")
        shares[name] = share.strip()
    return shares


Share = Annotated[float, Field(ge=0, le=1, allow_inf_nan=False)]


class RepeatSettings(BaseModel):
    """Shares of second runs; 0 turns them off."""

    model_config = ConfigDict(extra="ignore")

    share: Share = 0.0
    shares: Annotated[dict[str, Share], BeforeValidator(_parse_shares)] = {}


def read_repeat_shares(environ: Mapping[str, str]) -> RepeatShares:
    """Read the limits; an empty variable counts as missing.

    :raises SiteError: if a value is no share from 0 to 1
    """
    found = {
        field: environ[name]
        for field, name in VARIABLES.items()
        if environ.get(name, "").strip()
    }
    try:
        settings = RepeatSettings.model_validate(found)
    except ValidationError as exc:
        error = exc.errors(include_url=False)[0]
        field, *entry = error["loc"]
        where = ": ".join((VARIABLES[str(field)], *map(str, entry)))
        raise SiteError(f"{where}: {error['msg']}")
    return RepeatShares(settings.share, settings.shares)


def connect_timeout_s(shares: RepeatShares | None) -> float:
    """Return how long an engine may take to accept a connection."""
    if shares is None or not shares.any:
        return CONNECT_TIMEOUT_S
    return RACED_CONNECT_TIMEOUT_S


__all__ = [
    "RepeatSettings",
    "SHARES_VARIABLE",
    "SHARE_VARIABLE",
    "connect_timeout_s",
    "read_repeat_shares",
]
