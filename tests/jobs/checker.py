"""Checks of stored rows and engine runs after a simulation."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

from mulberrypass.jobs.manager import job_id
from mulberrypass.jobs.reading import JobReader
from mulberrypass.jobs.results import JobResults
from mulberrypass.testing.platform_memory import MemoryObjects, MemoryTable
from tests.jobs.simulation import CUSTOMER

if TYPE_CHECKING:
    from collections.abc import Iterator

    from tests.jobs.simulation import ClientJob, Simulation


def find_violations(simulation: Simulation) -> list[str]:
    """Return the guarantees that a simulation violated."""
    found = list(simulation.violations)
    for job in simulation.jobs:
        found.extend(
            f"{job.key}: {text}" for text in _job_violations(simulation, job)
        )
    return found


def _job_violations(simulation: Simulation, job: ClientJob) -> Iterator[str]:
    name = job_id(CUSTOMER, job.key)
    stored = list(_stored_outcomes(simulation, name))
    items = [doc["item"] for doc in stored]
    for item in range(job.items):
        count = items.count(item)
        if count > 1:
            yield f"item {item} has {count} outcomes"
        if count == 0 and job.cancel_acked is None:
            yield f"item {item} has no outcome"
        runs = simulation.runs[name, item]
        if job.service == "booking" and runs > 1:
            yield f"non-idempotent item {item} ran {runs} times"
    for doc in stored:
        done = doc["state"] == "done"
        if done and doc["output"]["text"] != f"{name}/{doc['item']}":
            yield f"item {doc['item']} has another item's answer"
    yield from _result_violations(simulation, job, name)


def _result_violations(
    simulation: Simulation, job: ClientJob, name: str
) -> Iterator[str]:
    reader = JobReader(
        MemoryTable(simulation.platform), MemoryObjects(simulation.platform)
    )
    row = reader.job(name).ok
    if row is None:
        yield "the job has no row"
        return
    lines = list(JobResults(reader).lines(row, 0, job.items).ok)
    docs = [json.loads(line) for line in lines]
    if [doc["item"] for doc in docs] != list(range(job.items)):
        yield "results are not in the order of the items"
    for doc in docs:
        state, item = doc["state"], doc["item"]
        if state == "pending":
            yield f"item {item} is pending after the end"
        ran = simulation.runs[name, item]
        if state == "cancelled" and job.service == "booking" and ran:
            yield f"item {item} ran, but is reported as cancelled"


def _stored_outcomes(
    simulation: Simulation, name: str
) -> Iterator[dict[str, Any]]:
    for row in simulation.platform.all_rows("jobs"):
        if not row.key.startswith(f"lot/{name}/"):
            continue
        for chunk in row.row["chunks"]:
            data = simulation.platform.get_object(chunk["key"]).ok
            last = chunk["start"] + chunk["lines"]
            for line in data.split(b"\n")[chunk["start"] : last]:
                yield json.loads(line)


__all__ = ["find_violations"]
