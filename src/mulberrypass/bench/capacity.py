"""Capacity figures of each role at a fleet size, from unit costs."""

from __future__ import annotations

import json
from pathlib import Path
from typing import TYPE_CHECKING, Any

from mulberrypass.model.value_class import value_class

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

ROOT = Path(__file__).parents[3]
RESULTS = ROOT / "bench" / "results"
PAGE = ROOT / "docs" / "CAPACITY.md"
BEGIN_MARK = "<!-- figures: begin -->"
END_MARK = "<!-- figures: end -->"
DAY_S = 86_400


@value_class
class FleetSize:
    """Size and load of a fleet.

    :param requests_per_s: online requests at the peak
    :param tokens_per_s: tokens of online answers at the peak
    :param item_tokens: output tokens of a batch item
    :param recorded_share: share of the requests that are recorded
    :param members: processes that take part in the membership
    :param result_bytes: stored bytes of a batch item's result
    """

    name: str
    daemons: int
    engines: int
    requests_per_s: float
    tokens_per_s: float
    items_per_day: float
    item_tokens: float
    recorded_share: float
    members: int
    result_bytes: float

    @property
    def items_per_s(self) -> float:
        """Batch items a second, averaged over the day."""
        return self.items_per_day / DAY_S

    @property
    def permits_per_s(self) -> float:
        """Permits a second in the whole fleet."""
        return self.requests_per_s + self.items_per_s


CURRENT_SIZE = FleetSize(
    name="one site today",
    daemons=10,
    engines=6,
    requests_per_s=100.0,
    tokens_per_s=5_000.0,
    items_per_day=1_000_000.0,
    item_tokens=60.0,
    recorded_share=0.2,
    members=30,
    result_bytes=300.0,
)
TARGET_SIZE = FleetSize(
    name="letter 1",
    daemons=400,
    engines=600,
    requests_per_s=10_000.0,
    tokens_per_s=2_000_000.0,
    items_per_day=420_000_000.0,
    item_tokens=60.0,
    recorded_share=0.2,
    members=1_200,
    result_bytes=300.0,
)


@value_class
class UnitCosts:
    """Measured unit costs.

    :param permit_owner_us: processor time of a permit at its owner
    :param permit_holder_us: processor time of a permit at its holder
    :param permit_bytes: bytes of a permit on the wire, both ways
    :param token_us: processor time of a streamed token at the entry
    :param request_us: processor time of a request without its tokens
    :param item_us: processor time of a batch item
    :param writes_per_1000: platform writes for 1,000 items in full lots
    :param record_us: processor time of a group-committed record
    :param records_per_write: records in one write of a committer
    :param member_share: share of a core for a member's heartbeats
    :param member_bytes_per_s: bytes a second of a member's heartbeats
    """

    permit_owner_us: float
    permit_holder_us: float
    permit_bytes: float
    token_us: float
    request_us: float
    item_us: float
    writes_per_1000: float
    record_us: float
    records_per_write: float
    member_share: float
    member_bytes_per_s: float


@value_class
class Figure:
    """One row of the capacity page.

    :param per: unit of the value, for one daemon or for the fleet
    :param bound: upper bound of the value; empty for none
    :param mechanism: mechanism that handles the load
    """

    role: str
    name: str
    value: float
    per: str
    bound: str
    mechanism: str


def read_unit_costs(results: Path = RESULTS) -> UnitCosts:
    """Read the latest measured unit costs.

    :raises FileNotFoundError: if a measurement is missing
    """
    permit_rows = _read(results, "slope-permits")["slopes"]
    permit_cost = next(row for row in permit_rows if row["rate_per_s"] == 100)
    jobs = _read(results, "slope-jobs")["sizes"][-1]
    platform = _read(results, "slope-platform")["rates"]
    record_cost = next(row for row in platform if row["records_per_s"] == 500)
    tokens = _read(results, "slope-tokens")["fitted"]
    members = _read(results, "slope-membership")["sizes"][-1]
    return UnitCosts(
        permit_owner_us=permit_cost["owner_us"],
        permit_holder_us=permit_cost["holder_us"],
        permit_bytes=permit_cost["wire_bytes"],
        token_us=tokens["token_ms"] * 1_000,
        request_us=tokens["request_ms"] * 1_000,
        item_us=jobs["cpu_ms"] * 1_000,
        writes_per_1000=jobs["writes"],
        record_us=record_cost["cpu_us_per_record"],
        records_per_write=record_cost["records_per_write"],
        member_share=members["cpu_share"],
        member_bytes_per_s=members["bytes_per_s"],
    )


def control_share(size: FleetSize, costs: UnitCosts) -> float:
    """Return the share of a core that a daemon spends on control.

    This is for permits, at owner and holder, and for heartbeats.
    """
    permits = size.permits_per_s / size.daemons
    per_permit = costs.permit_owner_us + costs.permit_holder_us
    members = size.members / size.daemons
    return permits * per_permit / 1e6 + members * costs.member_share


def control_bytes_per_s(size: FleetSize, costs: UnitCosts) -> float:
    """Return the bytes a second that a daemon sends for control."""
    permits = 2 * size.permits_per_s / size.daemons * costs.permit_bytes
    members = size.members / size.daemons
    return permits + members * costs.member_bytes_per_s


def figures(size: FleetSize, costs: UnitCosts) -> Iterator[Figure]:
    """Yield all figures of a fleet size."""
    yield from _control(size, costs)
    yield from _work(size, costs)
    yield from _platform(size, costs)


