"""Tests of customers' keys on the users' platform."""

from __future__ import annotations

from dataclasses import replace
import json
from typing import Any
import unittest

from mulberrypass.batches.holder import JobHolder, Members
from mulberrypass.batches.manager import BatchJobManager
from mulberrypass.batches.store import BatchStore
from mulberrypass.model.batch_jobs import BatchItem
from mulberrypass.model.routes import RelayCustomer, key_digest
from mulberrypass.platform.desired import read_desired
from mulberrypass.platform.headers import engine_headers, read_request
from mulberrypass.platform.lots import BatchJobApi, item_request
from mulberrypass.relay.api import (
    AnswerHead,
    NoRoute,
    Refused,
    RelayEvent,
    Unauthorized,
)
from mulberrypass.relay.directory import Directory
from mulberrypass.relay.followers import DocumentError
from mulberrypass.relay.forward import Forwarder
from mulberrypass.testing.row_state import RowState
from tests.batches.cases import HOST, head
from tests.batches.cases import route as batch_route
from tests.relay.fakes import (
    CUT,
    Script,
    ScriptedEngines,
    ScriptedPermits,
    event,
    make_dependencies,
    request,
    route,
)

KEY = "yx5x42q492cqf75rjvz4"
OTHER_KEY = "8wuakn2ftimaj3nr26tt"
RIVAL_KEY = "t9m2ck7w"
FORGED = {
    "x-mulberrypass-key": KEY,
    "X-Mulberrypass-Tenant": "forged",
    "x-own": "v",
}
DESIRED: dict[str, Any] = {
    "Version": 7,
    "Routes": [
        {
            "Name": "r",
            "Host": "nony24.example",
            "Prefix": "/a/",
            "Service": "s",
            "Public": True,
            "TargetGapMs": 300,
        }
    ],
    "Services": [{"Name": "s"}],
    "Tenants": [
        {
            "Name": "kaje80",
            "ApiKeys": [KEY, OTHER_KEY],
            "Priority": 1,
            "RatePerS": 79,
            "Burst": 79,
        },
        {"Name": "lohu", "ApiKeys": []},
    ],
}


def with_customers(deps: Any, version: int, **keys: str) -> None:
    """Publish the routes in force again, with customers.

    :param keys: names of customers, by key
    """
    customers = {name: RelayCustomer(name) for name in keys.values()}
    table = replace(
        deps.directory.routes(),
        version=version,
        customers=customers,
        keys={key_digest(key): name for key, name in keys.items()},
    )
    deps.directory.apply_routes(table)


class DesiredCustomersTest(unittest.TestCase):
    def test_customers(self) -> None:
        table = read_desired(json.dumps(DESIRED).encode())
        expected = RelayCustomer("kaje80", 1, 79.0, 79.0)
        for key in (KEY, OTHER_KEY):
            self.assertEqual(expected, table.customer_of(key))
        self.assertIsNone(table.customer_of(""))
        assert table.customers is not None
        self.assertEqual(RelayCustomer("lohu"), table.customers["lohu"])
        self.assertTrue(table.routes[0].public)
        self.assertEqual(0.3, table.routes[0].gap_s)

    def test_absent_and_empty_lists_differ(self) -> None:
        doc = {k: v for k, v in DESIRED.items() if k != "Tenants"}
        self.assertIsNone(read_desired(json.dumps(doc).encode()).customers)
        doc["Tenants"] = []
        self.assertEqual({}, read_desired(json.dumps(doc).encode()).customers)

    def test_odd_customers_are_refused(self) -> None:
        cases: tuple[dict[str, Any], ...] = (
            {"ApiKeys": []},
            {"Name": "a\r\nb"},
            {"Name": ""},
            {"Name": "a", "RatePerS": -1},
            {"Name": "a", "Burst": "many"},
            {"Name": "a", "ApiKeys": [1]},
        )
        for odd in cases:
            with self.subTest(str(odd)), self.assertRaises(DocumentError):
                doc = DESIRED | {"Tenants": [odd]}
                read_desired(json.dumps(doc).encode())


