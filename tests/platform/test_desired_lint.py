"""Tests of the check of a desired state before it is sent."""

from __future__ import annotations

import copy
from typing import Any
import unittest

from expression import Result

from mulberrypass.model.fault import Fault
from mulberrypass.platform.desired_lint import (
    CheckedState,
    check_desired,
    is_desired,
    lint_desired,
)

SECRET = "a-secret-key"
STATE: dict[str, Any] = {
    "Version": 7,
    "Routes": [
        {"Name": "r", "Host": "h", "Prefix": "/", "Service": "chat"},
        {
            "Name": "jobs",
            "Host": "h",
            "Prefix": "/jobs",
            "RouteType": "batch",
            "Backends": [{"Service": "chat"}],
        },
    ],
    "Services": [{"Name": "chat", "Engine": {"KvCapacityTokens": 72_000}}],
    "Limits": {},
    "Tenants": [{"Name": "firm", "ApiKeys": [SECRET]}],
}


def state(section: str, number: int, **fields: Any) -> dict[str, Any]:
    """Return the state with some fields of one entry replaced."""
    changed = copy.deepcopy(STATE)
    changed[section][number].update(fields)
    return changed


def errors(content: dict[str, Any]) -> tuple[Fault, ...]:
    """Return the errors of a state."""
    match check_desired(content):
        case Result(tag="ok"):
            return ()
        case Result(error=faults):
            return faults
    raise AssertionError(content)


def checked(content: dict[str, Any]) -> CheckedState:
    """Return a state without errors."""
    match check_desired(content):
        case Result(tag="ok", ok=found):
            return found
        case Result(error=faults):
            raise AssertionError(faults)


class UnnoticedErrorTest(unittest.TestCase):
    """A state that instances refuse would be sent."""

    def test_errors_name_entry_and_field(self) -> None:
        cases: list[tuple[dict[str, Any], str, str]] = [
            (state("Routes", 0, TimeoutMs="x"), 'route "r"', "TimeoutMs"),
            (state("Routes", 0, RouteType="x"), 'route "r"', "RouteType"),
            (state("Routes", 0, Host=None), 'route "r"', "Host"),
            (state("Routes", 0, Name=3), "route Routes.0", "Name"),
            (
                state("Routes", 1, Backends=[{"Weight": 1}]),
                'route "jobs"',
                "Backends.0.Service",
            ),
            (
                state("Services", 0, Engine={"Stride": 0}),
                'service "chat"',
                "Engine.Stride",
            ),
            (state("Tenants", 0, RatePerS=-1), 'customer "firm"', "RatePerS"),
            (
                state("Tenants", 0, ApiKeys=SECRET),
                'customer "firm"',
                "ApiKeys",
            ),
            (STATE | {"Version": None}, "desired state", "Version"),
            (STATE | {"Routes": {}}, "desired state", "Routes"),
            (STATE | {"Tenants": [None]}, "customer Tenants.0", ""),
            (STATE | {"Limits": {SECRET: {1, 2}}}, "desired state", ""),
            (STATE | {"Limits": {"X": "\ud800"}}, "desired state", ""),
        ]
        for content, entry, field in cases:
            with self.subTest(entry=entry, field=field):
                (fault,) = errors(content)
                self.assertEqual((entry, field), (fault.object, fault.field))
                self.assertNotIn(SECRET, fault.text())

    def test_all_errors_are_reported(self) -> None:
        content = state("Routes", 0, TimeoutMs="x") | {"Services": None}
        self.assertEqual(
            ["TimeoutMs", "Services"], [f.field for f in errors(content)]
        )

    def test_states_and_objects_are_told_apart(self) -> None:
        cases: list[tuple[Any, bool]] = [
            (STATE, True),
            ({"Tenants": []}, True),
            ({}, False),
            ([], False),
            (None, False),
            ({"kind": "model", "name": "m"}, False),
        ]
        for content, expected in cases:
            with self.subTest(content):
                self.assertIs(expected, is_desired(content))


class WrongFieldNameTest(unittest.TestCase):
    """A warning would name a field that the document doesn't have."""

    def test_warnings_name_the_fields_of_the_document(self) -> None:
        other = {"Name": "other", "Host": "h", "Prefix": "/", "Service": "x"}
        cases: list[tuple[dict[str, Any], set[str]]] = [
            (STATE, set()),
            (state("Routes", 0, Service="gone"), {"Service"}),
            (state("Routes", 1, Backends=[]), {"Backends"}),
            (state("Routes", 0, TimeoutMs=10), {"TimeoutMs"}),
            (state("Routes", 0, TargetGapMs=40_000), {"TargetGapMs"}),
            (state("Routes", 1, RetentionS=1), {"RetentionS"}),
            (state("Routes", 1, Cap=1), {"Cap"}),
            (
                state("Routes", 0, RouteType="streaming", MaxAttempts=2),
                {"MaxAttempts"},
            ),
            (
                STATE | {"Routes": [*STATE["Routes"], other]},
                {"Prefix", "Service"},
            ),
            (
                STATE | {"Services": [*STATE["Services"], {"Name": "x"}]},
                {"Name"},
            ),
            (state("Tenants", 0, ApiKeys=[""]), {"ApiKeys"}),
            (state("Tenants", 0, Burst=1), {"Burst"}),
            (STATE | {"Tenants": STATE["Tenants"] * 2}, {"Name"}),
        ]
        for content, expected in cases:
            with self.subTest(expected):
                faults = list(lint_desired(checked(content)))
                self.assertEqual(expected, {f.field for f in faults})

    def test_misspelt_fields_are_reported_and_others_ignored(self) -> None:
        for field, remedy in (
            ("RatePers", 'did you mean "RatePerS"?'),
            ("apikeys", 'did you mean "ApiKeys"?'),
            ("Comment", ""),
        ):
            with self.subTest(field):
                content = state("Tenants", 0, **{field: [SECRET]})
                faults = list(lint_desired(checked(content)))
                self.assertEqual(
                    [remedy] if remedy else [], [f.remedy for f in faults]
                )


class KeyShownTest(unittest.TestCase):
    """A key would be printed with the differences."""

    def test_entries_have_twelve_digits_of_a_key(self) -> None:
        entries = checked(STATE).entries
        self.assertEqual(
            ["bf8061f00bac"], entries['customer "firm"']["ApiKeys"]
        )
        self.assertNotIn(SECRET, repr(checked(STATE)))


if __name__ == "__main__":
    unittest.main()
