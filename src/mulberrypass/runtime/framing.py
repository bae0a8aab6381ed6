"""Checks what the head of an HTTP answer says about the end of its body."""

from __future__ import annotations

from email.errors import MissingHeaderBodySeparatorDefect
import http.client
import re
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from email.message import Message

LENGTH = re.compile(r"[0-9]+")


def check_framing(head: Message) -> None:
    """Check that a head tells where the body ends, or names no end at all.

    What can't be read counts as no length otherwise, and so as a body that
    the connection ends.

    :raises HTTPException: if it can't be read
    """
    # The lines after one that is no header are left out of the head.
    for defect in head.defects:
        if isinstance(defect, MissingHeaderBodySeparatorDefect):
            raise http.client.HTTPException("a line that is no header")
    codings = head.get_all("Transfer-Encoding", [])
    if codings:
        if [coding.lower() for coding in codings] != ["chunked"]:
            raise http.client.HTTPException("an unknown transfer coding")
        return
    lengths = {text.strip() for text in head.get_all("Content-Length", [])}
    if len(lengths) > 1 or not all(map(LENGTH.fullmatch, lengths)):
        raise http.client.HTTPException("an unreadable length")


__all__ = ["check_framing"]
