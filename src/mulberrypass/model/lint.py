"""Finds entries that never match and limits that contradict each other."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from mulberrypass.model.diff import Action, FieldChange
from mulberrypass.model.fault import Fault
from mulberrypass.model.objects import version_key
from mulberrypass.model.routes import RouteKind
from mulberrypass.model.value_class import value_class

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator, Mapping

    from mulberrypass.model.objects import Configuration, Service
    from mulberrypass.model.routes import RelayRoute, RouteTable

SHOWN_DIGEST_DIGITS = 12
MS_PER_S = 1_000

# Field, what is wrong and what to do.
Finding = tuple[str, str, str]


@value_class
class CustomerKeys:
    """The keys of one customer that can be used.

    :param digests: by ``key_digest``
    """

    customer: str
    digests: tuple[bytes, ...]


@value_class
class EntryChange:
    """One entry that was added, removed or changed."""

    entry: str
    action: Action
    fields: tuple[FieldChange, ...] = ()


def lint_routes(
    table: RouteTable, keys: Iterable[CustomerKeys]
) -> Iterator[Fault]:
    """Yield the warnings about a set of routes.

    :param keys: the keys of all customers in the order of the document,
        because the table has only the first holder of a key
    """
    for route in table.routes:
        label = f'route "{route.name}"'
        match = table.find(route.host, route.prefix)
        if match is not None and match is not route:
            problem = f'route "{match.name}" has this host and prefix too'
            remedy = "remove one of the two; only the first one matches"
            yield Fault("", 0, label, "prefix", problem, remedy)
        yield from _faults(label, _lint_matches(table, route))
        yield from _faults(label, _lint_times(route))
        yield from _faults(label, _lint_work(table, route))
    for name in table.services:
        if not any(route.leads_to(name) for route in table.routes):
            remedy = "add a route, or remove the service"
            label = f'service "{name}"'
            yield Fault("", 0, label, "name", "no route leads to it", remedy)
    if table.customers is not None:
        yield from _lint_keys(keys)
        for customer in table.customers.values():
            if customer.burst and not customer.rate_per_s:
                problem = f"a burst of {customer.burst:g} without a rate"
                remedy = "add a rate, or remove the burst"
                label = f'customer "{customer.name}"'
                yield Fault("", 0, label, "burst", problem, remedy)


def lint_configuration(cfg: Configuration) -> Iterator[Fault]:
    """Yield the warnings about a valid set of objects."""
    for service in cfg.services.values():
        label = f'service "{service.name}"'
        yield from _faults(label, _lint_service_routes(cfg, service))
        yield from _faults(label, _lint_service_limits(cfg, service))
    yield from _lint_unused(cfg)
    for quota in cfg.quotas.values():
        if quota.burst and not quota.requests_per_s:
            problem = f"a burst of {quota.burst} without a rate"
            remedy = 'write 0, or a rate as "requests_per_s"'
            label = f'quota "{quota.name}"'
            yield Fault("", 0, label, "burst", problem, remedy)


def entry_changes(
    before: Mapping[str, Mapping[str, Any]],
    after: Mapping[str, Mapping[str, Any]],
) -> Iterator[EntryChange]:
    """Yield the differences between two sets of entries and their fields."""
    for entry in sorted({*before, *after}):
        if entry not in before:
            yield EntryChange(entry, Action.ADDED)
        elif entry not in after:
            yield EntryChange(entry, Action.REMOVED)
        elif before[entry] != after[entry]:
            old, new = before[entry], after[entry]
            changed = tuple(
                FieldChange(name, old.get(name), new.get(name))
                for name in sorted({*old, *new})
                if old.get(name) != new.get(name)
            )
            yield EntryChange(entry, Action.CHANGED, changed)


def shown_digest(digest: str) -> str:
    """Return as much of a key's hexadecimal digest as is printed."""
    return digest[:SHOWN_DIGEST_DIGITS]


def _faults(label: str, findings: Iterable[Finding]) -> Iterator[Fault]:
    for field, problem, remedy in findings:
        yield Fault("", 0, label, field, problem, remedy)


def _lint_matches(table: RouteTable, route: RelayRoute) -> Iterator[Finding]:
    if route.prefix and not route.prefix.startswith("/"):
        problem = f'no path starts with "{route.prefix}"'
        yield "prefix", problem, f'write "/{route.prefix}"'
    if not route.services:
        remedy = "name a service, or remove the route"
        yield "services", "it leads to no service", remedy
    for share in route.services:
        if share.weight <= 0:
            problem = f'service "{share.service}" has weight {share.weight:g}'
            yield "services", problem, "write a weight above 0, or remove it"
        if share.service not in table.services:
            problem = f'service "{share.service}" is not defined'
            yield "services", problem, "define it, or name another"


