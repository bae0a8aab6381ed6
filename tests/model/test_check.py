"""Tests of validation, loading and encoding of sets of objects."""

from __future__ import annotations

import copy
from pathlib import Path
import tempfile
from typing import Any
import unittest

from expression import Result

from mulberrypass.model.check import check
from mulberrypass.model.fault import Fault, Source
from mulberrypass.model.load import RawDocument, load_files, load_text
from mulberrypass.model.objects import BackendKind, Configuration
from mulberrypass.model.published import Snapshot
from mulberrypass.model.render import to_documents
from mulberrypass.model.snapshot import canonical, decode, encode

EXAMPLES = Path(__file__).parents[2] / "examples"
DIGEST = "ab" * 32

VALID_SET: tuple[dict[str, Any], ...] = (
    {"kind": "model", "name": "rackmind"},
    {
        "kind": "version",
        "name": "r1",
        "model": "rackmind",
        "weights": "rackmind/r1",
        "size_bytes": 1,
    },
    {
        "kind": "backend",
        "name": "e1",
        "zone": "z1",
        "address": "10.0.0.1:8000",
        "slots": 4,
        "kv_tokens": 100,
    },
    {
        "kind": "backend",
        "name": "p1",
        "type": "plain",
        "zone": "z1",
        "address": "10.0.0.2:8000",
        "slots": 4,
    },
    {"kind": "pool", "name": "engines", "backends": ["e1"]},
    {"kind": "pool", "name": "plains", "backends": ["p1"]},
    {
        "kind": "service",
        "name": "dock",
        "pool": "engines",
        "model": "rackmind",
        "routes": [{"version": "r1"}],
    },
    {
        "kind": "service",
        "name": "booking",
        "type": "plain",
        "pool": "plains",
        "idempotent": False,
    },
    {
        "kind": "quota",
        "name": "small",
        "requests_per_s": 1.5,
        "burst": 2,
        "online_running": 2,
        "batch_running": 2,
    },
    {
        "kind": "customer",
        "name": "firm",
        "quota": "small",
        "keys": [{"digest": DIGEST}],
    },
)


def edited_set(name: str, /, **fields: Any) -> list[dict[str, Any]]:
    """Return the valid set with fields of one object set, or removed."""
    contents = copy.deepcopy(list(VALID_SET))
    for content in contents:
        if content["name"] == name:
            content.update(fields)
            for field in [f for f, v in fields.items() if v is None]:
                del content[field]
    return contents


def raw_documents(contents: Any) -> list[RawDocument]:
    """Return documents as if read from a file, one per line."""
    return [
        RawDocument(Source("set.yaml", line), content)
        for line, content in enumerate(contents, 1)
    ]


def check_result(
    contents: Any, base: Configuration | None = None
) -> Configuration | tuple[Fault, ...]:
    """Validate documents."""
    match check(raw_documents(contents), base):
        case Result(tag="ok", ok=cfg):
            return cfg
        case Result(error=faults):
            return faults


