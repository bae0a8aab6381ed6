"""Tests of the choice among the services of a route."""

from __future__ import annotations

from collections import Counter
import unittest

from mulberrypass.model.routes import ServiceShare
from mulberrypass.policy.online.services import (
    choose_service,
    rank_services,
)

KEYS = [f"request-{number}" for number in range(20_000)]
# Six standard deviations of a share of that many keys.
SLACK = 0.02
SHARES = (
    ServiceShare("a", 50),
    ServiceShare("b", 30),
    ServiceShare("c", 20),
)


def choices(without: str = "") -> dict[str, str]:
    """Return the service of each key while one takes no work."""
    return {
        key: choose_service(
            rank_services(SHARES, key), lambda name: name != without
        )
        for key in KEYS
    }


class LostServiceTest(unittest.TestCase):
    """Work of a service that took none waited beside others that did."""

    def assert_shares(self, chosen: dict[str, str], **wanted: float) -> None:
        counts = Counter(chosen.values())
        self.assertEqual(set(wanted), set(counts))
        for name, share in wanted.items():
            self.assertAlmostEqual(
                share, counts[name] / len(KEYS), delta=SLACK
            )

    def test_weights_are_shares_of_the_keys(self) -> None:
        self.assert_shares(choices(), a=0.5, b=0.3, c=0.2)

    def test_others_share_by_weight_what_a_lost_one_would_get(self) -> None:
        self.assert_shares(choices(without="a"), b=0.6, c=0.4)

    def test_only_work_of_the_lost_one_moves(self) -> None:
        """It comes back alone, too."""
        before, after = choices(), choices(without="a")
        moved = {key for key in KEYS if before[key] != after[key]}
        self.assertEqual({k for k in KEYS if before[k] == "a"}, moved)

    def test_first_choice_stays_if_none_takes_work(self) -> None:
        for key in KEYS[:100]:
            ranked = rank_services(SHARES, key)
            self.assertEqual(
                ranked[0], choose_service(ranked, lambda _name: False)
            )

    def test_shares_of_one_service_are_added(self) -> None:
        twice = (ServiceShare("a", 60), ServiceShare("a", 40))
        self.assertEqual(["a"], rank_services(twice, "key"))

    def test_weight_of_nothing_gets_nothing(self) -> None:
        shares = (ServiceShare("a", 0), ServiceShare("b", 1))
        self.assertEqual(["b"], rank_services(shares, "key"))
        self.assertEqual(["a"], rank_services(shares[:1], "key"))


if __name__ == "__main__":
    unittest.main()
