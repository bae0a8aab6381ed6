"""Tests of warnings about entries that never match, and limits."""

from __future__ import annotations

from dataclasses import replace
from typing import Any
import unittest

from mulberrypass.model.diff import Action
from mulberrypass.model.lint import (
    CustomerKeys,
    entry_changes,
    lint_configuration,
    lint_routes,
)
from mulberrypass.model.objects import (
    Adapter,
    Backend,
    BackendKind,
    Configuration,
    Customer,
    Model,
    Pool,
    Quota,
    Route,
    Service,
    ServiceKind,
    Version,
)
from mulberrypass.model.routes import (
    RelayCustomer,
    RelayRoute,
    RelayService,
    RouteKind,
    RouteTable,
    ServiceShare,
    key_digest,
)

CHAT = (ServiceShare("chat", 1.0),)
SERVICES = {"chat": RelayService("chat", kv_tokens=72_000)}
SECRET = "a-secret-key"


def route(name: str = "r", **fields: Any) -> RelayRoute:
    """Return a route without faults, apart from the given fields."""
    given = {
        "host": "h",
        "prefix": "/",
        "kind": RouteKind.IDEMPOTENT,
        "services": CHAT,
    }
    return RelayRoute(name, **(given | fields))


def found(table: RouteTable, *keys: CustomerKeys) -> list[tuple[str, str]]:
    """Return the entry and field of each warning."""
    return [(f.object, f.field) for f in lint_routes(table, keys)]


class UnnoticedRouteFaultTest(unittest.TestCase):
    """A route that can't work as meant would be sent without a warning."""

    def test_each_contradiction_names_its_field(self) -> None:
        batch = RouteKind.BATCH
        cases: list[tuple[dict[str, Any], list[str]]] = [
            ({}, []),
            ({"prefix": ""}, []),
            ({"prefix": "v1"}, ["prefix"]),
            ({"services": ()}, ["services"]),
            ({"services": (*CHAT, ServiceShare("chat", 0))}, ["services"]),
            ({"services": (*CHAT, ServiceShare("gone", 1))}, ["services"]),
            ({"timeout_s": 1.0, "target_s": 1.0}, []),
            ({"timeout_s": 0.9, "target_s": 1.0}, ["timeout_s"]),
            ({"timeout_s": 0.0}, ["timeout_s"]),
            ({"timeout_s": 0.5, "kind": batch}, []),
            ({"gap_s": 30.0}, []),
            ({"gap_s": 30.1}, ["gap_s"]),
            ({"kind": batch, "retention_s": 59.0}, ["retention_s"]),
            ({"kind": batch, "retention_s": 60.0}, []),
            ({"retention_s": 59.0}, []),
            ({"max_attempts": 2}, []),
            (
                {"max_attempts": 2, "kind": RouteKind.NON_IDEMPOTENT},
                ["max_attempts"],
            ),
            ({"max_attempts": 2, "kind": RouteKind.STREAM}, ["max_attempts"]),
            (
                {
                    "max_attempts": 2,
                    "kind": RouteKind.STREAM,
                    "resumable": True,
                },
                [],
            ),
            ({"kind": batch, "quota_tokens": 71_999}, ["quota_tokens"]),
            ({"kind": batch, "quota_tokens": 72_000}, []),
            ({"kind": batch, "quota_tokens": 0}, []),
        ]
        for fields, expected in cases:
            with self.subTest(fields):
                routes = (route(**fields), route("ok", prefix="/ok"))
                table = RouteTable(1, routes, SERVICES)
                self.assertEqual(
                    [('route "r"', field) for field in expected], found(table)
                )

    def test_only_a_route_that_never_matches_is_hidden(self) -> None:
        routes = (
            route("a"),
            route("b", prefix="/v1"),
            route("c", host="other"),
            route("d"),
        )
        table = RouteTable(1, routes, SERVICES)
        self.assertEqual([('route "d"', "prefix")], found(table))

    def test_a_service_without_a_route_is_named(self) -> None:
        services = SERVICES | {"idle": RelayService("idle")}
        table = RouteTable(1, (route(),), services)
        self.assertEqual([('service "idle"', "name")], found(table))


