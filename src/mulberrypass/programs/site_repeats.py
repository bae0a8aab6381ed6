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

from mulberrypass.platform.site import SiteError
from mulberrypass.policy.online.repeats import RepeatShares

if TYPE_CHECKING:
    from collections.abc import Mapping

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


__all__ = [
    "RepeatSettings",
    "SHARES_VARIABLE",
    "SHARE_VARIABLE",
    "read_repeat_shares",
]
