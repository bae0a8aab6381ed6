"""Tests of reloads of a settings file that can't be used."""

from __future__ import annotations

from pathlib import Path
import tempfile
import unittest

from mulberrypass.platform.site import read_site
from mulberrypass.platform.stand_in.site import settings_text
from mulberrypass.programs.site_reload import reload_site


def text(zone: str = "a") -> str:
    """Return a settings file."""
    return settings_text("i-1", "10.1.0.10", zone, "10.2.0.1:8169", 8)


class UnusableSettingsTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / "local.toml"
        self.path.write_text(text())
        self.site = read_site(self.path)

    def test_file_cut_within_a_character_keeps_the_settings_in_force(
        self,
    ) -> None:
        """The error isn't a SiteError and ended the process."""
        data = text("z\N{LATIN SMALL LETTER U WITH DIAERESIS}rich").encode()
        self.path.write_bytes(data[: data.index(b"\xc3") + 1])
        self.assertIs(self.site, reload_site(self.path, self.site))

    def test_malformed_port_keeps_the_settings_in_force(self) -> None:
        self.path.write_text(
            text().replace(":8161", ":\N{SUPERSCRIPT TWO}"), encoding="utf-8"
        )
        self.assertIs(self.site, reload_site(self.path, self.site))

    def test_deep_nesting_keeps_the_settings_in_force(self) -> None:
        self.path.write_text(text() + "x = " + "[" * 100_000)
        self.assertIs(self.site, reload_site(self.path, self.site))

    def test_stop_time_that_no_stop_can_use_is_not_applied(self) -> None:
        """A sleep for such a time fails, in the middle of a stop."""
        for grace_s in ("-1", "nan"):
            with self.subTest(grace_s=grace_s):
                changed = text().replace("GraceS = 8", f"GraceS = {grace_s}")
                self.path.write_text(changed)
                self.assertIs(self.site, reload_site(self.path, self.site))
