"""Checks what the store and the engines hold after a world has run."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

from mulberrypass.jobs.desk import job_id
from mulberrypass.jobs.reading import JobReader
from mulberrypass.jobs.results import JobResults
from mulberrypass.testing.platform_memory import MemoryObjects, MemoryTable
from tests.jobs.world import CUSTOMER

if TYPE_CHECKING:
    from collections.abc import Iterator

    from tests.jobs.world import ClientJob, World


def broken_promises(world: World) -> list[str]:
    """Give each promise that a world has broken."""
    found = list(world.violations)
    for job in world.jobs:
        found.extend(f"{job.key}: {text}" for text in _of_job(world, job))
    return found


def _of_job(world: World, job: ClientJob) -> Iterator[str]:
    name = job_id(CUSTOMER, job.key)
    stored = list(_stored(world, name))
    items = [doc["item"] for doc in stored]
    for item in range(job.items):
        count = items.count(item)
        if count > 1:
            yield f"item {item} completed {count} times"
        if count == 0 and job.cancel_acked is None:
            yield f"item {item} is lost"
        runs = world.runs[name, item]
        if job.service == "booking" and runs > 1:
            yield f"non-idempotent item {item} ran {runs} times"
    for doc in stored:
        done = doc["state"] == "done"
        if done and doc["output"]["text"] != f"{name}/{doc['item']}":
            yield f"item {doc['item']} has another item's answer"
    yield from _of_results(world, job, name)


def _of_results(world: World, job: ClientJob, name: str) -> Iterator[str]:
    reader = JobReader(
        MemoryTable(world.platform), MemoryObjects(world.platform)
    )
    row = reader.job(name).ok
    if row is None:
        yield "the job is lost"
        return
    lines = list(JobResults(reader).lines(row, 0, job.items).ok)
    docs = [json.loads(line) for line in lines]
    if [doc["item"] for doc in docs] != list(range(job.items)):
        yield "results are not in the order of the items"
    for doc in docs:
        state, item = doc["state"], doc["item"]
        if state == "pending":
            yield f"item {item} is pending after the end"
        ran = world.runs[name, item]
        if state == "cancelled" and job.service == "booking" and ran:
            yield f"item {item} ran, and reads as cancelled"


def _stored(world: World, name: str) -> Iterator[dict[str, Any]]:
    for row in world.platform.all_rows("jobs"):
        if not row.key.startswith(f"lot/{name}/"):
            continue
        for chunk in row.row["chunks"]:
            data = world.platform.get_object(chunk["key"]).ok
            last = chunk["start"] + chunk["lines"]
            for line in data.split(b"\n")[chunk["start"] : last]:
                yield json.loads(line)


__all__ = ["broken_promises"]
