"""Settings of admission control in one cell."""

from __future__ import annotations

from dataclasses import field

from mulberrypass.model.value_class import value_class
from mulberrypass.policy.admission.early_refusal import EarlyRefusalSettings
from mulberrypass.policy.messages import WorkClass


@value_class
class PacingSettings:
    """Pacing of batch prefill by the latency of online work.

    :param first_token_s: target of the time to first token of online work
    :param gap_s: target of the gaps between online tokens
    :param miss_share: share of first tokens that may miss their target
    :param interval_s: seconds between two adjustments of the rate
    :param start_tokens_per_s: initial batch prefill rate of an engine
    :param memory: decay factor of the first token counts per interval
    :param gap_memory: decay factor of the mean gap per answer
    """

    first_token_s: float = 0.75
    gap_s: float = 0.047
    miss_share: float = 0.05
    interval_s: float = 0.25
    start_tokens_per_s: float = 20_000.0
    min_tokens_per_s: float = 250.0
    max_tokens_per_s: float = 40_000.0
    increase_tokens_per_s: float = 1_000.0
    decrease_factor: float = 0.85
    memory: float = 0.8
    gap_memory: float = 0.95


@value_class
class HealthSettings:
    """Detection of slow and failing engines.

    :param slow_ratio: multiple of its peers' median above which an engine
        is slow
    :param well_ratio: multiple below which it has recovered
    :param out_share: lowest share of its slots; at this share the engine
        gets only probes
    :param first_weight: weight of the ratio of first token times, which
        depend on much besides the engine's speed
    :param failures: consecutive failures after which an engine gets no work
        for a time, which doubles from ``first_hold_s`` up to ``max_hold_s``
    """

    slow_ratio: float = 2.0
    well_ratio: float = 1.4
    interval_s: float = 0.1
    decrease_factor: float = 0.4
    increase_step: float = 0.2
    first_weight: float = 1.0
    out_share: float = 0.05
    probe_interval_s: float = 0.5
    max_probe_interval_s: float = 4.0
    samples: int = 9
    sample_age_s: float = 3.0
    failures: int = 3
    first_hold_s: float = 0.5
    max_hold_s: float = 30.0


@value_class
class RoutingSettings:
    """Cost model for choosing an engine, in steps of an empty engine.

    :param block_tokens: prompt tokens per prefix hash
    :param max_prefixes: maximum prefix hashes kept per engine
    :param occupancy_steps: added to a step when all slots are in use
    :param full_prefill_steps: added to a step by a full prefill chunk
    :param zone_steps: cost of using another zone
    """

    block_tokens: int = 16
    max_prefixes: int = 8_192
    zone_steps: float = 0.05
    occupancy_steps: float = 0.65
    full_prefill_steps: float = 1.7


@value_class
class BatchLimits:
    """Limits on the engine capacity that batch work may use.

    :param reserve_slots: slots of an engine that batch work leaves free
    :param prefill_tokens: maximum pending batch prefill of an engine; one
        item is always allowed
    :param prefill_share: share of the engines on which batch prefill may
        be pending, so that the others are free for online work
    """

    reserve_slots: int
    prefill_tokens: int
    prefill_share: float


@value_class
class CellSettings:
    """Settings of one cell.

    :param reserve_slots: slots of an engine that batch work leaves free
    :param reserve_share: maximum reserve as a share of the slots
    :param batch_prefill_tokens: maximum pending batch prefill of an engine;
        one item is always allowed
    :param batch_prefill_share: share of the engines on which batch prefill
        may be pending, so that the others are free for online work
    :param over_share_prefill_tokens: maximum pending prefill of an engine
        to which a customer over its fair share may add; one request is
        always allowed
    :param share_headroom: share of the slots that customers over their share
        leave free for the online work of others; 0 for no shares
    :param alone: limits of batch work after ``quiet_s`` seconds without
        online work
    :param burst_s: time after a quiet period in which online grants that
        leave less than ``refill_share`` of the reserve free revoke batch
        work
    :param fixed_share: share of slots for batch work that can't be revoked
    :param batch_beside_prefill: whether batch work may be granted to an
        engine during an online prefill
    :param service_margin: multiple of the expected service time that must
        fit before the deadline
    :param wait_margin: multiple of the estimated wait that must fit too
    :param ahead_s: batch work leaves as many slots free as online work
        takes within this time at its current rate
    :param patience_s: online work that has not started within this time is
        refused, as its caller is about to give up; 0 for no limit
    :param release_grace_s: time from a permit's deadline to its reclaim
    :param holder_grace_s: time for which a lost holder's permits are kept
    :param revoke_grace_s: time from a permit's revocation to its reclaim
    :param settle_s: time for which a new cell grants no batch work
    """

    reserve_slots: int = 12
    reserve_share: float = 0.25
    batch_prefill_tokens: int = 256
    batch_prefill_share: float = 0.6
    over_share_prefill_tokens: int = 256
    share_headroom: float = 0.0
    alone: BatchLimits = BatchLimits(4, 1_024, 1.0)
    quiet_s: float = 2.0
    burst_s: float = 1.0
    refill_share: float = 0.5
    fixed_share: float = 0.25
    max_queued_online: int = 1_024
    max_queued_batch: int = 4_096
    service_margin: float = 1.25
    wait_margin: float = 1.5
    patience_s: float = 0.0
    ahead_s: float = 0.0
    release_grace_s: float = 2.0
    holder_grace_s: float = 2.0
    revoke_grace_s: float = 2.0
    settle_s: float = 0.5
    batch_beside_prefill: bool = False
    max_retry_after_s: float = 5.0
    pacing: PacingSettings = field(default_factory=PacingSettings)
    health: HealthSettings = field(default_factory=HealthSettings)
    routing: RoutingSettings = field(default_factory=RoutingSettings)
    early: EarlyRefusalSettings = field(default_factory=EarlyRefusalSettings)

    def max_queued(self, work_class: WorkClass) -> int:
        """Return the maximum of queued asks of a class."""
        if work_class is WorkClass.ONLINE:
            return self.max_queued_online
        return self.max_queued_batch

    @property
    def beside_online(self) -> BatchLimits:
        """Limits of batch work while there is online work."""
        return BatchLimits(
            self.reserve_slots,
            self.batch_prefill_tokens,
            self.batch_prefill_share,
        )


__all__ = [
    "BatchLimits",
    "CellSettings",
    "HealthSettings",
    "PacingSettings",
    "RoutingSettings",
]
