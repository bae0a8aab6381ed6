"""Membership messages in protobuf."""

from __future__ import annotations

from typing import TYPE_CHECKING, cast

from mulberrypass.model.member import Member, MemberState
from mulberrypass.peer import peer_pb2 as pb
from mulberrypass.policy.membership.backends import BackendUpdate
from mulberrypass.policy.membership.messages import Message

if TYPE_CHECKING:
    from collections.abc import Iterable

# Looked up for each member of each message; the class takes ten times longer.
STATES = {int(state): state for state in MemberState}


def request_of(message: Message, probe: str = "") -> pb.HeartbeatRequest:
    """Give the request that carries a message.

    :param probe: member that the receiver is asked to probe
    """
    return pb.HeartbeatRequest(
        sender=_member_to_pb(message.sender),
        members=map(_member_to_pb, message.members),
        backends=map(_mark_to_pb, message.backends),
        probe=probe,
    )


def reply_of(message: Message) -> pb.HeartbeatReply:
    """Give the reply that carries a message, with no word of a probe."""
    return pb.HeartbeatReply(
        sender=_member_to_pb(message.sender),
        members=map(_member_to_pb, message.members),
        backends=map(_mark_to_pb, message.backends),
    )


def message_of(received: pb.HeartbeatRequest | pb.HeartbeatReply) -> Message:
    """Give the message that a request or reply carries."""
    return Message(
        _member_from_pb(received.sender),
        tuple(map(_member_from_pb, received.members)),
        _marks_from_pb(received.backends),
    )


def _member_to_pb(member: Member) -> pb.MemberNews:
    return pb.MemberNews(
        member=member.name,
        program=member.program,
        zone=member.zone,
        address=member.address,
        incarnation=member.incarnation,
        state=cast("pb.MemberState.ValueType", int(member.state)),
        generation=member.generation,
    )


def _member_from_pb(news: pb.MemberNews) -> Member:
    return Member(
        news.member,
        news.program,
        news.zone,
        news.address,
        news.incarnation,
        STATES[news.state],
        news.generation,
    )


def _mark_to_pb(mark: BackendUpdate) -> pb.BackendNews:
    return pb.BackendNews(
        backend=mark.backend, leaving=mark.leaving, sequence=mark.sequence
    )


def _marks_from_pb(
    marks: Iterable[pb.BackendNews],
) -> tuple[BackendUpdate, ...]:
    return tuple(
        BackendUpdate(m.backend, m.leaving, m.sequence) for m in marks
    )


__all__ = ["message_of", "reply_of", "request_of"]
