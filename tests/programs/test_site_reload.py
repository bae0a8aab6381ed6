"""Tests of reading the settings file of a running instance again."""

from __future__ import annotations

from dataclasses import replace
from pathlib import Path
import tempfile
import unittest
from unittest.mock import patch

from mulberrypass.platform.site import read_site
from mulberrypass.platform.stand_in.site import settings_text
from mulberrypass.programs.site_reload import reload_site

LOG = "mulberrypass.programs.site_reload.LOG"


def text(grace_s: int, zone: str = "a") -> str:
    """Return a settings file."""
    return settings_text("i-1", "10.1.0.10", zone, "10.2.0.1:8169", grace_s)


class ReloadSiteTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / "local.toml"
        self.path.write_text(text(8))
        self.site = read_site(self.path)

    def test_changed_stop_time_is_applied(self) -> None:
        self.path.write_text(text(20))
        found = reload_site(self.path, self.site)
        self.assertEqual(replace(self.site, grace_s=20), found)

    def test_changed_zone_waits_for_a_restart(self) -> None:
        self.path.write_text(text(8, "b"))
        with patch(LOG) as log:
            found = reload_site(self.path, self.site)
        self.assertEqual(self.site, found)
        logged = log.info.call_args.kwargs
        self.assertEqual(["zone"], logged["needs_restart"])

    def test_unusable_file_keeps_the_settings_in_force(self) -> None:
        for broken in ("NodeName = ", "NodeName = 7", None):
            with self.subTest(broken=broken):
                if broken is None:
                    self.path.unlink()
                else:
                    self.path.write_text(broken)
                with patch(LOG) as log:
                    found = reload_site(self.path, self.site)
                self.assertIs(self.site, found)
                log.error.assert_called_once()
