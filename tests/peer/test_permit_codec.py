"""Tests of the protobuf conversion of permit messages."""

from __future__ import annotations

import unittest

import mulberrypass.peer.peer_pb2 as pb
from mulberrypass.peer.permit_codec import (
    decode_holder,
    decode_loads,
    decode_owner,
    encode_holder,
    encode_owner,
    encode_owner_batch,
)
from mulberrypass.policy.admission.cells import CellLoad
from mulberrypass.policy.messages import (
    FirstToken,
    Grant,
    HolderMessage,
    LimitReport,
    OwnerMessage,
    PaceReport,
    RefusalReason,
    Refuse,
    Release,
    ReleaseOutcome,
    Revoke,
    Withdraw,
)
from tests.policy.admission.cases import ask, batch

ASK_WITH_ALL_FIELDS = batch(
    "b",
    prefix=(0, 2**64 - 1),
    avoid=("core-0",),
    version="r2",
    granted="core-1",
)
HOLDER_MESSAGES: tuple[HolderMessage, ...] = (
    ask("a"),
    ASK_WITH_ALL_FIELDS,
    Withdraw("a"),
    FirstToken("a", 0.25),
    FirstToken("a", 0.25, 2.5),
    LimitReport("a", "core-0", 2.5),
    PaceReport("core-0", 1.5, 12.25),
    *(Release("a", outcome, 1.5, 12, 0.04) for outcome in ReleaseOutcome),
)
OWNER_MESSAGES: tuple[OwnerMessage, ...] = (
    Grant("a", "core-0"),
    Grant("a", "core-0", 2.5, 1.5),
    Revoke("a"),
    *(Refuse("a", reason, 0.5) for reason in RefusalReason),
)


class PermitCodecTest(unittest.TestCase):
    def test_fields_of_a_later_version_are_unknown(self) -> None:
        """Members of an earlier version don't send paces."""
        first = pb.HolderMessage(first_token=pb.FirstToken(ask_id="a"))
        self.assertEqual(FirstToken("a", 0.0, 0.0), decode_holder(first, "h"))
        grant = pb.OwnerMessage(grant=pb.Grant(ask_id="a", backend="b"))
        self.assertEqual(Grant("a", "b", 0.0, 0.0), decode_owner(grant))

    def test_round_trip(self) -> None:
        for sent in HOLDER_MESSAGES:
            with self.subTest(sent=sent):
                data = encode_holder(sent).SerializeToString()
                read = pb.HolderMessage.FromString(data)
                holder = getattr(sent, "holder", "")
                self.assertEqual(sent, decode_holder(read, holder))
        for message in OWNER_MESSAGES:
            with self.subTest(sent=message):
                data = encode_owner(message).SerializeToString()
                got = decode_owner(pb.OwnerMessage.FromString(data))
                self.assertEqual(message, got)

    def test_loads(self) -> None:
        loads = {"rackmind#0": CellLoad(1, 2, 3), "rackmind#1": CellLoad()}
        self.assertEqual(loads, decode_loads(encode_owner_batch((), loads)))

    def test_unknown_kinds_and_reasons(self) -> None:
        """Messages of a later version decode to ``None`` or a default."""
        self.assertIsNone(decode_holder(pb.HolderMessage(), "entry@a"))
        self.assertIsNone(decode_owner(pb.OwnerMessage()))
        refuse = pb.Refuse(ask_id="a", reason="later", retry_after_s=1.0)
        got = decode_owner(pb.OwnerMessage(refuse=refuse))
        self.assertEqual(Refuse("a", RefusalReason.QUEUE_FULL, 1.0), got)
        release = pb.Release(ask_id="a", outcome="later")
        read = decode_holder(pb.HolderMessage(release=release), "entry@a")
        self.assertEqual(Release("a", ReleaseOutcome.CANCELLED), read)

    def test_token_estimates_are_clamped_to_uint32(self) -> None:
        sent = encode_holder(ask("a", prompt_tokens=2**40, output_tokens=-1))
        self.assertEqual(2**32 - 1, sent.ask.prompt_tokens)
        self.assertEqual(0, sent.ask.output_tokens)