FAULTS: tuple[tuple[str, list[dict[str, Any]], str], ...] = (
    (
        "missing reference",
        edited_set("dock", pool="engine"),
        'service "dock", field "pool": pool "engine" does not exist; '
        'define it, or name one of "engines", "plains"',
    ),
    (
        "misspelt field",
        edited_set("dock", timeout=5),
        'service "dock", field "timeout": there is no such field; '
        'did you mean "timeout_ms"?',
    ),
    (
        "missing field",
        edited_set("p1", zone=None),
        'backend "p1", field "zone": it is missing; give it a value',
    ),
    (
        "wrong type",
        edited_set("e1", slots="four"),
        'backend "e1", field "slots": input should be a valid integer',
    ),
    (
        "address",
        edited_set("e1", address="rack.example:8000"),
        'backend "e1", field "address": "rack.example:8000" is not an IP '
        'number and a port; write it as in "10.0.0.5:8000"',
    ),
    (
        "two backends with one address",
        edited_set("e1", address="10.0.0.2:08000"),
        'backend "p1", field "address": "10.0.0.2:8000" is the address of '
        'backend "e1"; give each its own',
    ),
    (
        "digest",
        edited_set("firm", keys=[{"digest": "secret"}]),
        'customer "firm", field "keys.0.digest": the key digest is not a '
        "SHA-256 in 64 hexadecimal digits; make it with "
        '"mulberryctl digest"',
    ),
    (
        "no key",
        edited_set("firm", keys=[]),
        'customer "firm", field "keys": it has no key; give it the digest '
        "of at least one",
    ),
    (
        "hedged, not idempotent",
        edited_set("booking", hedge=True),
        'service "booking", field "hedge": work that is not idempotent '
        'can\'t be hedged; write "hedge: false", or leave it out',
    ),
    (
        "second runs, not idempotent",
        edited_set("booking", repeat_share=0.05),
        'service "booking", field "repeat_share": work that is not '
        'idempotent gets no second run; write "repeat_share: 0", or leave '
        "it out",
    ),
    (
        "retried, not idempotent",
        edited_set("booking", max_attempts=2),
        'service "booking", field "max_attempts": work that is not '
        'idempotent can\'t be retried; write "max_attempts: 1", or leave '
        "it out",
    ),
    (
        "pool of the wrong kind",
        edited_set("dock", pool="plains"),
        'service "dock", field "pool": pool "plains" has backends that are '
        'not of type "engine": "p1"; name a pool of type "engine" only',
    ),
    (
        "weights of 0",
        edited_set("dock", routes=[{"version": "r1", "weight": 0}]),
        'service "dock", field "routes": the weights add up to 0; give at '
        "least one route a weight above 0",
    ),
    (
        "unknown group",
        edited_set("dock", routes=[{"version": "r1", "groups": ["x"]}]),
        'service "dock", field "routes.0.groups": no customer is in group '
        '"x"; the groups are ',
    ),
    (
        "customer without a route",
        edited_set("dock", routes=[{"version": "r1", "groups": ["x"]}]),
        'service "dock", field "routes": no route is for customers of no '
        'group: "firm"; add a route for all groups, with a weight above 0',
    ),
    (
        "quota that can't be used",
        edited_set("small", online_running=0),
        'quota "small", field "online_running": 0 lets no online request '
        "run, whatever the rate; write at least 1, or 0 for "
        '"requests_per_s" too',
    ),
    (
        "timeout over its bound",
        edited_set("dock", max_timeout_ms=10),
        'service "dock", field "timeout_ms": 30000 is over max_timeout_ms, '
        "10; write at most 10",
    ),
    (
        "defined twice",
        [*VALID_SET, VALID_SET[0]],
        'model "rackmind", field "name": it is defined already at '
        "set.yaml:1; keep one of them",
    ),
    (
        "backend in two pools",
        edited_set("plains", backends=["p1", "e1"]),
        'pool "plains", field "backends.1": backend "e1" is in pool '
        '"engines" already; a backend is in one pool; let services share it',
    ),
    (
        "backend named twice",
        edited_set("engines", backends=["e1", "e1"]),
        'pool "engines", field "backends.1": backend "e1" is named twice; '
        "name it once",
    ),
    (
        "roles",
        edited_set("e1", role="prefill"),
        'service "dock", field "pool": pool "engines" has no engine for '
        'decode; add an engine of role "decode" or "both"',
    ),
    (
        "engine without KV memory",
        edited_set("e1", kv_tokens=0),
        'backend "e1", field "kv_tokens": an engine without KV memory can '
        "run nothing; give the tokens that it holds",
    ),
    (
        "plain service with a model",
        edited_set("booking", model="rackmind"),
        'service "booking", field "model": a plain service has none; '
        "leave it out",
    ),
    (
        "name",
        edited_set("dock", name="Dock!"),
        'service "Dock!", field "name": "Dock!" is not a name; write up to '
        "63 lower-case letters, digits, dots, hyphens or underscores",
    ),
    (
        "two models of a pool with one name of a version",
        [
            *VALID_SET,
            {"kind": "model", "name": "other"},
            VALID_SET[1] | {"model": "other"},
            VALID_SET[6] | {"name": "late", "model": "other"},
        ],
        'service "late", field "model": pool "engines" serves model '
        '"rackmind" too, and both models have versions "r1"; name them '
        "differently, or use another pool",
    ),
    (
        "kind",
        [*VALID_SET, {"kind": "modle", "name": "x"}],
        'object "x", field "kind": "modle" is not a kind of object; write '
        'one of "adapter", "backend"',
    ),
)


class FaultTest(unittest.TestCase):
    """Each fault states its location, the problem and a remedy."""

    def test_each_fault(self) -> None:
        for name, contents, expected in FAULTS:
            with self.subTest(name):
                faults = check_result(contents)
                assert isinstance(faults, tuple)
                texts = [fault.text() for fault in faults]
                self.assertTrue(any(expected in text for text in texts), texts)
                self.assertTrue(texts[0].startswith("set.yaml:"))

    def test_all_faults_are_reported_at_once(self) -> None:
        contents = edited_set("dock", pool="engine", model="racknind")
        contents[2]["slots"] = 0
        faults = check_result(contents)
        assert isinstance(faults, tuple)
        fields = [(fault.object, fault.field) for fault in faults]
        self.assertEqual(
            [
                ('backend "e1"', "slots"),
                ('service "dock"', "model"),
                ('service "dock"', "pool"),
                ('service "dock"', "routes.0.version"),
            ],
            fields,
        )

    def test_removal_of_referenced_object(self) -> None:
        base = check_result(VALID_SET)
        assert isinstance(base, Configuration)
        faults = check_result([VALID_SET[0], *VALID_SET[2:]], base)
        assert isinstance(faults, tuple)
        self.assertEqual(
            'set.yaml:6: service "dock", field "routes.0.version": version '
            '"r1" of model "rackmind" is still referenced by service "dock" '
            "and can't be removed; keep it, or change this field first",
            faults[0].text(),
        )


