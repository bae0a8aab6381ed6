"""Membership and admission settings of ``mulberry-site``."""

from __future__ import annotations

from mulberrypass.peer.membership_state import MembershipSettings
from mulberrypass.policy.admission.settings import (
    BatchLimits,
    CellSettings,
    HealthSettings,
    PacingSettings,
    RoutingSettings,
)
from mulberrypass.policy.membership.messages import ViewSettings

PROGRAM = "entry"
# Every change of a job wakes all members, so reads are limited for the whole
# site; a cancellation must be noticed within 3 s.
HEAD_READS_PER_S = 100.0
MIN_HEADS_SPACING_S = 0.2
MAX_HEADS_SPACING_S = 1.0
MEMBERSHIP = MembershipSettings(
    view=ViewSettings(heartbeat_s=0.5, suspect_s=1.0, programs=(PROGRAM,)),
    timeout_s=0.5,
    list_interval_s=3.0,
)
# A site's engines prefill a prompt in a few ms, and a revoked slot is free at
# once: batch work may fill all slots and is preempted by online work.
CELLS = CellSettings(
    reserve_slots=0,
    reserve_share=0.0,
    batch_prefill_tokens=16_384,
    batch_prefill_share=1.0,
    over_share_prefill_tokens=16_384,
    share_headroom=0.1,
    alone=BatchLimits(0, 16_384, 1.0),
    fixed_share=1.0,
    service_margin=0.0,
    wait_margin=1.0,
    batch_beside_prefill=True,
    pacing=PacingSettings(
        first_token_s=0.3,
        gap_s=0.2,
        start_tokens_per_s=1e6,
        min_tokens_per_s=1e5,
        max_tokens_per_s=1e6,
    ),
    patience_s=1.5,
    ahead_s=0.1,
    health=HealthSettings(max_hold_s=4.0, first_weight=0.3, slow_ratio=2.5),
    routing=RoutingSettings(block_tokens=100),
)


def heads_spacing_s(members: int) -> float:
    """Return the spacing of head reads that keeps to the site's rate."""
    spacing = members / HEAD_READS_PER_S
    return min(MAX_HEADS_SPACING_S, max(MIN_HEADS_SPACING_S, spacing))


__all__ = ["CELLS", "MEMBERSHIP", "PROGRAM", "heads_spacing_s"]
