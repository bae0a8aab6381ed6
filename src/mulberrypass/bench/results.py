"""Results of experiments: rows, targets, JSON and a table."""

from __future__ import annotations

from dataclasses import asdict, field
import enum
import json
from pathlib import Path
from typing import TYPE_CHECKING, Any

from mulberrypass.model.value_class import value_class

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping, Sequence

    from mulberrypass.bench.load.recorder import Recorder, Summary


class Bound(enum.StrEnum):
    """Comparison that a target requires."""

    AT_MOST = "<="
    AT_LEAST = ">="


@value_class
class ResultRow:
    """Measurements of one policy in one run.

    :param first: from the intended send time to the first token
    :param gap: between successive tokens
    :param total: from the intended send time to the end
    """

    label: str
    first: Summary
    gap: Summary
    total: Summary
    done: int
    refused: int
    failed: int
    late: int
    batch_tokens_per_s: float = 0.0


@value_class
class Target:
    """A measured figure and the bound that it must keep."""

    name: str
    measured: float
    bound: Bound
    wanted: float

    @property
    def met(self) -> bool:
        """Whether the target is met."""
        if self.bound is Bound.AT_MOST:
            return self.measured <= self.wanted
        return self.measured >= self.wanted


@value_class
class ExperimentResult:
    """Measurements and targets of one experiment.

    :param kind: ``model`` or ``processes``
    """

    experiment: str
    kind: str
    seed: int
    seconds: float
    rows: Sequence[ResultRow]
    targets: Sequence[Target]
    parameters: Mapping[str, Any] = field(default_factory=dict)
    notes: Sequence[str] = ()

    def to_json(self) -> str:
        """Return the result as a JSON document."""
        doc = asdict(self)
        for target_doc, target in zip(
            doc["targets"], self.targets, strict=True
        ):
            target_doc["met"] = target.met
        return json.dumps(doc, indent=1) + "\n"

    def save(self, directory: str) -> Path:
        """Write the result to a file named after the experiment."""
        path = Path(directory) / f"{self.kind}-{self.experiment}.json"
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_text(self.to_json())
        return path

    def table(self) -> str:
        """Return the result as a text table."""
        return "\n".join(self._lines()) + "\n"

    def _lines(self) -> Iterator[str]:
        yield f"{self.experiment} ({self.kind}), seed {self.seed}"
        yield _TABLE_HEADER
        for row in self.rows:
            yield (
                f"{row.label:30}"
                f"{row.first.p50_ms:9.1f}{row.first.p95_ms:9.1f}"
                f"{row.first.p99_ms:9.1f}{row.gap.p95_ms:8.1f}"
                f"{row.total.p99_ms:10.1f}{row.done:7}"
                f"{row.refused:8}{row.failed:7}{row.late:6}"
                f"{row.batch_tokens_per_s:9.0f}"
            )
        for target in self.targets:
            mark = "met" if target.met else "MISSED"
            yield (
                f"{mark:7}{target.name}: {target.measured:.3f} "
                f"(wanted {target.bound.value} {target.wanted:g})"
            )
        yield from self.notes


_TABLE_HEADER = (
    f"{'times in ms':30}{'first50':>9}{'first95':>9}{'first99':>9}"
    f"{'gap95':>8}{'total99':>10}{'done':>7}{'refused':>8}"
    f"{'failed':>7}{'late':>6}{'batch/s':>9}"
)


def make_row(
    label: str, recorder: Recorder, batch_tokens_per_s: float = 0.0
) -> ResultRow:
    """Return the row of one run."""
    return ResultRow(
        label,
        recorder.first.summary(),
        recorder.gap.summary(),
        recorder.total.summary(),
        recorder.done,
        recorder.refused,
        recorder.failed,
        recorder.late,
        round(batch_tokens_per_s, 1),
    )


def at_most(name: str, measured: float, wanted: float) -> Target:
    """Return a target with an upper bound."""
    return Target(name, round(measured, 4), Bound.AT_MOST, wanted)


def at_least(name: str, measured: float, wanted: float) -> Target:
    """Return a target with a lower bound."""
    return Target(name, round(measured, 4), Bound.AT_LEAST, wanted)


def ratio(measured: float, base: float) -> float:
    """Return a figure divided by a base; infinity if the base is 0."""
    return measured / base if base else float("inf")


__all__ = [
    "Bound",
    "ExperimentResult",
    "ResultRow",
    "Target",
    "at_least",
    "at_most",
    "make_row",
    "ratio",
]
