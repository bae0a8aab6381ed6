"""Tests of who may use which route and which batch job."""

from __future__ import annotations

import unittest

from mulberrypass.model.routes import (
    RelayCustomer,
    RelayRoute,
    RouteKind,
    RouteTable,
    ServiceShare,
    key_digest,
)
from mulberrypass.policy.access import (
    Access,
    Allowed,
    JobCaller,
    UnknownKey,
    UnknownRoute,
    check_access,
    check_job_caller,
    may_see_job,
    priority_weight,
)

HOST = "dock.example"
DRILLERS = RelayCustomer("drillers", priority=2)
SURVEY = RelayCustomer("survey")


def make_route(prefix: str, **fields: object) -> RelayRoute:
    values = {
        "name": prefix,
        "host": HOST,
        "prefix": prefix,
        "kind": RouteKind.STREAM,
        "services": (ServiceShare("rackmind", 1.0),),
        "priority": 1,
    }
    return RelayRoute(**(values | fields))  # type: ignore[arg-type]


def make_table(
    customers: tuple[RelayCustomer, ...] | None, **keys: str
) -> RouteTable:
    """Return a table of one closed and one public route.

    :param keys: names of customers, by key
    """
    named = None
    if customers is not None:
        named = {customer.name: customer for customer in customers}
    return RouteTable(
        version=1,
        routes=(make_route("/own/"), make_route("/open/", public=True)),
        customers=named,
        keys={key_digest(key): name for key, name in keys.items()},
    )


class StrangerTest(unittest.TestCase):
    """Callers without a valid key once reached engines."""

    def setUp(self) -> None:
        self.table = make_table((DRILLERS, SURVEY), k1="drillers", k2="survey")

    def check(self, path: str, key: str) -> Access:
        return check_access(self.table, HOST, path, key)

    def test_key_leads_to_its_customer(self) -> None:
        access = self.check("/own/1", "k1")
        assert isinstance(access, Allowed)
        self.assertEqual("drillers", access.name)
        self.assertEqual(2, access.priority)
        access = self.check("/own/1", "k2")
        assert isinstance(access, Allowed)
        self.assertEqual("survey", access.name)
        self.assertEqual(1, access.priority)

    def test_unknown_key(self) -> None:
        for key in ("", "k3", "K1", "k1 ", "drillers", "\udcff"):
            with self.subTest(key):
                self.assertIsInstance(self.check("/own/1", key), UnknownKey)

    def test_unknown_route_comes_first(self) -> None:
        for key in ("", "k1"):
            self.assertIsInstance(self.check("/none/", key), UnknownRoute)

    def test_public_route(self) -> None:
        for key, name in (("", ""), ("k3", ""), ("k1", "drillers")):
            access = self.check("/open/1", key)
            assert isinstance(access, Allowed)
            self.assertEqual(name, access.name)

    def test_no_customers_in_an_empty_list(self) -> None:
        self.table = make_table(())
        self.assertIsInstance(self.check("/own/1", "k1"), UnknownKey)

    def test_deployment_without_customers(self) -> None:
        self.table = make_table(None)
        access = self.check("/own/1", "k1")
        assert isinstance(access, Allowed)
        self.assertEqual(("", 1), (access.name, access.priority))

    def test_key_of_a_customer_that_is_gone(self) -> None:
        self.table = make_table((SURVEY,), k1="drillers")
        self.assertIsInstance(self.check("/own/1", "k1"), UnknownKey)

    def test_no_key_in_the_table_as_text(self) -> None:
        self.assertNotIn("k1", repr(self.table))


class ForeignJobTest(unittest.TestCase):
    """A rival may not read or end a job."""

    def test_owner_only(self) -> None:
        cases: tuple[tuple[str, str | None, bool], ...] = (
            ("drillers", "drillers", True),
            ("drillers", "survey", False),
            ("drillers", "", False),
            ("drillers", None, True),
            ("", "survey", True),
            ("", "", True),
        )
        for owner, caller, may in cases:
            with self.subTest((owner, caller)):
                self.assertEqual(may, may_see_job(owner, caller))

    def test_caller_by_key(self) -> None:
        table = make_table((DRILLERS,), k1="drillers")
        self.assertEqual(
            JobCaller("drillers"), check_job_caller(table, HOST, "k1")
        )
        self.assertEqual(UnknownKey(), check_job_caller(table, HOST, "k2"))
        self.assertEqual(
            JobCaller(None), check_job_caller(make_table(None), HOST, "k2")
        )

    def test_no_key_for_a_public_batch_route(self) -> None:
        public = make_route("/lots/", kind=RouteKind.BATCH, public=True)
        table = RouteTable(version=1, routes=(public,), customers={})
        self.assertEqual(JobCaller(""), check_job_caller(table, HOST, ""))
        other = check_job_caller(table, "other.example", "")
        self.assertEqual(UnknownKey(), other)


class StarvedPriorityTest(unittest.TestCase):
    """A low priority may wait longer, and not for ever."""

    def test_weights(self) -> None:
        weights = [priority_weight(p) for p in (None, -1, 0, 1, 3)]
        self.assertEqual([1.0, 1.0, 1.0, 0.5, 0.25], weights)
