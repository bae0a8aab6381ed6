"""Tests of the choice of a job's route."""

from __future__ import annotations

import json
import unittest

from mulberrypass.batches import codec
from mulberrypass.model.routes import RelayRoute, RouteKind, RouteTable
from mulberrypass.policy.batches.job_route import job_route
from mulberrypass.storage.rows import StoredRow
from tests.batches.cases import HOST, head, route

HEAD = head(prefix="/crates/")


class ItemPathChoseTheRouteTest(unittest.TestCase):
    """The path of an item chose its route, instead of its job's route."""

    def assert_found(
        self, name: str | None, *routes: RelayRoute, prefix: str = "/crates/"
    ) -> None:
        """Check which route a job has."""
        table = RouteTable(1, routes)
        found = job_route(table, head(prefix=prefix))
        self.assertEqual(name, None if found is None else found.name)

    def test_route_of_its_name(self) -> None:
        self.assert_found("crates", route(), route(name="b", prefix="/b/"))

    def test_moved_to_another_prefix(self) -> None:
        self.assert_found("crates", route(prefix="/boxes/"))

    def test_another_route_has_its_former_prefix(self) -> None:
        self.assert_found("crates", route(prefix="/boxes/"), route(name="b"))

    def test_renamed(self) -> None:
        self.assert_found("boxes", route(name="boxes"))

    def test_longer_prefix_for_the_same_submissions(self) -> None:
        self.assert_found(
            "crates", route(), route(name="longer", prefix="/crates/a/")
        )

    def test_removed_beside_a_shorter_prefix(self) -> None:
        self.assert_found(None, route(name="all", prefix="/"))

    def test_removed_with_an_online_route_in_its_place(self) -> None:
        online = route(name="online", kind=RouteKind.STREAM)
        self.assert_found(None, online)

    def test_route_of_another_host(self) -> None:
        self.assert_found(None, route(host="other.example"))

    def test_no_routes(self) -> None:
        self.assert_found(None)

    def test_head_of_an_earlier_version(self) -> None:
        """It has no prefix, so that only the name tells the route."""
        self.assert_found("crates", route(), prefix="")
        self.assert_found(None, route(name="boxes"), prefix="")
        self.assert_found(None, route(name="none", prefix=""), prefix="")


class HeadWithoutPrefixTest(unittest.TestCase):
    """Heads that were stored before the prefix was added are read as well."""

    def test_row_without_the_field(self) -> None:
        doc = json.loads(codec.encode_head(HEAD))
        del doc["prefix"]
        at = codec.head_key(HOST, HEAD.job_id)
        row = StoredRow(at, json.dumps(doc).encode(), 1)
        self.assertEqual(head(), codec.decode_head(row))

    def test_row_with_the_field(self) -> None:
        at = codec.head_key(HOST, HEAD.job_id)
        row = StoredRow(at, codec.encode_head(HEAD), 1)
        self.assertEqual(HEAD, codec.decode_head(row))


if __name__ == "__main__":
    unittest.main()