class LeakedKeyTest(unittest.TestCase):
    """Keys and forged customers once went on to engines."""

    def test_nothing_of_the_caller_is_forwarded(self) -> None:
        req = read_request("POST", "/a", FORGED, b"")
        for customer in ("", "kaje80"):
            sent = engine_headers(replace(req, customer=customer), "e", 1.0)
            names = {name.lower(): value for name, value in sent.items()}
            self.assertNotIn("x-mulberrypass-key", names)
            told = names.get("x-mulberrypass-tenant", "")
            self.assertEqual(customer, told)
            self.assertEqual("v", names["x-own"])
        self.assertNotIn(KEY, repr(req))

    def test_items(self) -> None:
        item = BatchItem("i1", "/a", tuple(FORGED.items()), b"", 1)
        for customer in ("", "kaje80"):
            stored = replace(head(), customer=customer)
            req = item_request(stored, item, None)
            sent = engine_headers(req, "e", 1.0)
            names = {name.lower(): value for name, value in sent.items()}
            self.assertNotIn("x-mulberrypass-key", names)
            told = names.get("x-mulberrypass-tenant", "")
            self.assertEqual(customer, told)


class WithdrawnKeyTest(unittest.TestCase):
    def run_request(
        self, engines: ScriptedEngines, permits: ScriptedPermits, **keys: str
    ) -> tuple[list[RelayEvent], Any]:
        deps = make_dependencies(engines, permits, route(resumable=True))
        with_customers(deps, 2, **keys)
        events = Forwarder(deps).run(request(key="k1"), lambda: False)
        return [next(events)], (deps, events)

    def test_unknown_key_asks_no_engine(self) -> None:
        engines, permits = ScriptedEngines(), ScriptedPermits("e1")
        events, _ = self.run_request(engines, permits, k2="survey")
        self.assertEqual([Unauthorized()], events)
        self.assertEqual([], permits.asks)

    def test_customer_is_told_on_each_attempt(self) -> None:
        first = Script(parts=[event(1), CUT])
        second = Script(parts=[event(2)])
        engines = ScriptedEngines(first, second)
        permits = ScriptedPermits("e1", "e2")
        events, (_, rest) = self.run_request(engines, permits, k1="drillers")
        events += rest
        self.assertIsInstance(events[0], AnswerHead)
        names = [req.customer for _, req in engines.sent]
        self.assertEqual(["drillers", "drillers"], names)
        self.assertEqual(
            ["drillers", "drillers"], [ask.customer for ask in permits.asks]
        )

    def test_withdrawn_while_it_waits(self) -> None:
        """The key is withdrawn between arrival and the grant."""
        engines, permits = ScriptedEngines(Script()), ScriptedPermits("e1")
        deps = make_dependencies(engines, permits, route())
        with_customers(deps, 2, k1="drillers")
        permits.on_ask = lambda: with_customers(deps, 3, k2="survey")
        events = list(Forwarder(deps).run(request(key="k1"), lambda: False))
        self.assertEqual([Unauthorized()], events)
        self.assertEqual([], engines.sent)

    def test_given_to_another_while_it_waits(self) -> None:
        engines, permits = ScriptedEngines(Script()), ScriptedPermits("e1")
        deps = make_dependencies(engines, permits, route())
        with_customers(deps, 2, k1="drillers")
        permits.on_ask = lambda: with_customers(deps, 3, k1="survey")
        events = list(Forwarder(deps).run(request(key="k1"), lambda: False))
        self.assertIsInstance(events[0], Refused)
        self.assertEqual([], engines.sent)

    def test_withdrawn_after_the_answer_has_begun(self) -> None:
        """A stream that has begun goes on, also at another engine."""
        engines = ScriptedEngines(
            Script(parts=[event(1), CUT]), Script(parts=[event(2)])
        )
        permits = ScriptedPermits("e1", "e2")
        events, (deps, rest) = self.run_request(
            engines, permits, k1="drillers"
        )
        with_customers(deps, 3, k2="survey")
        events += rest
        self.assertEqual(2, len(engines.sent))
        self.assertEqual("drillers", engines.sent[1][1].customer)

    def test_unknown_route(self) -> None:
        deps = make_dependencies(ScriptedEngines(), ScriptedPermits("e1"))
        with_customers(deps, 2, k1="drillers")
        req = request(target="/none/", key="k2")
        events = list(Forwarder(deps).run(req, lambda: False))
        self.assertEqual([NoRoute()], events)


