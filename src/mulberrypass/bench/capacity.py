"""Works out what each role spends at a size, from measured slopes."""

from __future__ import annotations

from dataclasses import dataclass
import json
from pathlib import Path
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

ROOT = Path(__file__).parents[3]
RESULTS = ROOT / "bench" / "results"
PAGE = ROOT / "docs" / "CAPACITY.md"
BEGIN = "<!-- figures: begin -->"
END = "<!-- figures: end -->"
DAY_S = 86_400


@dataclass(frozen=True, slots=True)
class Size:
    """What a fleet is to carry.

    :param tokens_per_s: tokens that online answers stream at the peak
    :param recorded_share: share of the requests that are recorded
    :param members: processes that take part in the membership
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
        """Batch items a second, spread over the day."""
        return self.items_per_day / DAY_S

    @property
    def permits_per_s(self) -> float:
        """Permits a second over the fleet."""
        return self.requests_per_s + self.items_per_s


TODAY = Size(
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
LETTER = Size(
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


@dataclass(frozen=True, slots=True)
class Slopes:
    """Measured costs.

    :param permit_owner_us: processor time of a permit at its owner
    :param permit_holder_us: the same at the holder
    :param permit_bytes: bytes of a permit on the wire, both ways
    :param token_us: processor time of one streamed token at the entry
    :param request_us: the same of a request apart from its tokens
    :param item_us: processor time of a batch item
    :param writes_per_1000: platform writes for 1,000 items at full lots
    :param record_us: processor time of one group-committed write
    :param records_per_write: records in one write of a committer
    :param member_share: processor share of a member's heartbeats
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


@dataclass(frozen=True, slots=True)
class Figure:
    """One line of the page.

    :param per: what the value counts, for one daemon or for the fleet
    :param bound: what it is held against; empty for none
    """

    role: str
    name: str
    value: float
    per: str
    bound: str
    mechanism: str


def read_slopes(results: Path = RESULTS) -> Slopes:
    """Read the slopes that the bench has measured last.

    :raises FileNotFoundError: where a slope was never measured
    """
    permits = _read(results, "slope-permits")["slopes"]
    slow = next(row for row in permits if row["rate_per_s"] == 100)
    jobs = _read(results, "slope-jobs")["sizes"][-1]
    platform = _read(results, "slope-platform")["rates"]
    records = next(row for row in platform if row["records_per_s"] == 500)
    tokens = _read(results, "slope-tokens")["fitted"]
    members = _read(results, "slope-membership")["sizes"][-1]
    return Slopes(
        permit_owner_us=slow["owner_us"],
        permit_holder_us=slow["holder_us"],
        permit_bytes=slow["wire_bytes"],
        token_us=tokens["token_ms"] * 1_000,
        request_us=tokens["request_ms"] * 1_000,
        item_us=jobs["cpu_ms"] * 1_000,
        writes_per_1000=jobs["writes"],
        record_us=records["cpu_us_per_record"],
        records_per_write=records["records_per_write"],
        member_share=members["cpu_share"],
        member_bytes_per_s=members["bytes_per_s"],
    )


def control_share(size: Size, slopes: Slopes) -> float:
    """Share of a core that a daemon spends for control.

    Permits at owner and holder, and heartbeats of its members.
    """
    permits = size.permits_per_s / size.daemons
    per_permit = slopes.permit_owner_us + slopes.permit_holder_us
    members = size.members / size.daemons
    return permits * per_permit / 1e6 + members * slopes.member_share


def control_bytes_per_s(size: Size, slopes: Slopes) -> float:
    """Bytes a second that a daemon spends for control."""
    permits = 2 * size.permits_per_s / size.daemons * slopes.permit_bytes
    members = size.members / size.daemons
    return permits + members * slopes.member_bytes_per_s


def figures(size: Size, slopes: Slopes) -> Iterator[Figure]:
    """Work out all figures of a size."""
    yield from _control(size, slopes)
    yield from _work(size, slopes)
    yield from _platform(size, slopes)


def _control(size: Size, slopes: Slopes) -> Iterator[Figure]:
    permits = size.permits_per_s / size.daemons
    owner = permits * slopes.permit_owner_us / 1e6
    holder = permits * slopes.permit_holder_us / 1e6
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
        100 * size.members / size.daemons * slopes.member_share,
        "% of a core",
        "",
        "three hashed neighbours, news on heartbeats",
    )
    yield Figure(
        "daemon",
        "control, all together",
        100 * control_share(size, slopes),
        "% of a core",
        "4.1",
        "the three above",
    )
    yield Figure(
        "daemon",
        "control bytes",
        control_bytes_per_s(size, slopes) / 1_000,
        "KB a second",
        "25",
        "permits and heartbeats",
    )


def _work(size: Size, slopes: Slopes) -> Iterator[Figure]:
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
        tokens * slopes.token_us / 1e6,
        "cores, a daemon",
        "1",
        "copied by the holder, never by the owner",
    )
    requests = size.requests_per_s / size.daemons
    yield Figure(
        "entry",
        "processor for requests",
        requests * slopes.request_us / 1e6,
        "cores, a daemon",
        "",
        "waitress and http.client",
    )
    yield Figure(
        "batch",
        "processor for items",
        size.items_per_s / size.daemons * slopes.item_us / 1e6,
        "cores, a daemon",
        "1",
        "events of 32 tokens",
    )


def _platform(size: Size, slopes: Slopes) -> Iterator[Figure]:
    items = size.items_per_s / 1_000 * slopes.writes_per_1000
    recorded = size.requests_per_s * size.recorded_share
    merged = 2 * recorded / slopes.records_per_write
    apart = min(2 * recorded, size.daemons * 12.0)
    yield Figure(
        "batch",
        "platform writes for items",
        items,
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
        apart,
        "a second, the fleet",
        "120",
        "group commit in each process",
    )
    yield Figure(
        "committer",
        "writes, through a few committers",
        merged,
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


def table(size: Size, slopes: Slopes) -> str:
    """Give a size's figures as a table in Markdown."""
    rows = [
        "| role | figure | value | of | bound | carried by |",
        "|---|---|---|---|---|---|",
    ]
    rows += [_row(each) for each in figures(size, slopes)]
    return f"### {size.name}\n\n" + "\n".join(rows) + "\n"


def _row(figure: Figure) -> str:
    over = figure.bound and figure.value > float(figure.bound)
    bound = f"{figure.bound}, **passed**" if over else figure.bound
    cells = (
        figure.role,
        figure.name,
        f"{figure.value:,.3g}",
        figure.per,
        bound,
        figure.mechanism,
    )
    return "| " + " | ".join(cells) + " |"


def render(page: str, slopes: Slopes, sizes: Iterable[Size]) -> str:
    """Give the page with its figures worked out anew."""
    head, _, rest = page.partition(BEGIN)
    _, _, tail = rest.partition(END)
    tables = "\n".join(table(size, slopes) for size in sizes)
    return f"{head}{BEGIN}\n\n{tables}\n{END}{tail}"


def write() -> None:
    """Work the page's figures out anew."""
    page = PAGE.read_text(encoding="utf-8")
    text = render(page, read_slopes(), (TODAY, LETTER))
    PAGE.write_text(text, encoding="utf-8")


def _read(results: Path, name: str) -> Any:
    return json.loads((results / f"{name}.json").read_text(encoding="utf-8"))


__all__ = [
    "Figure",
    "LETTER",
    "PAGE",
    "Size",
    "Slopes",
    "TODAY",
    "control_bytes_per_s",
    "control_share",
    "figures",
    "read_slopes",
    "render",
    "table",
    "write",
]
