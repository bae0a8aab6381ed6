"""Tests of ``mulberryctl lint`` on files."""

from __future__ import annotations

import contextlib
import json
from pathlib import Path
import tempfile
from typing import Any
import unittest

from expression import Result

from mulberrypass.model.fault import Fault
from mulberrypass.operator.lint import LintReport, lint

OLD_KEY, NEW_KEY = "ab" * 32, "cd" * 32
STATE = {"Version": 1, "Routes": [], "Services": []}


def customer(digest: str) -> dict[str, Any]:
    """Return the document of a customer with one key."""
    return {"kind": "customer", "name": "firm", "keys": [{"digest": digest}]}


class LintTestCase(unittest.TestCase):
    """Runs in a directory of its own."""

    def setUp(self) -> None:
        directory = self.enterContext(tempfile.TemporaryDirectory())
        self.enterContext(contextlib.chdir(directory))

    def report(self, *files: str, against: str = "") -> LintReport:
        """Return the report on files without errors."""
        match lint(files, against):
            case Result(tag="ok", ok=report):
                return report
            case Result(error=faults):
                raise AssertionError(faults)

    def errors(self, *files: str, against: str = "") -> tuple[Fault, ...]:
        """Return the errors of files."""
        match lint(files, against):
            case Result(tag="ok", ok=report):
                raise AssertionError(report)
            case Result(error=faults):
                return faults


class KeyOfObjectShownTest(LintTestCase):
    """A whole digest would be printed with the differences."""

    def test_changed_keys_have_twelve_digits(self) -> None:
        Path("old.json").write_text(json.dumps(customer(OLD_KEY)))
        Path("new.json").write_text(json.dumps(customer(NEW_KEY)))
        (change,) = self.report("new.json", against="old.json").changes or ()
        (field,) = change.fields
        self.assertEqual("ab" * 6, field.before[0]["digest"])
        self.assertEqual("cd" * 6, field.after[0]["digest"])


class WrongPlaceTest(LintTestCase):
    """A warning or an error would name another file or line."""

    def test_warnings_of_objects_name_file_and_line(self) -> None:
        Path("a.yaml").write_text("kind: model\nname: a\n")
        version = "kind: version\nname: r\nmodel: a\nweights: w\n"
        Path("b.yaml").write_text(
            f"kind: model\nname: b\n---\n{version}size_bytes: 1\n"
        )
        warnings = self.report("a.yaml", "b.yaml").warnings
        self.assertEqual(
            [
                ("a.yaml", 1, 'model "a"'),
                ("b.yaml", 1, 'model "b"'),
                ("b.yaml", 4, 'version "r" of model "a"'),
            ],
            [(w.file, w.line, w.object) for w in warnings],
        )

    def test_errors_name_the_file_that_has_them(self) -> None:
        Path("good.json").write_text(json.dumps(STATE))
        Path("bad.json").write_text(json.dumps(STATE | {"Version": "x"}))
        Path("empty.yaml").write_text("")
        Path("cut.json").write_text('{"Version": 1,')
        Path("object.yaml").write_text("kind: model\nname: a\n")
        cases: list[tuple[tuple[str, ...], str, str]] = [
            (("bad.json",), "", "bad.json"),
            (("good.json",), "bad.json", "bad.json"),
            (("empty.yaml",), "", "empty.yaml"),
            (("cut.json",), "good.json", "cut.json"),
            (("good.json",), "gone.json", "gone.json"),
            (("good.json", "good.json"), "", "good.json"),
            (("good.json",), "object.yaml", "object.yaml"),
        ]
        for files, against, named in cases:
            with self.subTest(files=files, against=against):
                (fault,) = self.errors(*files, against=against)
                self.assertEqual(named, fault.file)


if __name__ == "__main__":
    unittest.main()