class ForeignJobTest(unittest.TestCase):
    """Jobs of a customer are nobody else's."""

    def setUp(self) -> None:
        self.store = BatchStore(RowState(), sleep=lambda _s: None)
        self.deps = make_dependencies(
            ScriptedEngines(),
            ScriptedPermits("e1"),
            batch_route(quota_tokens=150),
        )
        live = frozenset({"entry@a"})
        self.keys = {KEY: "kaje80", OTHER_KEY: "kaje80", RIVAL_KEY: "lohu"}
        self.version = 2
        self.publish()
        # Another member than the one that accepts, whose follower is late.
        directory = self.deps.directory
        self.managers = [
            BatchJobManager(
                name,
                self.store,
                JobHolder(
                    name,
                    self.store,
                    self.deps,
                    lambda: Members(live, live),
                    item_request,
                ),
                directory,
            )
            for name in ("entry@a", "entry@b")
        ]
        self.apis = [BatchJobApi(m, directory) for m in self.managers]

    def publish(self) -> None:
        with_customers(self.deps, self.version, **self.keys)
        self.version += 1

    def call(
        self, method: str, target: str, key: str, job: str = "lot-1"
    ) -> set[int]:
        """Make a call at each member and return the statuses."""
        item = {"Id": "i1", "Path": "/crates/1", "Body": "q83v", "Tokens": 100}
        body = json.dumps({"Items": [item]}).encode()
        headers = {
            "host": HOST,
            "x-mulberrypass-request-id": job,
            "x-mulberrypass-key": key,
        }
        req = read_request(method, target, headers, body)
        replies = [api.handle(req) for api in self.apis]
        return {reply.status for reply in replies if reply is not None}

    def test_keys(self) -> None:
        self.assertEqual({401}, self.call("POST", "/crates/a", "none"))
        self.assertEqual({202}, self.call("POST", "/crates/a", KEY))
        stored = self.store.read(HOST, "lot-1").ok.head
        self.assertEqual("kaje80", stored.customer)
        calls = (
            ("GET", "/lots/lot-1"),
            ("GET", "/items/lot-1?Id=i1"),
            ("DELETE", "/lots/lot-1"),
        )
        for method, target in calls:
            with self.subTest(target):
                self.assertEqual({401}, self.call(method, target, ""))
                self.assertEqual({401}, self.call(method, target, "none"))
                self.assertEqual({404}, self.call(method, target, RIVAL_KEY))
        self.assertEqual({409}, self.call("POST", "/crates/a", RIVAL_KEY))
        self.assertFalse(self.store.read(HOST, "lot-1").ok.head.ended)
        for method, target in calls:
            with self.subTest(target):
                self.assertEqual({200}, self.call(method, target, OTHER_KEY))
        self.assertEqual({202}, self.call("POST", "/crates/a", OTHER_KEY))

    def test_job_outlives_its_key(self) -> None:
        self.call("POST", "/crates/a", KEY)
        del self.keys[KEY]
        self.publish()
        self.assertEqual({401}, self.call("GET", "/lots/lot-1", KEY))
        self.assertEqual({200}, self.call("GET", "/lots/lot-1", OTHER_KEY))
        self.assertEqual({202}, self.call("POST", "/crates/a", OTHER_KEY))
        self.assertTrue(self.store.read(HOST, "lot-1").ok.head.open)

    def test_token_limit_for_each_customer(self) -> None:
        self.assertEqual({202}, self.call("POST", "/crates/a", KEY))
        over = self.call("POST", "/crates/a", OTHER_KEY, "lot-2")
        self.assertEqual({429}, over)
        other = self.call("POST", "/crates/a", RIVAL_KEY, "lot-3")
        self.assertEqual({202}, other)

    def test_nothing_is_said_without_a_configuration(self) -> None:
        api = BatchJobApi(self.managers[0], Directory())
        req = read_request("GET", "/lots/a", {"host": HOST}, b"")
        reply = api.handle(req)
        assert reply is not None
        self.assertEqual(503, reply.status)
