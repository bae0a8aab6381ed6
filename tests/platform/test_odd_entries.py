"""Tests of rows that another writer has left among the others."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

from mulberrypass.platform.desired import (
    CONFIG_KEY,
    CONFIG_TABLE,
    ENGINE_TABLE,
    read_desired,
    read_engine,
)
from mulberrypass.platform.stand_in.site import engine_document
from mulberrypass.relay.directory import Directory
from mulberrypass.relay.followers import EngineReader, RouteReader
from tests.platform.odd_values import OddRowTest, odd_documents, replaced

if TYPE_CHECKING:
    from collections.abc import Iterator

COMPLAINT = "configuration can't be used"
ENGINE = engine_document("10.0.0.1:80", 8) | {"Service": "a"}
ROUTE = {"Name": "r", "Host": "h", "Prefix": "/", "Service": "a"}
SERVICE = {"Name": "a"}
DESIRED = {"Version": 3, "Routes": [ROUTE], "Services": [SERVICE]}
ODD_ADDRESSES = (
    "10.0.0.1:0",
    "10.0.0.1:65536",
    "10.0.0.1:-1",
    "10.0.0.1:http",
    "10.0.0.1:8\N{SUPERSCRIPT TWO}",
    "10.0.0.1:" + "8" * 5_000,
    "10.0.0.1",
    "10.0.0.1:",
    ":80",
    "[::1]:80",
    "e.example:80",
    "10.0.0.1\0:80",
    ["10.0.0.1", 80],
    {"Host": "10.0.0.1", "Port": 80},
    80,
    None,
)


class OddEngineTest(OddRowTest):
    """An odd entry names no engine, and harms no other."""

    table = ENGINE_TABLE

    def odd_entries(self) -> Iterator[tuple[str, bytes]]:
        """Yield what can't be an engine's entry."""
        numbers = ("Slots", "ColdLeftMs", "Seq", "born")
        yield from odd_documents(ENGINE, numbers)
        for number in ("4.5", "0", "-1", '"4"', "null", "true"):
            doc = json.dumps(ENGINE | {"Slots": "@"})
            yield f"Slots {number}", doc.replace('"@"', number).encode()
        for address in ODD_ADDRESSES:
            doc = json.dumps(ENGINE | {"Address": address})
            yield f"Address {str(address)[:20]}", doc.encode()

    def check(self, name: str, value: bytes, kept: int) -> None:
        """Follow the odd entry, first or later, alone or beside others."""
        odd = self.row(name, value)
        good = json.dumps(ENGINE).encode()
        others = tuple(self.row(f"e{n}", good) for n in range(kept))
        names = {f"e{n}" for n in range(kept)}
        for before, later in (
            ((odd, *others), ()),
            ((*others, odd), ()),
            (others[:1], (odd, *others)),
        ):
            directory = Directory()
            reader = EngineReader(directory, read_engine)
            self.follow(reader, before, later)
            self.assertEqual(names, directory.engine_names())
            self.assertEqual(1, self.lines_about(name))

    def test_odd_entry_names_no_engine(self) -> None:
        for what, value in self.odd_entries():
            for kept in (0, 3):
                with self.subTest(what, kept=kept):
                    self.check("odd-1", value, kept)

    def test_odd_name_names_no_engine(self) -> None:
        value = json.dumps(ENGINE).encode()
        for name in (
            "odd\r\n1",
            "odd 1",
            "odd\N{EM DASH}1",
            "odd\0",
            "odd" * 100,
        ):
            with self.subTest(name[:20]):
                self.check(name, value, 3)


class OddConfigurationTest(OddRowTest):
    """An odd desired state leaves the last one in force."""

    table = CONFIG_TABLE

    def odd_documents(self) -> Iterator[tuple[str, bytes]]:
        """Yield what can't be a desired state."""
        yield from odd_documents(DESIRED, ("Version",))
        routes = (
            "TimeoutMs",
            "TargetLatencyMs",
            "Priority",
            "MaxAttempts",
            "Cap",
            "TargetCompletionMs",
            "RetentionS",
        )
        limits = (
            "MaxHeaderBytes",
            "MaxBodyBytes",
            "HeaderTimeoutMs",
            "IdleTimeoutMs",
        )
        share = {"Service": "a", "Weight": 1.0}
        for within, good, numbers in (
            ("Routes", ROUTE, routes),
            ("Services", SERVICE, ("MaxConns",)),
            ("Limits", {}, limits),
            ("Engine", {}, ("KvCapacityTokens", "Stride")),
            ("Backends", share, ("Weight",)),
        ):
            for what, value in odd_documents(good, numbers):
                if value.startswith(b"{") and value.endswith(b"}"):
                    yield f"{within}: {what}", _within(within, value)

    def test_odd_document_keeps_the_last_one_in_force(self) -> None:
        good = self.row(CONFIG_KEY, json.dumps(DESIRED).encode())
        newer = json.dumps(DESIRED | {"Version": 9}).encode()
        for what, value in self.odd_documents():
            odd = self.row(CONFIG_KEY, value)
            for before, later, version in (
                ((odd,), (), 0),
                ((odd,), (self.row(CONFIG_KEY, newer),), 9),
                ((good,), (odd,), 3),
            ):
                with self.subTest(what, version=version):
                    directory = Directory()
                    reader = RouteReader(directory, CONFIG_KEY, read_desired)
                    self.follow(reader, before, later)
                    self.assertEqual(version, directory.routes().version)
                    self.assertEqual(1, self.lines_about(COMPLAINT))


def _within(name: str, value: bytes) -> bytes:
    """Return a desired state that holds a part."""
    part = value.decode()
    match name:
        case "Routes":
            return replaced(DESIRED, "Routes", f"[{part}]")
        case "Services":
            return replaced(DESIRED, "Services", f"[{part}]")
        case "Limits":
            return replaced(DESIRED, "Limits", part)
        case "Engine":
            service = replaced(SERVICE, "Engine", part).decode()
            return replaced(DESIRED, "Services", f"[{service}]")
    route = replaced(ROUTE, "Backends", f"[{part}]").decode()
    return replaced(DESIRED, "Routes", f"[{route}]")
