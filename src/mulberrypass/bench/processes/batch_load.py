"""A batch job that always has items waiting, for the time of a run."""

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

MARGIN_S = 25.0
SETTLE_S = 4.0


class BatchLoad:
    """Submits a job that outlasts the run; cancels it at the end."""

    def __init__(self, cluster: Cluster, seed: int, seconds: float) -> None:
        self._cluster = cluster
        self._seed = seed
        self._seconds = seconds
        self._job_id = ""

    def __enter__(self) -> BatchLoad:
        """Submit the job, and wait until it fills what is idle."""
        key = f"bench-{time.time_ns()}"
        answer = self._cluster.submit_job(self._lines(), key)
        if answer.status not in (200, 202):
            raise RuntimeError(f"job refused: {answer.body!r}")
        self._job_id = answer.json()["job_id"]
        time.sleep(SETTLE_S)
        return self

    def __exit__(self, *_exc: object) -> None:
        """Cancel what is left of the job."""
        self._cluster.cancel_job(self._job_id)

    def _lines(self) -> list[str]:
        rng = random.Random(self._seed)
        shape = EngineShape()
        mean = BATCH_SIZES.mean.output_tokens
        fastest = shape.slots / shape.step_s / mean
        seconds = self._seconds + MARGIN_S
        count = int(fastest * self._cluster.shape.engines * seconds / 2)
        lines = []
        for index in range(count):
            size = BATCH_SIZES.draw(rng)
            arrival = Arrival(0.0, size, "batch")
            prompt = make_prompt(arrival, index, str(self._seed))
            line = {"input": prompt, "max_tokens": size.output_tokens}
            lines.append(json.dumps(line))
        return lines


__all__ = ["BatchLoad"]
