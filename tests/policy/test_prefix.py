"""Tests of prompt prefix hashes."""

from __future__ import annotations

import unittest

from mulberrypass.policy.prefix import (
    BLOCK_WORDS,
    MAX_BLOCKS,
    prefix_hashes,
)


def _prompt(words: int, last: str = "") -> str:
    return " ".join(f"w{index}" for index in range(words)) + last


class PrefixTest(unittest.TestCase):
    def test_number_of_blocks(self) -> None:
        cases = (
            (0, 0),
            (BLOCK_WORDS - 1, 0),
            (BLOCK_WORDS, 1),
            (5 * BLOCK_WORDS + 3, 5),
            (99 * BLOCK_WORDS, MAX_BLOCKS),
        )
        for words, blocks in cases:
            with self.subTest(words=words):
                self.assertEqual(blocks, len(prefix_hashes(_prompt(words))))

    def test_equal_prefixes_have_equal_hashes(self) -> None:
        one = prefix_hashes(_prompt(64, " and more"))
        other = prefix_hashes(_prompt(48) + " x" * 16)
        self.assertEqual(one[:3], other[:3])
        self.assertNotEqual(one[3], other[3])

    def test_later_blocks_depend_on_earlier_ones(self) -> None:
        one = prefix_hashes("a " * 16 + "c " * 16)
        other = prefix_hashes("b " * 16 + "c " * 16)
        self.assertNotEqual(one[1], other[1])

    def test_hashes_fit_64_bits_and_ignore_whitespace(self) -> None:
        hashes = prefix_hashes(_prompt(512))
        self.assertTrue(all(0 <= value < 2**64 for value in hashes))
        self.assertEqual(
            hashes, prefix_hashes(_prompt(512).replace(" ", "\n "))
        )