class LoadTest(unittest.TestCase):
    """Loading of YAML and JSON files, and faults of unreadable files."""

    def test_yaml_and_json_are_equivalent(self) -> None:
        yaml = "kind: model\nname: a\n---\nkind: model\nname: b\n"
        text = '[{"kind": "model", "name": "a"},{"kind":"model","name":"b"}]'
        by_yaml = load_text("x.yaml", yaml)
        self.assertEqual([1, 4], [raw.source.line for raw in by_yaml])
        by_json = [raw.content for raw in load_text("x.json", text)]
        self.assertEqual([raw.content for raw in by_yaml], by_json)

    def test_key_expiry_formats(self) -> None:
        for end in ("1800000000", "2027-01-15T08:00:00Z"):
            with self.subTest(end):
                text = (
                    "kind: operator\nname: a\nkeys:\n"
                    f"- digest: {DIGEST}\n  not_after: {end}\n"
                )
                match check(load_text("x.yaml", text)):
                    case Result(tag="ok", ok=cfg):
                        key = cfg.operators["a"].keys[0]
                        self.assertEqual(1_800_000_000.0, key.not_after)
                    case Result(error=faults):
                        self.fail(faults)

    def test_missing_file_is_a_fault(self) -> None:
        loaded = load_files(["no-such-file.yaml"])
        self.assertEqual("no-such-file.yaml", loaded.faults[0].file)
        self.assertIn("can't be read", loaded.faults[0].problem)

    def test_text_that_a_parser_crashes_on_is_a_fault(self) -> None:
        texts = {
            "deep.json": "[" * 100_000,
            "deep.yaml": "[" * 2_000,
            "key.yaml": "? [a]\n: b\n",
            "tag.yaml": "a: !!int b\n",
        }
        with tempfile.TemporaryDirectory() as directory:
            for name, text in texts.items():
                path = Path(directory, name)
                path.write_text(text)
                with self.subTest(name):
                    (fault,) = load_files([str(path)]).faults
                    self.assertEqual(str(path), fault.file)
                    self.assertIn("can't be parsed", fault.problem)


class ExamplesTest(unittest.TestCase):
    """The example sets are valid and survive a round trip."""

    def test_examples_are_valid(self) -> None:
        sizes = {"consortium": 5, "padukalaya": 6, "demo": 2}
        for name, engines in sizes.items():
            with self.subTest(name):
                loaded = load_files([str(EXAMPLES / name)])
                self.assertEqual((), loaded.faults)
                match check(loaded.documents):
                    case Result(tag="ok", ok=cfg):
                        kinds = [b.kind for b in cfg.backends.values()]
                        self.assertEqual(
                            engines, kinds.count(BackendKind.ENGINE)
                        )
                        self.assertEqual(cfg, check_result(to_documents(cfg)))
                    case Result(error=faults):
                        self.fail([fault.text() for fault in faults])


class SnapshotTest(unittest.TestCase):
    """The canonical form is independent of order and decodes losslessly."""

    def setUp(self) -> None:
        cfg = check_result(VALID_SET)
        assert isinstance(cfg, Configuration)
        self.cfg = cfg

    def test_order_of_documents_does_not_matter(self) -> None:
        other = check_result(reversed(VALID_SET))
        assert isinstance(other, Configuration)
        self.assertEqual(self.cfg.digest, other.digest)

    def test_encode_and_decode_round_trip(self) -> None:
        encoded = encode(self.cfg, 7)
        match decode(encoded):
            case Result(tag="ok", ok=cfg):
                self.assertEqual(7, cfg.generation)
                self.assertEqual(self.cfg.services, cfg.services)
                self.assertEqual(self.cfg.customers, cfg.customers)
                self.assertEqual(canonical(self.cfg), canonical(cfg))
            case Result(error=bad):
                self.fail(bad)

    def test_corrupt_snapshots_are_refused(self) -> None:
        good = encode(self.cfg, 7)
        other = encode(Configuration(), 7)
        for reason, digest, data in (
            ("decompressed", good.digest, b"not compressed"),
            ("cut off", good.digest, good.data[:-8]),
            ("digest", good.digest, other.data),
        ):
            with self.subTest(reason):
                result = decode(Snapshot(7, digest, data))
                self.assertTrue(result.is_error())
                self.assertIn(reason, result.error.reason)


if __name__ == "__main__":
    unittest.main()
