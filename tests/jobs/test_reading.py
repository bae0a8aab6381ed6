"""Tests of reading objects that lack their last lines."""

from __future__ import annotations

import unittest

from mulberrypass.jobs.reading import JobReader
from mulberrypass.jobs.rows import (
    Chunk,
    JobRow,
    ManifestLot,
    manifest_key,
)
from mulberrypass.model.store import Unavailable
from mulberrypass.testing.platform_memory import MemoryObjects, MemoryTable
from mulberrypass.testing.platform_state import FakePlatform

LINES = (b'{"item": 0}', b'{"item": 1}', b'{"item": 2}')
LOT = ManifestLot("digest", 0, len(LINES))
JOB = JobRow("j1", "c", "k", "d", "s", 0.0, 0.0, len(LINES), (LOT,))


class MissingLinesTest(unittest.TestCase):
    """Outcomes that were missing were listed as pending."""

    def reader(self, key: str, lines: tuple[bytes, ...]) -> JobReader:
        platform = FakePlatform()
        objects = MemoryObjects(platform)
        objects.put(key, b"\n".join(lines))
        return JobReader(MemoryTable(platform), objects)

    def test_outcomes(self) -> None:
        for start in (0, 1):
            chunk = Chunk("k", start, len(LINES), len(LINES), 0, 0)
            lines = (b"{}",) * start + LINES
            for size in range(start + len(LINES) + 1):
                with self.subTest(start=start, size=size):
                    reader = self.reader("k", lines[:size])
                    read = reader.outcomes((chunk,))
                    if size == len(lines):
                        self.assertEqual(list(LINES), read.ok)
                    else:
                        self.assertIsInstance(read.error, Unavailable)

    def test_inputs(self) -> None:
        key = manifest_key(JOB.job, 0, LOT.digest)
        for size in range(len(LINES)):
            with self.subTest(size):
                read = self.reader(key, LINES[:size]).inputs(JOB, 0)
                self.assertIsInstance(read.error, Unavailable)
        self.assertEqual(
            list(LINES), self.reader(key, LINES).inputs(JOB, 0).ok
        )


if __name__ == "__main__":
    unittest.main()
