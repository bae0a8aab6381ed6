"""HTML report of all recorded experiments, with targets and plots."""

from __future__ import annotations

from html import escape
import json
from pathlib import Path
from typing import TYPE_CHECKING, Any

from mulberrypass.bench.plots import Point, scatter

if TYPE_CHECKING:
    from collections.abc import Iterator

EXPERIMENT_KINDS = ("model", "processes")
BATCH_AXIS = "batch tokens a second"
TAIL_AXIS = "p99 to the first token, ms"
FRONTIER_FILE = "model-frontier.json"
STYLE = (
    "body{font-family:sans-serif;max-width:60em;margin:2em auto}"
    "table{border-collapse:collapse}td,th{padding:.2em .6em;"
    "border-bottom:1px solid #ddd;text-align:right}"
    "td:first-child,th:first-child{text-align:left}"
    ".missed{color:#c0392b}"
)
LATENCY_COLUMNS = (
    ("first p50", "first", "p50_ms"),
    ("first p95", "first", "p95_ms"),
    ("first p99", "first", "p99_ms"),
    ("gap p95", "gap", "p95_ms"),
    ("total p99", "total", "p99_ms"),
)
COUNT_COLUMNS = ("done", "refused", "failed", "late", "batch_tokens_per_s")


class NoResultsError(Exception):
    """Raised if the directory has no recorded experiment."""


def write(directory: Path, page: Path) -> None:
    """Write the report of all experiments recorded in a directory.

    :raises NoResultsError: if there is none
    """
    paths = sorted(
        path
        for kind in EXPERIMENT_KINDS
        for path in directory.glob(f"{kind}-*.json")
    )
    if not paths:
        raise NoResultsError(f"{directory}: no recorded experiment")
    docs = [json.loads(path.read_text(encoding="utf-8")) for path in paths]
    body = "\n".join(part for doc in docs for part in _section(doc))
    page.write_text(
        "<!doctype html>\n<meta charset='utf-8'>\n<title>Experiments</title>\n"
        f"<style>{STYLE}</style>\n<h1>Experiments</h1>\n{body}\n",
        encoding="utf-8",
    )


def frontier(directory: Path) -> str:
    """Return the plot of online tail latency against batch throughput.

    :raises NoResultsError: if the frontier experiment is not recorded
    """
    path = directory / FRONTIER_FILE
    if not path.exists():
        raise NoResultsError(f"{path}: not recorded")
    return plot(json.loads(path.read_text(encoding="utf-8")))


def plot(doc: dict[str, Any]) -> str:
    """Return the plot of one experiment as SVG."""
    points = [
        Point(row["label"], row["batch_tokens_per_s"], row["first"]["p99_ms"])
        for row in doc["rows"]
    ]
    return scatter(points, BATCH_AXIS, TAIL_AXIS)


def _section(doc: dict[str, Any]) -> Iterator[str]:
    name = f"{doc['experiment']} ({doc['kind']}, seed {doc['seed']})"
    yield f"<h2>{escape(name)}</h2>"
    yield "<ul>"
    for target in doc["targets"]:
        mark = "met" if target["met"] else "missed"
        text = (
            f"{mark}: {target['name']}: {target['measured']:g} "
            f"(wanted {target['bound']} {target['wanted']:g})"
        )
        yield f"<li class='{mark}'>{escape(text)}</li>"
    yield "</ul>"
    yield from _table(doc["rows"])
    if any(row["batch_tokens_per_s"] for row in doc["rows"]):
        yield plot(doc)
    for note in doc["notes"]:
        yield f"<p>{escape(note)}</p>"


def _table(rows: list[dict[str, Any]]) -> Iterator[str]:
    headers = [*(header for header, _, _ in LATENCY_COLUMNS), *COUNT_COLUMNS]
    cells = "".join(f"<th>{escape(header)}</th>" for header in headers)
    yield f"<table><tr><th>run (times in ms)</th>{cells}</tr>"
    for row in rows:
        times = [row[part][figure] for _, part, figure in LATENCY_COLUMNS]
        figures = [*times, *(row[name] for name in COUNT_COLUMNS)]
        cells = "".join(f"<td>{figure:g}</td>" for figure in figures)
        yield f"<tr><td>{escape(row['label'])}</td>{cells}</tr>"
    yield "</table>"


__all__ = ["NoResultsError", "frontier", "plot", "write"]
