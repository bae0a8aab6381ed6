"""Builders for tests of cells."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from mulberrypass.model.objects import Backend, BackendKind, Customer
from mulberrypass.policy.admission.cell import Cell
from mulberrypass.policy.admission.settings import CellSettings
from mulberrypass.policy.messages import Ask, Grant, WorkClass

if TYPE_CHECKING:
    from collections.abc import Iterable

    from mulberrypass.policy.admission.cell import CellDecision

MEMBERS = {"entry@a": "zone-a", "entry@b": "zone-b", "batch@a": "zone-a"}


def engine(name: str, slots: int = 4, **fields: Any) -> Backend:
    """Return a backend server."""
    return Backend(
        name=name,
        kind=BackendKind.ENGINE,
        zone=fields.pop("zone", "zone-a"),
        address="127.0.0.1:1",
        slots=slots,
        **fields,
    )


def ask(ask_id: str, **fields: Any) -> Ask:
    """Return an online ask for a small request."""
    values: dict[str, Any] = {
        "ask_id": ask_id,
        "holder": "entry@a",
        "pool": "rackmind",
        "customer": "north",
        "work_class": WorkClass.ONLINE,
        "budget_s": 30.0,
        "prompt_tokens": 32,
        "output_tokens": 32,
    }
    return Ask(**(values | fields))


def batch(ask_id: str, **fields: Any) -> Ask:
    """Return a batch ask that may be revoked."""
    values: dict[str, Any] = {
        "holder": "batch@a",
        "work_class": WorkClass.BATCH,
        "budget_s": 3_600.0,
        "revocable": True,
    }
    return ask(ask_id, **(values | fields))


def make_cell(
    backends: Iterable[Backend],
    settings: CellSettings | None = None,
    **fields: Any,
) -> Cell:
    """Return a configured cell that grants batch work from time 0."""
    cell = Cell(settings or CellSettings(settle_s=0.0))
    values: dict[str, Any] = {
        "customers": {"north": Customer("north", ())},
        "quotas": {},
        "leaving": (),
        "members": MEMBERS,
        "now": 0.0,
    }
    cell.configure(list(backends), **(values | fields))
    return cell


def granted(decisions: Iterable[CellDecision]) -> list[tuple[str, str]]:
    """Return the id and backend server of each grant."""
    return [
        (d.message.ask_id, d.message.backend)
        for d in decisions
        if isinstance(d.message, Grant)
    ]


def kinds(decisions: Iterable[CellDecision]) -> list[tuple[str, str]]:
    """Return the kind and ask id of each message."""
    return [(type(d.message).__name__, d.message.ask_id) for d in decisions]