def _control(size: FleetSize, costs: UnitCosts) -> Iterator[Figure]:
    permits = size.permits_per_s / size.daemons
    owner = permits * costs.permit_owner_us / 1e6
    holder = permits * costs.permit_holder_us / 1e6
    yield Figure(
        "engine owner",
        "permits",
        permits,
        "a second, a daemon",
        "",
        "cells by rendezvous hashing",
    )
    yield Figure(
        "engine owner",
        "processor",
        100 * owner,
        "% of a core",
        "",
        "many messages in one batch on one stream for each pair",
    )
    yield Figure(
        "holder",
        "processor for permits",
        100 * holder,
        "% of a core",
        "",
        "the same stream",
    )
    yield Figure(
        "member",
        "heartbeats of a daemon's members",
        100 * size.members / size.daemons * costs.member_share,
        "% of a core",
        "",
        "three hashed neighbours, news on heartbeats",
    )
    yield Figure(
        "daemon",
        "control, all together",
        100 * control_share(size, costs),
        "% of a core",
        "4.1",
        "the three above",
    )
    yield Figure(
        "daemon",
        "control bytes",
        control_bytes_per_s(size, costs) / 1_000,
        "KB a second",
        "25",
        "permits and heartbeats",
    )


def _work(size: FleetSize, costs: UnitCosts) -> Iterator[Figure]:
    tokens = size.tokens_per_s / size.daemons
    yield Figure(
        "entry",
        "tokens passed on",
        tokens,
        "a second, a daemon",
        "",
        "one thread for each stream, one event for each token",
    )
    yield Figure(
        "entry",
        "processor for tokens",
        tokens * costs.token_us / 1e6,
        "cores, a daemon",
        "1",
        "copied by the holder, never by the owner",
    )
    requests = size.requests_per_s / size.daemons
    yield Figure(
        "entry",
        "processor for requests",
        requests * costs.request_us / 1e6,
        "cores, a daemon",
        "",
        "waitress and http.client",
    )
    yield Figure(
        "batch",
        "processor for items",
        size.items_per_s / size.daemons * costs.item_us / 1e6,
        "cores, a daemon",
        "1",
        "events of 32 tokens",
    )


def _platform(size: FleetSize, costs: UnitCosts) -> Iterator[Figure]:
    item_writes = size.items_per_s / 1_000 * costs.writes_per_1000
    recorded = size.requests_per_s * size.recorded_share
    writes_merged = 2 * recorded / costs.records_per_write
    writes_separate = min(2 * recorded, size.daemons * 12.0)
    yield Figure(
        "batch",
        "platform writes for items",
        item_writes,
        "a second, the fleet",
        "150",
        "lots of 4,000, flushes of many outcomes",
    )
    yield Figure(
        "entry",
        "recorded requests",
        recorded,
        "a second, the fleet",
        "",
        "",
    )
    yield Figure(
        "entry",
        "writes, each daemon a committer",
        writes_separate,
        "a second, the fleet",
        "120",
        "group commit in each process",
    )
    yield Figure(
        "committer",
        "writes, through a few committers",
        writes_merged,
        "a second, the fleet",
        "120",
        "group commit of many processes; not built",
    )
    yield Figure(
        "committer",
        "committers at 500 records a second each",
        2 * recorded / 500,
        "processes",
        "",
        "picked by hash of the request; not built",
    )
    yield Figure(
        "batch",
        "results in the object store",
        size.items_per_day * size.result_bytes / 1e9,
        "GB a day",
        "",
        "chunks of many outcomes",
    )


def table(size: FleetSize, costs: UnitCosts) -> str:
    """Return the figures of a fleet size as a Markdown table."""
    rows = [
        "| role | figure | value | of | bound | carried by |",
        "|---|---|---|---|---|---|",
    ]
    rows += [_row(figure) for figure in figures(size, costs)]
    return f"### {size.name}\n\n" + "\n".join(rows) + "\n"


def _row(figure: Figure) -> str:
    exceeded = figure.bound and figure.value > float(figure.bound)
    bound = f"{figure.bound}, **passed**" if exceeded else figure.bound
    cells = (
        figure.role,
        figure.name,
        f"{figure.value:,.3g}",
        figure.per,
        bound,
        figure.mechanism,
    )
    return "| " + " | ".join(cells) + " |"


def render(page: str, costs: UnitCosts, sizes: Iterable[FleetSize]) -> str:
    """Return the page with its figures recomputed."""
    head, _, rest = page.partition(BEGIN_MARK)
    _, _, tail = rest.partition(END_MARK)
    tables = "\n".join(table(size, costs) for size in sizes)
    return f"{head}{BEGIN_MARK}\n\n{tables}\n{END_MARK}{tail}"


def write() -> None:
    """Recompute the figures of the page and write it."""
    page = PAGE.read_text(encoding="utf-8")
    text = render(page, read_unit_costs(), (CURRENT_SIZE, TARGET_SIZE))
    PAGE.write_text(text, encoding="utf-8")


def _read(results: Path, name: str) -> Any:
    return json.loads((results / f"{name}.json").read_text(encoding="utf-8"))


__all__ = [
    "CURRENT_SIZE",
    "Figure",
    "FleetSize",
    "PAGE",
    "TARGET_SIZE",
    "UnitCosts",
    "control_bytes_per_s",
    "control_share",
    "figures",
    "read_unit_costs",
    "render",
    "table",
    "write",
]
