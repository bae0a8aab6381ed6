"""Settings of the admission to one cell."""

from __future__ import annotations

from dataclasses import dataclass, field

from mulberrypass.policy.admission.early_refusal import EarlyRefusalSettings


@dataclass(frozen=True, slots=True)
class PacingSettings:
    """How batch prefill is paced by what online work observes.

    :param first_token_s: online first tokens are to come within this
    :param gap_s: gaps between online tokens are to stay within this
    :param miss_share: share of first tokens that may miss their target
    :param interval_s: seconds between two changes of the pace
    :param start_tokens_per_s: batch prefill tokens a second on an engine
    :param memory: share of the observations kept over an interval
    :param gap_memory: share of the mean gap kept over an answer
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


@dataclass(frozen=True, slots=True)
class HealthSettings:
    """When an engine counts as slow or failing.

    :param slow_ratio: times its peers' median at which an engine is slow
    :param well_ratio: times its peers' median at which it is well again
    :param out_share: share of its slots below which only probes go to it
    :param first_weight: multiplies what first tokens say against peers; a
        first token waits for much that is not the engine's pace
    :param failures: failures in a row that take an engine out
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


@dataclass(frozen=True, slots=True)
class RoutingSettings:
    """How the load of engines is weighed against one another.

    :param block_tokens: prompt tokens that one prefix hash stands for
    :param max_prefixes: prefix hashes remembered for an engine
    :param occupancy_steps: what a full engine adds to an empty step
    :param full_prefill_steps: what a full prefill adds to an empty step
    :param zone_steps: what another zone counts for, in empty steps
    """

    block_tokens: int = 16
    max_prefixes: int = 8_192
    zone_steps: float = 0.05
    occupancy_steps: float = 0.65
    full_prefill_steps: float = 1.7


@dataclass(frozen=True, slots=True)
class BatchLimits:
    """What batch work may take of the engines.

    :param reserve_slots: slots of an engine that batch work leaves free
    :param prefill_tokens: pending batch prefill of an engine beyond one item
    :param prefill_share: share of the engines on which batch prefill may
        be pending, so that online work finds others
    """

    reserve_slots: int
    prefill_tokens: int
    prefill_share: float


@dataclass(frozen=True, slots=True)
class CellSettings:
    """Settings of one cell.

    :param reserve_slots: slots of an engine that batch work leaves free
    :param reserve_share: bound on the reserve as a share of the slots
    :param batch_prefill_tokens: pending batch prefill beyond one item
    :param batch_prefill_share: share of the engines on which batch prefill
        may be pending, so that online work finds others
    :param over_share_prefill_tokens: pending prefill of an engine beyond
        one request that a customer over its share may bring it to
    :param alone: what batch work may take when there was no online work
        for ``quiet_s`` seconds
    :param burst_s: how long after a quiet time online grants that leave
        less than ``refill_share`` of the reserve free revoke batch work
    :param fixed_share: share of slots for batch that can't be revoked
    :param batch_beside_prefill: whether batch work may be granted while an
        online prompt is being read in
    :param service_margin: multiple of the expected service time that must
        fit before the deadline
    :param wait_margin: multiple of the estimated wait that must fit too
    :param ahead_s: batch work leaves as many slots free as online work
        takes within this at its present rate
    :param patience_s: online work that was not started within this is
        refused; its caller leaves soon; 0 for no such limit
    :param release_grace_s: a permit is reclaimed so long after its deadline
    :param holder_grace_s: permits of a lost holder are kept for this
    :param revoke_grace_s: a revoked permit is reclaimed after this
    :param settle_s: a new cell grants no batch work for this
    """

    reserve_slots: int = 12
    reserve_share: float = 0.25
    batch_prefill_tokens: int = 256
    batch_prefill_share: float = 0.6
    over_share_prefill_tokens: int = 256
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

    @property
    def beside_online(self) -> BatchLimits:
        """What batch work may take beside online work."""
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
