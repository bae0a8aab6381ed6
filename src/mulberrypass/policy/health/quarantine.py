"""How long a part of a prompt that crashes engines is held."""

from __future__ import annotations

from mulberrypass.model.value_class import value_class


@value_class
class Quarantine:
    """A part that gets no engine, and the crashes that count against it.

    :param trial_in_s: until a request may try it; infinite if none may
    """

    part: int
    engines: tuple[str, ...]
    trial_in_s: float = float("inf")


@value_class
class QuarantineSettings:
    """Settings of the quarantine of parts.

    :param crashes: crashes that quarantine a part under which no answer is
        known to have begun
    :param familiar_crashes: crashes that quarantine any part; a site's users
        allow five
    :param coincidence_ms: crashes within this time count once, as a common
        cause, such as a lost rack, ends many engines at once
    :param trials_after_s: times after which one request may try the part,
        the first after the crash that quarantines it, the next after one
        crash more; the first two are within a site's ``RecoveryS`` and
        ``FinishS``, the others come after the five crashes that its users
        allow
    :param no_trial_crashes: crashes after which no request tries it; a
        site's users allow three more requests after the fifth crash
    :param remembered: maximum number of crashes remembered
    :param recent: the newest of them, which are not forgotten, so that a new
        cause can be found beside many known ones
    """

    crashes: int = 3
    familiar_crashes: int = 5
    coincidence_ms: int = 100
    trials_after_s: tuple[float, ...] = (8.0, 16.0, 128.0, 512.0, 2_048.0)
    no_trial_crashes: int = 8
    remembered: int = 256
    recent: int = 64

    def hold_s(self, crashes: int, needed: int, sure: bool) -> float:
        """Return how long a part is held after its last crash.

        :param crashes: those that count against it
        :param needed: those that quarantine it
        :param sure: whether nothing else explains nearly as many
        """
        if crashes >= self.no_trial_crashes:
            return float("inf")
        more = min(crashes - needed, len(self.trials_after_s) - 1)
        if sure:
            return self.trials_after_s[more]
        return self.trials_after_s[0] * 2.0**more


__all__ = ["Quarantine", "QuarantineSettings"]
