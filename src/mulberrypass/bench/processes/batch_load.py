"""Batch job that has items waiting for the whole of a run."""

from __future__ import annotations

import json
import random
import time
from typing import TYPE_CHECKING

from mulberrypass.bench.load.open_loop import make_prompt
from mulberrypass.bench.load.workload import BATCH_SIZES, Arrival
from mulberrypass.testing.engine_step import EngineShape

if TYPE_CHECKING:
    from mulberrypass.bench.processes.cluster import Cluster

EXTRA_S = 25.0
SETTLE_S = 4.0


class BatchLoad:
    """Context manager that submits a job longer than the run.

    What is left of the job is cancelled at the end.
    """

    def __init__(self, cluster: Cluster, seed: int, seconds: float) -> None:
        self._cluster = cluster
        self._seed = seed
        self._seconds = seconds
        self._job_id = ""

    def __enter__(self) -> BatchLoad:
        """Submit the job and wait until it fills the idle slots."""
        key = f"bench-{time.time_ns()}"
        answer = self._cluster.submit_job(self._lines(), key)
        if answer.status not in (200, 202):
            raise RuntimeError(f"batch job was refused: {answer.body!r}")
        self._job_id = answer.json()["job_id"]
        time.sleep(SETTLE_S)
        return self

    def __exit__(self, *_exc: object) -> None:
        """Cancel the rest of the job."""
        self._cluster.cancel_job(self._job_id)

    def _lines(self) -> list[str]:
        rng = random.Random(self._seed)
        shape = EngineShape()
        mean_tokens = BATCH_SIZES.mean.output_tokens
        max_items_per_s = shape.slots / shape.step_s / mean_tokens
        seconds = self._seconds + EXTRA_S
        count = int(
            max_items_per_s * self._cluster.shape.engines * seconds / 2
        )
        lines = []
        for index in range(count):
            size = BATCH_SIZES.draw(rng)
            arrival = Arrival(0.0, size, "batch")
            prompt = make_prompt(arrival, index, str(self._seed))
            line = {"input": prompt, "max_tokens": size.output_tokens}
            lines.append(json.dumps(line))
        return lines


__all__ = ["BatchLoad"]
