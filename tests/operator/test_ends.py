"""Tests of answers to the operator's programs that end early."""

from __future__ import annotations

import io
from typing import TYPE_CHECKING
import unittest

from mulberrypass.model.member import Member
from mulberrypass.model.objects import Configuration
from mulberrypass.model.source import ConfigurationSource
from mulberrypass.operator.client import ControlClient, NoAnswer
from mulberrypass.operator.explain import ExplainProxy
from mulberrypass.runtime.http import Answer, Problem, Request
from tests.engine.endless import AnsweringServer
from tests.engine.played import BAD_STATUSES
from tests.operator.static_membership import StaticMembership

if TYPE_CHECKING:
    from collections.abc import Callable

HEAD = b"HTTP/1.1 200 OK\r\n"
REFUSED = b"HTTP/1.1 409 Conflict\r\n"
DOCUMENT = b'{"generation": 7}'
LENGTH = b"Content-Length: 17\r\n\r\n"
# Documents that a part or a mix of answers may be.
NO_OBJECTS = (b"", b"[]", b"7", b'"x"', b"null", DOCUMENT * 2)


class FixedConfiguration(ConfigurationSource):
    """A configuration without services."""

    def current(self) -> Configuration:
        """Return it."""
        return Configuration(1)

    def subscribe(self, changed: Callable[[Configuration], None]) -> None:
        """Do nothing, as it never changes."""


class EndsTest(unittest.TestCase):
    """A document that is no object ended the command with a traceback."""

    def answers(self) -> list[tuple[bytes, bool]]:
        """Return answers, and whether each of them is whole."""
        heads = (HEAD, REFUSED)
        return [
            *((head + LENGTH + DOCUMENT, True) for head in heads),
            *((head + b"\r\n" + DOCUMENT, True) for head in heads),
            *((head + LENGTH + DOCUMENT[:9], False) for head in heads),
            *(
                (head + b"\r\n" + body, False)
                for head in heads
                for body in NO_OBJECTS
            ),
            (HEAD + b"Transfer-Encoding: chunked\r\n\r\n7\r\n{", False),
            *(
                (b"HTTP/1.1 %s\r\n" % status + LENGTH + DOCUMENT, False)
                for status in BAD_STATUSES
            ),
            (HEAD + LENGTH + DOCUMENT + b" {}", False),
        ]

    def test_command(self) -> None:
        for answer, is_whole in self.answers():
            with self.subTest(answer):
                server = AnsweringServer(self, answer, close=True)
                client = ControlClient((f"http://{server.address}",), "k")
                got = client.get("/v1/generation")
                no_answer = got.is_error() and isinstance(got.error, NoAnswer)
                self.assertEqual(is_whole, not no_answer)

    def test_explanation(self) -> None:
        for answer, is_whole in self.answers():
            with self.subTest(answer):
                server = AnsweringServer(self, answer, close=True)
                host, _, port = server.address.rpartition(":")
                member = Member("e1", "entry", "z", host, 1)
                proxy = ExplainProxy(
                    StaticMembership((member,)),
                    FixedConfiguration(),
                    int(port),
                )
                reply = proxy.explain(explain_request())
                explained = is_whole and answer.startswith(HEAD)
                kind = Answer if explained else Problem
                self.assertIsInstance(reply, kind)


def explain_request() -> Request:
    """Return an operator's request to explain."""
    return Request("GET", "/", {}, {}, {}, io.BytesIO(), 0, lambda: False)


if __name__ == "__main__":
    unittest.main()