class UnnoticedCustomerFaultTest(unittest.TestCase):
    """A customer that can't call would be sent without a warning."""

    def test_keys(self) -> None:
        digest = key_digest(SECRET)
        first, second = CustomerKeys("a", (digest,)), "b"
        cases: list[tuple[tuple[bytes, ...], bool]] = [
            ((key_digest("another"),), False),
            ((key_digest("another"), digest), True),
            ((), True),
            ((digest,), True),
        ]
        names = {n: RelayCustomer(n) for n in ("a", "b")}
        table = RouteTable(1, (route(),), SERVICES, customers=names)
        for digests, is_fault in cases:
            with self.subTest(digests):
                expected = [('customer "b"', "keys")] if is_fault else []
                keys = CustomerKeys(second, digests)
                self.assertEqual(expected, found(table, first, keys))

    def test_a_shared_key_is_shown_as_twelve_digits(self) -> None:
        digest = key_digest(SECRET)
        keys = [CustomerKeys(name, (digest,)) for name in ("a", "b")]
        table = RouteTable(1, (route(),), SERVICES, customers={})
        (fault,) = lint_routes(table, keys)
        self.assertIn(f"the key {digest.hex()[:12]} belongs", fault.text())
        self.assertNotIn(digest.hex()[:13], fault.text())

    def test_burst_needs_a_rate(self) -> None:
        for rate, burst, expected in (
            (0.0, 0.0, []),
            (2.0, 0.0, []),
            (2.0, 4.0, []),
            (0.0, 4.0, [('customer "a"', "burst")]),
        ):
            with self.subTest(rate=rate, burst=burst):
                customers = {"a": RelayCustomer("a", None, rate, burst)}
                table = RouteTable(
                    1, (route(),), SERVICES, customers=customers
                )
                self.assertEqual(expected, found(table))


SERVICE = Service(
    "dock",
    ServiceKind.MODEL,
    "racks",
    "rackmind",
    (Route("r1"),),
)
CONFIGURATION = Configuration(
    services={"dock": SERVICE},
    models={"rackmind": Model("rackmind")},
    versions={"rackmind/r1": Version("r1", "rackmind", "w", 1)},
    pools={"racks": Pool("racks", ("e-1",))},
    backends={
        "e-1": Backend("e-1", BackendKind.ENGINE, "z", "10.0.0.1:1", 8, 72_000)
    },
    customers={"firm": Customer("firm", (), quota="small")},
    quotas={"small": Quota("small", 1.0, 2, 1, 1)},
)


class UnnoticedObjectFaultTest(unittest.TestCase):
    """An object that can't work as meant would be sent without a warning."""

    def test_a_set_without_faults_has_no_warning(self) -> None:
        self.assertEqual([], list(lint_configuration(CONFIGURATION)))

    def test_services(self) -> None:
        unused_route = (Route("r1"), Route("r1", 0.0))
        group = (Route("r1", groups=("vip",)),)
        cases: list[tuple[dict[str, Any], str]] = [
            ({"routes": unused_route}, "routes.1.weight"),
            ({"routes": group, "customers": ("firm",)}, "routes.0.groups"),
            ({"result_ttl_s": 299}, "result_ttl_s"),
            ({"max_output_tokens": 72_001}, "max_output_tokens"),
        ]
        for fields, field in cases:
            with self.subTest(field):
                services = {"dock": replace(SERVICE, **fields)}
                cfg = replace(CONFIGURATION, services=services)
                self.assertEqual(
                    [('service "dock"', field)],
                    [(f.object, f.field) for f in lint_configuration(cfg)],
                )

    def test_unused_objects_are_named(self) -> None:
        extra: dict[str, tuple[str, Any, str]] = {
            "models": ("m", Model("m"), 'model "m"'),
            "versions": (
                "rackmind/r2",
                Version("r2", "rackmind", "w", 1),
                'version "r2" of model "rackmind"',
            ),
            "adapters": (
                "rackmind/a",
                Adapter("a", "rackmind", "w", 1),
                'adapter "a" of model "rackmind"',
            ),
            "quotas": ("q", Quota("q", 1.0, 1, 1, 1), 'quota "q"'),
        }
        for kind, (key, obj, label) in extra.items():
            with self.subTest(kind):
                objects = getattr(CONFIGURATION, kind) | {key: obj}
                cfg = replace(CONFIGURATION, **{kind: objects})
                faults = [f.object for f in lint_configuration(cfg)]
                self.assertEqual([label], faults)

    def test_burst_needs_a_rate(self) -> None:
        quotas = {"small": Quota("small", 0.0, 2, 0, 1)}
        (fault,) = lint_configuration(replace(CONFIGURATION, quotas=quotas))
        self.assertEqual(
            ('quota "small"', "burst"), (fault.object, fault.field)
        )


class WrongDifferencesTest(unittest.TestCase):
    """A field that changes would be missing from the differences."""

    def test_entries_and_fields(self) -> None:
        before = {"a": {"x": 1, "y": 2}, "b": {}, "c": {"x": 1}}
        after = {"a": {"x": 1, "y": 3, "z": 4}, "c": {"x": 1}, "d": {}}
        shown = [
            (
                c.entry,
                c.action,
                [(f.field, f.before, f.after) for f in c.fields],
            )
            for c in entry_changes(before, after)
        ]
        self.assertEqual(
            [
                ("a", Action.CHANGED, [("y", 2, 3), ("z", None, 4)]),
                ("b", Action.REMOVED, []),
                ("d", Action.ADDED, []),
            ],
            shown,
        )


if __name__ == "__main__":
    unittest.main()
