"""Tests of answers of the store that must not be accepted."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING
import unittest

from mulberrypass.platform.http_client import Endpoint, HttpClient
from tests.engine.played import (
    UPLOADS,
    Play,
    PlayedServer,
    bad_statuses,
    cut_ends,
    early_ends,
    short_lengths,
)

if TYPE_CHECKING:
    from expression import Result

    from mulberrypass.model.store import Unavailable
    from mulberrypass.platform.http_client import HttpReply

OK = b"HTTP/1.1 200 OK\r\n"
DOCUMENT = b'{"Version": 7, "Rows": []}'
TIMEOUT_S = 4.0


class UnacceptableReplyTest(unittest.TestCase):
    """The store's client took such an answer for that of a write."""

    def put(self, play: Play, size: int) -> Result[HttpReply, Unavailable]:
        server = PlayedServer(self, play)
        host, _, port = server.address.partition(":")
        endpoint = Endpoint(host, int(port), read_timeout_s=TIMEOUT_S)
        client = HttpClient(endpoint)
        self.addCleanup(client.close)
        return client.call("PUT", "/", b"x" * size)

    def assert_unavailable(self, play: Play, size: int) -> None:
        result = self.put(play, size)
        self.assertTrue(result.is_error(), result)
        self.assertTrue(result.error.maybe_applied)

    def test_reply_that_ends_before_its_request(self) -> None:
        for size in UPLOADS:
            for name, play in early_ends(OK + b"\r\n", DOCUMENT):
                with self.subTest(name, size=size):
                    self.assert_unavailable(play, size)

    def test_reply_that_is_cut_or_has_another_status(self) -> None:
        for name, play in itertools.chain(
            cut_ends(OK, DOCUMENT),
            short_lengths(OK, DOCUMENT),
            bad_statuses(b"", DOCUMENT),
        ):
            with self.subTest(name):
                self.assert_unavailable(play, 4)

    def test_sound_reply(self) -> None:
        length = b"Content-Length: %d\r\n\r\n" % len(DOCUMENT)
        for head in (OK + b"\r\n", OK + length):
            with self.subTest(head):
                reply = self.put(Play(head + DOCUMENT), UPLOADS[-1])
                self.assertEqual(DOCUMENT, reply.ok.body)


if __name__ == "__main__":
    unittest.main()
