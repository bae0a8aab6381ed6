"""Tests of what the engine's stand-in notes, and of its speed."""

from __future__ import annotations

import io
from typing import Any
import unittest
from unittest.mock import Mock, patch

from mulberrypass.platform import headers as names
from mulberrypass.platform.stand_in.engine import EngineApp


class EngineNotesTest(unittest.TestCase):
    """An engine overlooks a key or a name that it is told."""

    def call(self, headers: dict[str, str], **faults: Any) -> EngineApp:
        """Return an engine that has had a request."""
        app = EngineApp("i-0-1")
        for name, value in faults.items():
            setattr(app.faults, name, value)
        environ: dict[str, Any] = {
            "HTTP_" + name.upper().replace("-", "_"): value
            for name, value in {names.REQUEST_ID: "r1", **headers}.items()
        }
        environ |= {"wsgi.input": io.BytesIO(), "REQUEST_URI": "/lookup/1"}
        list(app(environ, Mock()))
        return app

    def test_key(self) -> None:
        for name in (names.CUSTOMER_KEY, "X-Other"):
            for full in (False, True):
                with self.subTest(name=name, full=full):
                    app = self.call({name: "soak-key-1-a"}, full=full)
                    self.assertEqual(["r1"], app.log.keyed)

    def test_customer(self) -> None:
        for sent, seen in (({names.CUSTOMER: "c1"}, "c1"), ({}, "")):
            app = self.call(sent)
            self.assertEqual({"r1": {seen}}, app.log.customers)
            self.assertEqual([], app.log.keyed)


class UnevenEngineTest(unittest.TestCase):
    """Moments of slowness don't come, never end or aren't named."""

    def test_moments(self) -> None:
        app = EngineApp("i-0-1", moments="1")
        with patch(
            "mulberrypass.platform.stand_in.engine.time.monotonic"
        ) as clock:
            seen = []
            for tick in range(200):
                clock.return_value = tick * 0.1
                seen.append(app._slowness())
        self.assertEqual({1.0, 2.5}, set(seen))
        self.assertLess(seen.count(2.5), seen.count(1.0))
        self.assertEqual(1.0, EngineApp("i-1-1")._slowness())


if __name__ == "__main__":
    unittest.main()
