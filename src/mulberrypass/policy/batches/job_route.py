"""Which route the items of a batch job have.

This answers changes of the configuration while jobs wait, and items whose
paths are below other routes than their job's, or below none. All that a route
decides for an item is asked of the route that is found here.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from mulberrypass.model.routes import RouteKind

if TYPE_CHECKING:
    from mulberrypass.model.batch_jobs import JobHead
    from mulberrypass.model.routes import RelayRoute, RouteTable


def job_route(table: RouteTable, head: JobHead) -> RelayRoute | None:
    """Return the route of a job's items; ``None`` if it isn't there any more.

    It is the one under which the job was handed in, as it is now: the route
    of that name, or the one for batch jobs that has its prefix if it was
    renamed. A route with another name and prefix is another route, even if
    it matches the path of the submission now.
    """
    named = table.with_name(head.host, head.route)
    if named is not None or not head.prefix:
        return named
    renamed = table.with_prefix(head.host, head.prefix)
    if renamed is None or renamed.kind is not RouteKind.BATCH:
        return None
    return renamed


__all__ = ["job_route"]
