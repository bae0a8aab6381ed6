"""What the rest of a batch item needs of an engine."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from mulberrypass.policy.batches.job_route import job_route
from mulberrypass.policy.batches.order import order_item
from mulberrypass.policy.messages import WorkClass
from mulberrypass.relay.permits import WorkSpec

if TYPE_CHECKING:
    from mulberrypass.batches.progress import Progress
    from mulberrypass.model.batch_jobs import BatchItem, JobHead
    from mulberrypass.model.routes import RelayRoute
    from mulberrypass.policy.batches.order import ItemPace
    from mulberrypass.relay.api import RelayRequest
    from mulberrypass.relay.directory import Directory


class ItemWork:
    """Estimates the rest of one item, given its output so far.

    :param pace: run time per token
    """

    def __init__(
        self,
        directory: Directory,
        head: JobHead,
        item: BatchItem,
        progress: Progress,
        pace: ItemPace,
    ) -> None:
        self._directory = directory
        self._head = head
        self._item = item
        self._progress = progress
        self._pace = pace

    def find_route(self) -> RelayRoute | None:
        """Return the route that is in force for the item."""
        return job_route(self._directory.routes(), self._head)

    def due_in_s(self) -> float:
        """Return the seconds until the item is due."""
        return self._head.first_s + self._head.due_s - time.time()

    def remaining_s(self, req: RelayRequest, service: str) -> float:
        """Estimate the seconds that the item still has to run."""
        return self._remaining_tokens(req, service) * self._pace.token_s

    def spec(self, req: RelayRequest, service: str) -> WorkSpec:
        """Return what the rest needs of an engine.

        :param req: the request of the whole item
        :param service: the service that is to run it
        """
        order = order_item(self.due_in_s(), self.remaining_s(req, service))
        now = time.monotonic()
        generated = self._generated_tokens(service)
        return WorkSpec(
            find=self.find_route,
            routing_key=self._item.item_id,
            customer=self._head.customer or self._head.host,
            work_class=WorkClass.BATCH,
            deadline=now + order.budget_s,
            start_by=(
                None
                if order.start_within_s is None
                else now + order.start_within_s
            ),
            prompt_tokens=req.prompt_tokens + generated,
            output_tokens=self._remaining_tokens(req, service),
            prefix=req.prefix,
            revocable=True,
            service=service,
        )

    def _remaining_tokens(self, req: RelayRequest, service: str) -> int:
        """Estimate the number of tokens still to be generated."""
        left = req.output_tokens - self._generated_tokens(service)
        return max(self._event_tokens(service), left)

    def _generated_tokens(self, service: str) -> int:
        return len(self._progress.event_texts) * self._event_tokens(service)

    def _event_tokens(self, service: str) -> int:
        known = self._directory.routes().services.get(service)
        return known.event_tokens if known is not None else 1


__all__ = ["ItemWork"]
