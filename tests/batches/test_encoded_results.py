"""Tests of the memory that results take while they are stored and read."""

from __future__ import annotations

import json
import tracemalloc
import unittest
import zlib

from mulberrypass.batches import codec
from mulberrypass.batches.store import BatchStore
from mulberrypass.testing.row_state import RowState
from tests.batches import cases

# Of six bytes each in JSON.
CONTROLS = "\x01" * 4_000_000
TEXTS = ("", "a", 'a"\\\n\x00\x7f', "ö\u2028\ufffd\U0001f600" * 50_000)


class EncodedResultTest(unittest.TestCase):
    """A result of 8 MB took 100 MB while it was stored."""

    def test_output_is_encoded_in_parts(self) -> None:
        outcome = cases.outcome(0, CONTROLS)
        store = BatchStore(RowState(), sleep=lambda _s: None)
        store.accept(cases.job(), cases.route(), "entry@a")
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        store.record_outcomes(None, cases.HOST, "job-1", (outcome,))
        self.assertLess(tracemalloc.get_traced_memory()[1], len(CONTROLS))

    def test_encoded_document_is_as_before(self) -> None:
        for text in TEXTS:
            outcome = cases.outcome(7, text)
            with self.subTest(text=text[:10]):
                rows = codec.result_rows(cases.HOST, "job-1", 3, outcome)
                data = zlib.decompress(b"".join(value for _, value in rows))
                doc = {
                    "index": 7,
                    "id": "item-7",
                    "state": "completed",
                    "output": outcome.output,
                }
                plain = json.dumps(doc, separators=(",", ":")).encode()
                self.assertEqual(plain, data)


if __name__ == "__main__":
    unittest.main()
