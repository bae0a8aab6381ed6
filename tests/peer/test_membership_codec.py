"""Tests of the conversion of membership messages."""

from __future__ import annotations

import unittest

from mulberrypass.model.member import Member
from mulberrypass.peer import membership_codec as codec
from mulberrypass.peer import peer_pb2 as pb
from mulberrypass.policy.health.crashes import Crash
from mulberrypass.policy.membership.messages import Message

CRASH = Crash(
    "i-1@7",
    "rackmind",
    5,
    frozenset((1, 2**64 - 1)),
    frozenset((1,)),
    frozenset((2,)),
    frozenset((3, 2**64 - 2)),
    frozenset((3,)),
)


class CrashTest(unittest.TestCase):
    def test_crash_is_read_as_it_was_written(self) -> None:
        sender = Member("entry@a", "mulberry-site", "a", "127.0.0.1:1", 1)
        message = Message(sender, (), (), (CRASH,))
        data = codec.encode_request(message).SerializeToString()
        received = pb.HeartbeatRequest.FromString(data)
        self.assertEqual((CRASH,), codec.decode_message(received).crashes)


if __name__ == "__main__":
    unittest.main()
