"""Conversion of permit messages to and from protobuf."""

from __future__ import annotations

from typing import TYPE_CHECKING

import mulberrypass.peer.peer_pb2 as pb
from mulberrypass.policy.admission.cells import CellLoad
from mulberrypass.policy.messages import (
    Ask,
    FirstToken,
    Grant,
    LimitReport,
    PaceReport,
    RefusalReason,
    Refuse,
    Release,
    ReleaseOutcome,
    Revoke,
    Withdraw,
    WorkClass,
)

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from mulberrypass.policy.messages import HolderMessage, OwnerMessage

MAX_UINT32 = 2**32 - 1


def encode_holder(message: HolderMessage) -> pb.HolderMessage:
    """Encode a holder's message."""
    match message:
        case Ask():
            return pb.HolderMessage(ask=_encode_ask(message))
        case Withdraw(ask_id=ask_id):
            return pb.HolderMessage(withdraw=pb.Withdraw(ask_id=ask_id))
        case FirstToken(ask_id=ask_id, after_s=after_s, slowness=slowness):
            first_token = pb.FirstToken(
                ask_id=ask_id, after_s=after_s, slowness=slowness
            )
            return pb.HolderMessage(first_token=first_token)
        case Release():
            return pb.HolderMessage(release=_encode_release(message))
        case LimitReport(ask_id=ask_id, backend=backend, requests_per_s=per_s):
            limit = pb.LimitReport(
                ask_id=ask_id, backend=backend, requests_per_s=per_s
            )
            return pb.HolderMessage(limit=limit)
        case PaceReport(backend=backend, pace=pace, age_s=age_s):
            report = pb.PaceReport(backend=backend, pace=pace, age_s=age_s)
            return pb.HolderMessage(pace=report)


def decode_holder(
    message: pb.HolderMessage, holder: str
) -> HolderMessage | None:
    """Decode a holder's message; ``None`` for an unknown kind.

    :param holder: name that the holder sent first on its stream
    """
    match message.WhichOneof("kind"):
        case "ask":
            return _decode_ask(message.ask, holder)
        case "withdraw":
            return Withdraw(message.withdraw.ask_id)
        case "first_token":
            first_token = message.first_token
            return FirstToken(
                first_token.ask_id, first_token.after_s, first_token.slowness
            )
        case "release":
            return _decode_release(message.release)
        case "limit":
            limit = message.limit
            return LimitReport(
                limit.ask_id, limit.backend, limit.requests_per_s
            )
        case "pace":
            report = message.pace
            return PaceReport(report.backend, report.pace, report.age_s)
        case _:
            return None


def encode_owner(message: OwnerMessage) -> pb.OwnerMessage:
    """Encode an owner's message."""
    match message:
        case Grant():
            grant = pb.Grant(
                ask_id=message.ask_id,
                backend=message.backend,
                limit_per_s=message.limit_per_s,
                pace=message.pace,
            )
            return pb.OwnerMessage(grant=grant)
        case Refuse(ask_id=ask_id, reason=reason, retry_after_s=after_s):
            refuse = pb.Refuse(
                ask_id=ask_id, reason=reason.value, retry_after_s=after_s
            )
            return pb.OwnerMessage(refuse=refuse)
        case Revoke(ask_id=ask_id):
            return pb.OwnerMessage(revoke=pb.Revoke(ask_id=ask_id))


def decode_owner(message: pb.OwnerMessage) -> OwnerMessage | None:
    """Decode an owner's message; ``None`` for an unknown kind."""
    match message.WhichOneof("kind"):
        case "grant":
            grant = message.grant
            return Grant(
                grant.ask_id, grant.backend, grant.limit_per_s, grant.pace
            )
        case "refuse":
            refuse = message.refuse
            return Refuse(
                refuse.ask_id,
                _decode_reason(refuse.reason),
                refuse.retry_after_s,
            )
        case "revoke":
            return Revoke(message.revoke.ask_id)
        case _:
            return None


def encode_owner_batch(
    messages: Iterable[OwnerMessage], loads: Mapping[str, CellLoad]
) -> pb.OwnerBatch:
    """Encode an owner's messages and the loads of its cells by name."""
    return pb.OwnerBatch(
        messages=[encode_owner(message) for message in messages],
        loads=[_encode_load(name, load) for name, load in loads.items()],
    )


def decode_loads(batch: pb.OwnerBatch) -> dict[str, CellLoad]:
    """Decode the loads of an owner's cells by name."""
    return {
        load.pool: CellLoad(
            load.free_slots, load.queued_online, load.queued_batch
        )
        for load in batch.loads
    }


def _encode_ask(ask: Ask) -> pb.Ask:
    return pb.Ask(
        ask_id=ask.ask_id,
        pool=ask.pool,
        customer=ask.customer,
        batch=ask.work_class is WorkClass.BATCH,
        budget_s=ask.budget_s,
        prompt_tokens=_uint32(ask.prompt_tokens),
        output_tokens=_uint32(ask.output_tokens),
        prefix=ask.prefix,
        avoid=ask.avoid,
        revocable=ask.revocable,
        version=ask.version,
        granted=ask.granted,
        start_within_s=ask.start_within_s,
        subject=ask.subject,
        repeat=ask.repeat,
    )


def _decode_ask(ask: pb.Ask, holder: str) -> Ask:
    return Ask(
        start_within_s=ask.start_within_s,
        subject=ask.subject,
        ask_id=ask.ask_id,
        holder=holder,
        pool=ask.pool,
        customer=ask.customer,
        work_class=WorkClass.BATCH if ask.batch else WorkClass.ONLINE,
        budget_s=ask.budget_s,
        prompt_tokens=ask.prompt_tokens,
        output_tokens=ask.output_tokens,
        prefix=tuple(ask.prefix),
        avoid=tuple(ask.avoid),
        revocable=ask.revocable,
        version=ask.version,
        granted=ask.granted,
        repeat=ask.repeat,
    )


def _encode_release(release: Release) -> pb.Release:
    return pb.Release(
        ask_id=release.ask_id,
        outcome=release.outcome.value,
        service_s=release.service_s,
        tokens=_uint32(release.tokens),
        gap_s=release.gap_s,
    )


def _decode_release(release: pb.Release) -> Release:
    try:
        outcome = ReleaseOutcome(release.outcome)
    except ValueError:
        outcome = ReleaseOutcome.CANCELLED
    return Release(
        release.ask_id,
        outcome,
        release.service_s,
        release.tokens,
        release.gap_s,
    )


def _encode_load(name: str, load: CellLoad) -> pb.PoolLoad:
    return pb.PoolLoad(
        pool=name,
        free_slots=_uint32(load.free_slots),
        queued_online=_uint32(load.queued_online),
        queued_batch=_uint32(load.queued_batch),
    )


def _decode_reason(value: str) -> RefusalReason:
    try:
        return RefusalReason(value)
    except ValueError:
        return RefusalReason.QUEUE_FULL


def _uint32(value: int) -> int:
    return min(MAX_UINT32, max(0, value))


__all__ = [
    "decode_holder",
    "decode_loads",
    "decode_owner",
    "encode_holder",
    "encode_owner",
    "encode_owner_batch",
]
