"""Tests of the report of experiments and its plots."""

from __future__ import annotations

from pathlib import Path
import tempfile
import unittest
from xml.etree import ElementTree as ET

from mulberrypass.bench.load.recorder import Recorder
from mulberrypass.bench.plots import LINE_HEIGHT, Axis, Point, scatter
from mulberrypass.bench.report import NoResultsError, frontier, write
from mulberrypass.bench.results import ExperimentResult, at_most, make_row

SVG = "{http://www.w3.org/2000/svg}"


def result(name: str) -> ExperimentResult:
    """Return a result with one row, one target met and one missed."""
    targets = [at_most("p99 <tail>", 1.0, 2.0), at_most("gap", 3.0, 2.0)]
    rows = [make_row("a & b", Recorder(), 120.0)]
    return ExperimentResult(name, "model", 1, 5.0, rows, targets)


class PlotTest(unittest.TestCase):
    def test_each_point_is_drawn_with_its_label(self) -> None:
        points = [Point("one", 1, 10), Point("<two>", 2, 20)]
        picture = ET.fromstring(scatter(points, "x", "y"))
        self.assertEqual(2, len(picture.findall(f"{SVG}circle")))
        texts = [text.text for text in picture.iter(f"{SVG}text")]
        self.assertIn("<two>", texts)

    def test_labels_of_equal_points_do_not_overlap(self) -> None:
        points = [Point("one", 1, 1), Point("two", 1, 1), Point("far", 9, 9)]
        picture = ET.fromstring(scatter(points, "x", "y"))
        heights = {
            text.text: float(text.attrib["y"])
            for text in picture.iter(f"{SVG}text")
        }
        self.assertGreaterEqual(
            abs(heights["one"] - heights["two"]), LINE_HEIGHT
        )

    def test_one_point_or_none_can_be_plotted(self) -> None:
        for points in ([], [Point("one", 5, 5)]):
            with self.subTest(points=len(points)):
                ET.fromstring(scatter(points, "x", "y"))

    def test_wide_range_of_values_has_a_logarithmic_axis(self) -> None:
        axis = Axis("y", 10, 10_000, 0, 300)
        self.assertAlmostEqual(100, axis.pixel(100))
        self.assertEqual([10, 100, 1_000, 10_000], axis.ticks())
        self.assertAlmostEqual(150, Axis("x", 0, 10, 0, 300).pixel(5))


class ReportTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def test_page_shows_targets_rows_and_plots(self) -> None:
        result("flood").save(str(self.folder))
        page = self.folder / "page.html"
        write(self.folder, page)
        text = page.read_text(encoding="utf-8")
        for part in ("flood", "p99 &lt;tail&gt;", "a &amp; b", "<svg"):
            with self.subTest(part):
                self.assertIn(part, text)
        self.assertEqual(1, text.count("class='missed'"))

    def test_missing_results_are_an_error(self) -> None:
        page = self.folder / "page.html"
        with self.assertRaises(NoResultsError):
            write(self.folder, page)
        with self.assertRaises(NoResultsError):
            frontier(self.folder)