def _lint_times(route: RelayRoute) -> Iterator[Finding]:
    """Check the times of a route against each other.

    Callers of a batch route wait for no first byte, so its target isn't used.
    """
    batch = route.kind is RouteKind.BATCH
    timeout, target = _ms(route.timeout_s), _ms(route.target_s)
    if route.timeout_s <= 0:
        problem = f"{timeout} leaves no time for an answer"
        yield "timeout_s", problem, "write a time above 0"
    elif not batch and route.timeout_s < route.target_s:
        problem = f"{timeout} is shorter than the target, {target}"
        yield "timeout_s", problem, f"write at least {target}"
    if route.gap_s > route.timeout_s > 0:
        problem = f"{_ms(route.gap_s)} is longer than the timeout, {timeout}"
        yield "gap_s", problem, f"write at most {timeout}"
    if batch and route.retention_s < route.due_s:
        due = f"{route.due_s:g} s"
        problem = f"{route.retention_s:g} s is shorter than completion, {due}"
        yield "retention_s", problem, f"write at least {due}"


def _lint_work(table: RouteTable, route: RelayRoute) -> Iterator[Finding]:
    if route.max_attempts > 1 and not route.repeatable:
        problem = f"{route.max_attempts} for work that may not be repeated"
        remedy = "write 1, or use a kind that may be repeated"
        yield "max_attempts", problem, remedy
    led_to = [s for s in table.services.values() if route.leads_to(s.name)]
    largest = max((service.kv_tokens for service in led_to), default=0)
    is_batch = route.kind is RouteKind.BATCH
    if is_batch and 0 < route.quota_tokens < largest:
        problem = (
            f"{route.quota_tokens} is below one item, which may take the "
            f"{largest} tokens of an engine"
        )
        yield "quota_tokens", problem, f"write at least {largest}"


def _lint_keys(all_keys: Iterable[CustomerKeys]) -> Iterator[Fault]:
    holders: dict[bytes, str] = {}
    for keys in all_keys:
        label = f'customer "{keys.customer}"'
        if not keys.digests:
            problem = "it has no key, so no request is its own"
            remedy = "give it a key, or remove the customer"
            yield Fault("", 0, label, "keys", problem, remedy)
        for digest in keys.digests:
            holder = holders.setdefault(digest, keys.customer)
            if holder != keys.customer:
                key = shown_digest(digest.hex())
                problem = f'the key {key} belongs to customer "{holder}" too'
                remedy = "give each its own"
                yield Fault("", 0, label, "keys", problem, remedy)


def _lint_service_routes(
    cfg: Configuration, service: Service
) -> Iterator[Finding]:
    groups = {cfg.customers[name].group for name in service.customers}
    for number, route in enumerate(service.routes):
        if route.weight <= 0:
            problem = f'version "{route.version}" gets no request'
            remedy = "write a weight above 0, unless it is only to be loaded"
            yield f"routes.{number}.weight", problem, remedy
        if groups and route.groups and groups.isdisjoint(route.groups):
            problem = "no customer that may call is in its groups"
            remedy = 'change the groups, or "customers" of the service'
            yield f"routes.{number}.groups", problem, remedy


def _lint_service_limits(
    cfg: Configuration, service: Service
) -> Iterator[Finding]:
    longest = service.max_timeout_ms
    if service.result_ttl_s * MS_PER_S < longest:
        problem = (
            f"{service.result_ttl_s} s is shorter than the longest timeout, "
            f"{longest} ms"
        )
        remedy = f"write at least {-(-longest // MS_PER_S)}"
        yield "result_ttl_s", problem, remedy
    pool = cfg.pools[service.pool]
    memory = max(cfg.backends[name].kv_tokens for name in pool.backends)
    if service.model and service.max_output_tokens > memory:
        problem = (
            f"{service.max_output_tokens} is more than any engine of pool "
            f'"{pool.name}" holds, {memory}'
        )
        yield "max_output_tokens", problem, f"write less than {memory}"


def _lint_unused(cfg: Configuration) -> Iterator[Fault]:
    services = cfg.services.values()
    routes = [(s.model or "", r) for s in services for r in s.routes]
    used: dict[str, set[str | None]] = {
        "pool": {s.pool for s in services},
        "model": {s.model for s in services},
        "version": {version_key(m, r.version) for m, r in routes},
        "adapter": {version_key(m, r.adapter) for m, r in routes if r.adapter},
        "backend": {b for p in cfg.pools.values() for b in p.backends},
        "quota": {c.quota for c in cfg.customers.values()},
    }
    for kind, keys in used.items():
        for key, obj in getattr(cfg, f"{kind}s").items():
            if key not in keys:
                label = f'{kind} "{obj.name}"'
                if "/" in key:
                    label += f' of model "{obj.model}"'
                problem = "no other object uses it"
                yield Fault("", 0, label, "", problem, "use it, or remove it")


def _ms(seconds: float) -> str:
    return f"{seconds * MS_PER_S:g} ms"


__all__ = [
    "CustomerKeys",
    "EntryChange",
    "entry_changes",
    "lint_configuration",
    "lint_routes",
    "shown_digest",
]
