"""Tells a second answer to a request from the body that it follows.

Some engines write an answer once more behind it. Without a length or chunks
the copy, head and all, looks like more of the body.
"""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

from mulberrypass.model.value_class import value_class

if TYPE_CHECKING:
    from mulberrypass.relay.api import Headers

HEAD_START = b"HTTP/1."
# The part of a status line that may have arrived without the rest.
STATUS_START = re.compile(
    rb"HTTP/1\.(?:[01](?: (?:[0-9]{0,3}|[0-9]{3} [^\r\n]*)\r?)?)?"
)
STATUS_LINE = re.compile(rb"HTTP/1\.[01] [0-9]{3}(?: [^\r\n]*)?\r?")
HEAD = re.compile(rb"[^\n]*\n(?:[^\r\n]+\r?\n)+\r?\n")
# A longer head isn't read from an engine either.
MAX_HEAD_BYTES = 65_536
HEAD_BEGIN = re.compile(rb"HTTP/1\.[01] [0-9]{3}")
# Bounds the work on a body that is full of status lines.
MAX_HEADS = 16


@value_class
class SecondAnswer:
    """What the head of a second answer to a request bears.

    :param marks: headers that no other answer shares, by name; each must
        stand in the head once, with this value
    """

    marks: Headers

    @property
    def values(self) -> tuple[bytes, ...]:
        """The values of the marks, as they stand in a head."""
        return tuple(
            value.strip().encode("latin-1") for _, value in self.marks
        )

    def is_head(self, data: bytes) -> bool:
        """Return whether bytes are the complete head of a second answer."""
        if not data.startswith(HEAD_START) or not HEAD.fullmatch(data):
            return False
        first, *lines = data.split(b"\n")
        return STATUS_LINE.fullmatch(first) is not None and self._all_in(lines)

    def is_within(self, data: bytes) -> bool:
        """Return whether bytes hold such a head, not at their beginning."""
        return HEAD_START in data[1:] and self._all_in(data.split(b"\n"))

    def may_begin(self, data: bytes) -> bool:
        """Return whether bytes may be the beginning of such a head."""
        begun = data[: len(HEAD_START)]
        if not self.marks or not HEAD_START.startswith(begun):
            return False
        if begun == data:
            return True
        first, *lines = data.split(b"\n")
        if not lines:
            return STATUS_START.fullmatch(first) is not None
        complete = lines[:-1]
        return (
            STATUS_LINE.fullmatch(first) is not None
            and all(b":" in line for line in complete)
            and self._found(complete) is not None
        )

    def is_cut_head(self, data: bytes) -> bool:
        """Return whether bytes begin such a head and bear all marks."""
        lines = data.split(b"\n")[:-1]
        return self.may_begin(data) and self._all_in(lines)

    def _all_in(self, lines: list[bytes]) -> bool:
        found = self._found(lines)
        return bool(found and len(found) == len(self.marks))

    def _found(self, lines: list[bytes]) -> frozenset[str] | None:
        """Return the names of the marks that lines bear.

        ``None`` if one stands there twice or with another value.
        """
        wanted = {name.lower(): value.strip() for name, value in self.marks}
        found: set[str] = set()
        for line in lines:
            key, _, text = line.decode("latin-1").partition(":")
            name = key.lower()
            if name not in wanted:
                continue
            if name in found or text.strip() != wanted[name]:
                return None
            found.add(name)
        return frozenset(found)


class BrokenBodyError(Exception):
    """A second answer in a body shows that the first one wasn't whole."""


def without_second_answer(body: bytes, second: SecondAnswer) -> bytes:
    """Return a body without the answers that were written behind it.

    Each must be the first one again; the last may be cut short, even in its
    head if that bears all marks.

    :raises BrokenBodyError: if one differs from the first
    """
    values = second.values
    if not values or not all(value in body for value in values):
        return body
    start = 0
    for _ in range(MAX_HEADS):
        found = HEAD_BEGIN.search(body, start)
        if found is None:
            return body
        start = found.start()
        if second.is_head(_head_at(body, start)):
            _check_copies(body, start, second)
            return body[:start]
        rest = body[start : start + MAX_HEAD_BYTES + 1]
        if len(rest) <= MAX_HEAD_BYTES and second.is_cut_head(rest):
            return body[:start]
        start += 1
    return body


def _head_at(body: bytes, start: int) -> bytes:
    """Return the complete head that begins at a position, if any."""
    found = HEAD.match(body, start, start + MAX_HEAD_BYTES)
    return found.group() if found is not None else b""


def _check_copies(body: bytes, size: int, second: SecondAnswer) -> None:
    """Check that only copies follow the first bytes of a body."""
    at = size
    while head := _head_at(body, at):
        if not second.is_head(head):
            break
        at += len(head)
        copied = body[at : at + size]
        if not body.startswith(copied):
            raise BrokenBodyError("a second answer differs from the first")
        at += len(copied)
    rest = body[at:]
    if rest and not second.may_begin(rest):
        raise BrokenBodyError("a second answer is longer than the first")


__all__ = [
    "HEAD_START",
    "BrokenBodyError",
    "SecondAnswer",
    "without_second_answer",
]
