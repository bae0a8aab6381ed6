"""Claims of trials of held work, in a row store."""

from __future__ import annotations

import hashlib
import json
from typing import TYPE_CHECKING

from expression import Error, Ok, Result
from pydantic import BaseModel, ConfigDict, Field, ValidationError

from mulberrypass.policy.health.trials import Claim, FoundClaim
from mulberrypass.runtime.logs import get_logger
from mulberrypass.storage.rows import (
    Expected,
    RowKey,
    RowsConflict,
    Transaction,
)

if TYPE_CHECKING:
    from mulberrypass.storage.rows import RowStore

LOG = get_logger(__name__)
TRIALS_TABLE = "crash_trials"
# Bounds the table: trials with one key wait for each other.
KEYS = 256
# More trials than any member begins while it remembers a crash.
MAX_NUMBER = 64


class RowTrialClaims:
    """Keeps the latest claim of each trial in a row. Safe on any thread."""

    def __init__(self, rows: RowStore) -> None:
        self._rows = rows

    def replace(
        self, claim: Claim, version: int
    ) -> Result[int, FoundClaim | None]:
        """Write a claim if the row is still that of a version.

        :param version: 0 for none
        :returns: the version written, or the claim that is there instead;
            ``None`` if the store took no call
        """
        row = RowKey(TRIALS_TABLE, "", _key(claim.name))
        result = self._rows.transact(
            Transaction(
                expected=(Expected(row, version),),
                puts=((row, _encode(claim)),),
            )
        )
        if result.is_ok():
            return Ok(result.ok)
        match result.error:
            case RowsConflict(found=(found, *_)):
                return Error(FoundClaim(_decode(found.value), found.version))
            case RowsConflict():
                # The row has been removed.
                return self.replace(claim, 0) if version else Error(None)
            case _:
                return Error(None)


def _key(name: str) -> str:
    digest = hashlib.blake2b(name.encode(), digest_size=8).digest()
    return f"{int.from_bytes(digest) % KEYS:02x}"


def _encode(claim: Claim) -> bytes:
    doc = {
        "name": claim.name,
        "member": claim.member,
        "crashes": claim.crashes,
        "number": claim.number,
    }
    return json.dumps(doc).encode()


class _Claim(BaseModel):
    model_config = ConfigDict(extra="ignore", strict=True)

    name: str
    member: str
    crashes: int = Field(ge=0)
    number: int = Field(ge=1, le=MAX_NUMBER)


def _decode(value: bytes) -> Claim:
    """Decode a claim; a damaged one counts as one of another trial."""
    try:
        doc = _Claim.model_validate_json(value)
    except ValidationError as exc:
        reason = exc.errors()[0]["msg"]
        LOG.error("claim of a trial can't be read", reason=reason)
        return Claim("", "", 0)
    return Claim(doc.name, doc.member, doc.crashes, doc.number)


__all__ = ["RowTrialClaims", "TRIALS_TABLE"]
