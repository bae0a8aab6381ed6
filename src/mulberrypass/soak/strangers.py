"""Calls about a job with keys that may not use it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from mulberrypass.platform.stand_in.caller import CallFailedError
from mulberrypass.platform.stand_in.site import (
    BATCH_HOST,
    BATCH_PATH,
    ITEM_PATHS,
)

if TYPE_CHECKING:
    import random

    from mulberrypass.platform.stand_in.caller import SiteCaller
    from mulberrypass.soak.records import JobRecord

ACCEPTED = 202
OK = 200


def submit_job(caller: SiteCaller, job: JobRecord) -> int:
    """Submit a job and return the status of the answer; 0 for none."""
    try:
        return caller.submit(
            BATCH_HOST, BATCH_PATH, job.job_id, job.items, ITEM_PATHS
        )
    except CallFailedError:
        return 0
    finally:
        caller.close()


def intrude(caller: SiteCaller, job: JobRecord, rng: random.Random) -> None:
    """Read, end or resend a job; note if that is not refused."""
    match rng.choice(("read", "end", "resend")):
        case "read":
            if _reads(caller, job):
                job.strangers.append("read with another key")
        case "end":
            if _ends(caller, job):
                job.strangers.append("ended with another key")
        case _:
            if submit_job(caller, job) in (OK, ACCEPTED):
                job.strangers.append("resent with another key")


def _reads(caller: SiteCaller, job: JobRecord) -> bool:
    try:
        return caller.results(BATCH_HOST, job.job_id, 0) is not None
    except CallFailedError:
        return False
    finally:
        caller.close()


def _ends(caller: SiteCaller, job: JobRecord) -> bool:
    try:
        return caller.cancel(BATCH_HOST, job.job_id) == OK
    except CallFailedError:
        return False
    finally:
        caller.close()


__all__ = ["intrude", "submit_job"]
