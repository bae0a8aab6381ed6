"""Tests of the dependencies between packages."""

from __future__ import annotations

import ast
from pathlib import Path
import re
from typing import TYPE_CHECKING
import unittest

import mulberrypass

if TYPE_CHECKING:
    from collections.abc import Iterator

ROOT = Path(mulberrypass.__file__).parent
# From bottom to top; packages of one layer don't import each other.
LAYERS = (
    {"model"},
    {"runtime", "policy"},
    {"storage"},
    {"configuration"},
    {"peer"},
    {"engine"},
    {"relay", "placement"},
    {"batches", "online"},
    {"jobs", "platform"},
    {"caller", "testing"},
    {"operator", "bench", "soak"},
    {"programs"},
)
PLATFORM_PROTOCOL_NAMES = re.compile(
    r"X-Mulberrypass|rows-(tx|get|feed|parts)|blob-(put|get|list|drop)"
    r"|ExpectedRev|op/config|/lots/"
)


def _imports(path: Path) -> Iterator[str]:
    """Yield the packages of the project that a module imports."""
    for node in ast.walk(ast.parse(path.read_text())):
        match node:
            case ast.ImportFrom(module=str(module)):
                names = [module]
                if module == "mulberrypass":
                    names = [f"{module}.{name.name}" for name in node.names]
            case ast.Import():
                names = [name.name for name in node.names]
            case _:
                continue
        for name in names:
            parts = name.split(".")
            if parts[0] == "mulberrypass" and len(parts) > 1:
                yield parts[1]


def _level(package: str) -> int:
    for level, packages in enumerate(LAYERS):
        if package in packages:
            return level
    raise AssertionError(f"no layer for the package {package}")


class LayerTest(unittest.TestCase):
    def test_packages_import_only_lower_layers(self) -> None:
        violations = []
        for path in ROOT.rglob("*.py"):
            own = path.relative_to(ROOT).parts[0]
            if own.endswith(".py"):
                continue
            for package in _imports(path):
                if package != own and _level(package) >= _level(own):
                    violations.append(f"{path.relative_to(ROOT)} -> {package}")
        self.assertEqual([], violations)

    def test_platform_protocol_names_stand_only_in_the_adapter(self) -> None:
        found = [
            str(path.relative_to(ROOT))
            for path in ROOT.rglob("*.py")
            if path.relative_to(ROOT).parts[0] != "platform"
            and PLATFORM_PROTOCOL_NAMES.search(path.read_text())
        ]
        self.assertEqual([], found)

    def test_platform_adapter_imports_no_policy(self) -> None:
        for path in (ROOT / "platform").rglob("*.py"):
            with self.subTest(path=path.name):
                self.assertNotIn("policy", set(_imports(path)))
