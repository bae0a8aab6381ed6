"""Builders of test data for batch jobs."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Any

from mulberrypass.batches.run import Ended, Pause
from mulberrypass.model.batch_jobs import (
    BatchItem,
    ItemOutcome,
    ItemState,
    JobHead,
    NewJob,
)
from mulberrypass.model.routes import RelayRoute, RouteKind, ServiceShare
from mulberrypass.relay.permits import HeldPermit, PendingPermit

if TYPE_CHECKING:
    from mulberrypass.batches.run import ItemRun

POLL_S = 0.01
HOST = "clerk.example"


def route(**fields: Any) -> RelayRoute:
    """Return a route for batch jobs."""
    values: dict[str, Any] = {
        "name": "crates",
        "host": HOST,
        "prefix": "/crates/",
        "kind": RouteKind.BATCH,
        "services": (ServiceShare("rackmind", 1.0),),
        "max_attempts": 3,
    }
    return RelayRoute(**(values | fields))


def item(number: int, **fields: Any) -> BatchItem:
    """Return an item."""
    values: dict[str, Any] = {
        "item_id": f"item-{number}",
        "path": f"/crates/{number}",
        "headers": (("x-a", "b"),),
        "body": b"\x00body",
        "tokens": 100,
    }
    return BatchItem(**(values | fields))


def job(name: str = "job-1", items: int = 3, **fields: Any) -> NewJob:
    """Return a new job."""
    new_items = tuple(item(number, **fields) for number in range(items))
    return NewJob(name, HOST, "/crates/a", new_items)


def head(**fields: Any) -> JobHead:
    """Return the head of a job of three items."""
    values: dict[str, Any] = {
        "job_id": "job-1",
        "host": HOST,
        "route": "crates",
        "first_s": 1_000.0,
        "due_s": 18.0,
        "retention_s": 60.0,
        "tokens": (100, 100, 100),
        "holder": "entry@a",
    }
    return JobHead(**(values | fields))


def outcome(index: int, output: str = "text") -> ItemOutcome:
    """Return the outcome of a completed item."""
    return ItemOutcome(
        index, f"item-{index}", ItemState.COMPLETED, f"{output}-{index}"
    )


def run_item(run: ItemRun) -> ItemOutcome | None:
    """Run an item on this thread until it ends."""
    result: PendingPermit | HeldPermit | Pause | Ended = run.ask()
    while True:
        match result:
            case Ended(outcome=outcome):
                return outcome
            case Pause(seconds=seconds):
                time.sleep(seconds)
                result = run.ask()
            case HeldPermit() as permit:
                result = run.attempt(permit)
            case PendingPermit() as pending:
                result = _wait(run, pending)


def _wait(run: ItemRun, pending: PendingPermit) -> HeldPermit | Pause | Ended:
    while not pending.answer.done():
        late = time.monotonic() >= pending.work.deadline
        if late or run.yielded or not run.is_needed:
            run.withdraw(pending)
            return Pause(0.0)
        time.sleep(POLL_S)
    return run.take(pending)
