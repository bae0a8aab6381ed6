"""Tests of request and response headers."""

from __future__ import annotations

import unittest

from mulberrypass.platform import headers
from mulberrypass.relay.api import EngineLoad


class ReadRequestTest(unittest.TestCase):
    def test_all_headers(self) -> None:
        req = headers.read_request(
            "POST",
            "/a/b?c=d%20e",
            {
                "host": "Nony24.Example",
                "x-mulberrypass-request-id": "9c41",
                "x-mulberrypass-token-counts": "1460,80",
                "x-mulberrypass-prompt-prefix": "5c1e07a2:800,91bd3f06:410",
                "x-mulberrypass-deadline-ms": "5000",
                "last-event-id": "4",
                "connection": "keep-alive, x-hop",
                "x-hop": "1",
                "x-own": "v",
            },
            b"body",
        )
        self.assertEqual("nony24.example", req.host)
        self.assertEqual("/a/b", req.path)
        self.assertEqual((1460, 80), (req.prompt_tokens, req.output_tokens))
        self.assertEqual((0x5C1E07A2, 0x91BD3F06), req.prefix)
        self.assertEqual(5.0, req.wait_s)
        self.assertEqual(4, req.after_event)
        names = dict(req.headers)
        self.assertNotIn("connection", names)
        self.assertNotIn("x-hop", names)
        self.assertEqual("v", names["x-own"])

    def test_length_hint_is_limited_to_max_tokens(self) -> None:
        for hint, tokens in (("20", 20), ("500", 80), ("", 80), ("x", 80)):
            with self.subTest(hint):
                req = headers.read_request(
                    "POST",
                    "/a",
                    {
                        "x-mulberrypass-token-counts": "10,80",
                        "x-mulberrypass-length-hint": hint,
                    },
                    b"",
                )
                self.assertEqual(tokens, req.output_tokens)

    def test_malformed_values_are_ignored(self) -> None:
        req = headers.read_request(
            "GET",
            "/",
            {
                "x-mulberrypass-token-counts": "many",
                "x-mulberrypass-prompt-prefix": "zz:1,5c:2",
                "x-mulberrypass-deadline-ms": "-5",
                "last-event-id": "x",
            },
            b"",
        )
        self.assertEqual((0, 0), (req.prompt_tokens, req.output_tokens))
        self.assertEqual((), req.prefix)
        self.assertIsNone(req.wait_s)
        self.assertIsNone(req.after_event)

    def test_odd_numbers_are_ignored(self) -> None:
        """Some of these once raised, so that callers got 500."""
        for text in (
            "inf",
            "-inf",
            "nan",
            "1e400",
            "1" + "0" * 400,
            "1" + "0" * 5_000,
            "8\N{SUPERSCRIPT TWO}",
            "\N{SUPERSCRIPT TWO}",
            "-1",
        ):
            with self.subTest(text[:20]):
                req = headers.read_request(
                    "GET",
                    "/",
                    {
                        "x-mulberrypass-token-counts": f"{text},{text}",
                        "x-mulberrypass-length-hint": text,
                        "x-mulberrypass-prompt-prefix": f"x{text}:{text}",
                        "x-mulberrypass-deadline-ms": text,
                        "last-event-id": text,
                    },
                    b"",
                )
                self.assertEqual(
                    (0, 0), (req.prompt_tokens, req.output_tokens)
                )
                self.assertIsNone(req.wait_s)
                self.assertIsNone(req.after_event)
                self.assertEqual((), req.prefix)


class EngineHeadersTest(unittest.TestCase):
    def test_replaced_headers(self) -> None:
        req = headers.read_request(
            "POST",
            "/a",
            {
                "host": "h.example",
                "x-mulberrypass-request-id": "9c41",
                "x-mulberrypass-deadline-ms": "5000",
                "x-mulberrypass-expect-instance": "i-forged",
                "x-mulberrypass-model": "m",
                "content-length": "4",
            },
            b"body",
        )
        sent = headers.engine_headers(req, "i-1", 1.25)
        self.assertEqual("1250", sent["X-Mulberrypass-Deadline-Ms"])
        self.assertEqual("i-1", sent["X-Mulberrypass-Expect-Instance"])
        self.assertEqual("9c41", sent["x-mulberrypass-request-id"])
        self.assertEqual("m", sent["x-mulberrypass-model"])
        self.assertEqual("h.example", sent["Host"])
        self.assertNotIn("content-length", sent)
        self.assertNotIn("Last-Event-Id", sent)


class ParseLoadTest(unittest.TestCase):
    def test_parse_load(self) -> None:
        cases = {
            "3,0,8": EngineLoad(3, 0, 8, 0.0),
            "3,1,8,250": EngineLoad(3, 1, 8, 2.5),
            "3, 1, 8, 99.5": EngineLoad(3, 1, 8, 0.995),
            "3,0": None,
            "inf,0,8": None,
            "1e400,0,8": None,
            "1" + "0" * 400 + ",0,8": None,
            "nan,0,8": None,
            "3.5,0,8": None,
            "-1,0,8": None,
            "\N{SUPERSCRIPT TWO},0,8": None,
            "3,0,8,nan": None,
            "3,0,8,inf": None,
            "3,0,8,1e400": None,
            "3,0,8," + "9" * 400: None,
            "3,0,8,-1": None,
            "3,0,8,1": EngineLoad(3, 0, 8, 0.01),
            "3,0,8,10000": EngineLoad(3, 0, 8, 100.0),
            "3,0,8,0": None,
            "3,0,8,0.9": None,
            "3,0,8,10000.1": None,
            "x,y,z": None,
            "3,1e400,8": None,
            "": None,
            None: None,
        }
        for text, load in cases.items():
            with self.subTest(text):
                self.assertEqual(load, headers.parse_load(text))


class LimitTest(unittest.TestCase):
    def test_named(self) -> None:
        cases = {"2.8": 2.8, " 4 ": 4.0, ".5": 0.5, "3.": 3.0, None: 0.0}
        for text, expected in cases.items():
            with self.subTest(text):
                self.assertEqual(expected, headers.parse_limit(text))
        for text in ("0", "0.0"):
            self.assertGreater(headers.parse_limit(text), 0.0)

    def test_nonsense(self) -> None:
        for text in (
            "",
            "-1",
            "nan",
            "inf",
            "1e99",
            "1e3",
            "2,5",
            "x",
            "9" * 9,
        ):
            with self.subTest(text), self.assertRaises(ValueError):
                headers.parse_limit(text)


class AnswerMarksTest(unittest.TestCase):
    """A copy of an answer is known by its id and its stamp."""

    own_id = ("x-mulberrypass-request-id", "9c41")
    stamp = ("X-Mulberrypass-Response-Stamp", "3e1b.07")

    def test_id_and_stamp(self) -> None:
        head = (self.own_id, ("Date", "now"), self.stamp)
        marks = headers.answer_marks(head)
        self.assertEqual((self.own_id, self.stamp), marks)

    def test_head_without_one_of_each_has_none(self) -> None:
        own_id, stamp = self.own_id, self.stamp
        empty = (stamp[0], " ")
        for head in (
            (),
            (own_id,),
            (stamp,),
            (own_id, own_id),
            (own_id, stamp, stamp),
            (own_id, empty),
        ):
            with self.subTest(head):
                self.assertEqual((), headers.answer_marks(head))
