"""Checks the consistency of the objects of a set."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

from mulberrypass.model import document as d
from mulberrypass.model.fault import quoted
from mulberrypass.model.objects import BackendKind, Role, ServiceKind
from mulberrypass.model.value_class import value_class

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from mulberrypass.model.fault import Fault
    from mulberrypass.model.located import LocatedDocument, ObjectSet

BACKEND_KIND_BY_SERVICE = {
    ServiceKind.MODEL: BackendKind.ENGINE,
    ServiceKind.PLAIN: BackendKind.PLAIN,
}


@value_class
class _Index:
    """Lookup tables that are shared by the checks of all services.

    :param groups: customer names by group
    """

    backends: dict[str, d.BackendDocument]
    pools: dict[str, d.PoolDocument]
    groups: dict[str, list[str]]


def check_rules(objects: ObjectSet) -> Iterator[Fault]:
    """Yield the faults of all rules except those about references."""
    yield from _check_unique_names(objects)
    yield from _check_unique_addresses(objects)
    yield from _check_unique_keys(objects)
    yield from _check_pools(objects)
    yield from _check_models_of_pools(objects)
    for located, backend in objects.of(d.BackendDocument):
        yield from _check_backend(located, backend)
    for located, quota in objects.of(d.QuotaDocument):
        yield from _check_quota(located, quota)
    index = _index(objects)
    for located, service in objects.of(d.ServiceDocument):
        yield from _check_service(index, located, service)


def _index(objects: ObjectSet) -> _Index:
    groups: dict[str, list[str]] = defaultdict(list)
    for _, customer in objects.of(d.CustomerDocument):
        groups[customer.group].append(customer.name)
    return _Index(
        {b.name: b for _, b in objects.of(d.BackendDocument)},
        {p.name: p for _, p in objects.of(d.PoolDocument)},
        dict(groups),
    )


def _check_unique_names(objects: ObjectSet) -> Iterator[Fault]:
    first: dict[tuple[str, str], LocatedDocument] = {}
    for located in objects.documents:
        key = (located.document.KIND, located.document.key())
        other = first.setdefault(key, located)
        if other is not located:
            problem = f"it is defined already{_location_suffix(other)}"
            yield located.fault("name", problem, "keep one of them")


def _check_unique_addresses(objects: ObjectSet) -> Iterator[Fault]:
    first: dict[str, LocatedDocument] = {}
    for located, backend in objects.of(d.BackendDocument):
        other = first.setdefault(backend.address, located)
        if other is not located:
            problem = f'"{backend.address}" is the address of {other.label}'
            yield located.fault("address", problem, "give each its own")


def _check_unique_keys(objects: ObjectSet) -> Iterator[Fault]:
    first: dict[str, LocatedDocument] = {}
    for located, keys in _key_owners(objects):
        if not keys:
            remedy = "give it the digest of at least one"
            yield located.fault("keys", "it has no key", remedy)
        for index, key in enumerate(keys):
            field = f"keys.{index}.digest"
            other = first.setdefault(key.digest, located)
            if other is not located:
                problem = f"the key belongs to {other.label} too"
                yield located.fault(field, problem, "give each its own")


def _key_owners(
    objects: ObjectSet,
) -> Iterator[tuple[LocatedDocument, tuple[d.KeyPart, ...]]]:
    for located, customer in objects.of(d.CustomerDocument):
        yield located, customer.keys
    for located, operator in objects.of(d.OperatorDocument):
        yield located, operator.keys


def _check_pools(objects: ObjectSet) -> Iterator[Fault]:
    pool_of: dict[str, str] = {}
    for located, pool in objects.of(d.PoolDocument):
        if not pool.backends:
            remedy = "name at least one"
            yield located.fault("backends", "it has no backends", remedy)
        seen = set()
        for index, name in enumerate(pool.backends):
            field = f"backends.{index}"
            other = pool_of.setdefault(name, pool.name)
            if name in seen:
                problem = f'backend "{name}" is named twice'
                yield located.fault(field, problem, "name it once")
            elif other != pool.name:
                problem = f'backend "{name}" is in pool "{other}" already'
                remedy = "a backend is in one pool; let services share it"
                yield located.fault(field, problem, remedy)
            seen.add(name)


def _check_models_of_pools(objects: ObjectSet) -> Iterator[Fault]:
    """Check that versions in a pool differ in name.

    Engines identify versions by name alone, without the model.
    """
    models: dict[str, str] = {}
    names: dict[str, set[str]] = defaultdict(set)
    for _, version in objects.of(d.VersionDocument):
        names[version.model].add(version.name)
    for located, service in objects.of(d.ServiceDocument):
        if service.model is None:
            continue
        other = models.setdefault(service.pool, service.model)
        shared = names[other] & names[service.model]
        if other != service.model and shared:
            problem = (
                f'pool "{service.pool}" serves model "{other}" too, and both '
                f"models have versions {quoted(shared)}"
            )
            remedy = "name them differently, or use another pool"
            yield located.fault("model", problem, remedy)


def _check_backend(
    located: LocatedDocument, backend: d.BackendDocument
) -> Iterator[Fault]:
    if backend.type is BackendKind.ENGINE and not backend.kv_tokens:
        problem = "an engine without KV memory can run nothing"
        remedy = "give the tokens that it holds"
        yield located.fault("kv_tokens", problem, remedy)
    if backend.type is BackendKind.PLAIN and backend.role is not Role.BOTH:
        problem = "a plain backend has no role"
        yield located.fault("role", problem, "leave it out")


def _check_quota(
    located: LocatedDocument, quota: d.QuotaDocument
) -> Iterator[Fault]:
    online = quota.requests_per_s > 0
    if online and not quota.burst:
        problem = "0 admits no request at any rate"
        yield located.fault("burst", problem, "write at least 1")
    if online and not quota.online_running:
        problem = "0 lets no online request run, whatever the rate"
        remedy = 'write at least 1, or 0 for "requests_per_s" too'
        yield located.fault("online_running", problem, remedy)
    if not online and quota.online_running:
        problem = "0 admits no request, yet some may run"
        remedy = 'write a rate, or 0 for "online_running" too'
        yield located.fault("requests_per_s", problem, remedy)
    if not quota.online_running and not quota.batch_running:
        problem = "nothing may run, online or in batch"
        yield located.fault("", problem, "raise one of the two")


def _check_service(
    index: _Index, located: LocatedDocument, service: d.ServiceDocument
) -> Iterator[Fault]:
    yield from _check_idempotency(located, service)
    yield from _check_timeouts(located, service)
    yield from _check_pool_kind(index, located, service)
    match service.type:
        case ServiceKind.PLAIN:
            yield from _check_plain_service(located, service)
        case ServiceKind.MODEL:
            yield from _check_model_service(index, located, service)


def _check_idempotency(
    located: LocatedDocument, service: d.ServiceDocument
) -> Iterator[Fault]:
    if service.idempotent:
        return
    if service.hedge:
        problem = "work that is not idempotent can't be hedged"
        remedy = 'write "hedge: false", or leave it out'
        yield located.fault("hedge", problem, remedy)
    if service.repeat_share:
        problem = "work that is not idempotent gets no second run"
        remedy = 'write "repeat_share: 0", or leave it out'
        yield located.fault("repeat_share", problem, remedy)
    if (service.max_attempts or 1) > 1:
        problem = "work that is not idempotent can't be retried"
        remedy = 'write "max_attempts: 1", or leave it out'
        yield located.fault("max_attempts", problem, remedy)


def _check_timeouts(
    located: LocatedDocument, service: d.ServiceDocument
) -> Iterator[Fault]:
    if service.timeout_ms > service.max_timeout_ms:
        problem = (
            f"{service.timeout_ms} is over max_timeout_ms, "
            f"{service.max_timeout_ms}"
        )
        remedy = f"write at most {service.max_timeout_ms}"
        yield located.fault("timeout_ms", problem, remedy)


def _check_pool_kind(
    index: _Index, located: LocatedDocument, service: d.ServiceDocument
) -> Iterator[Fault]:
    needed = BACKEND_KIND_BY_SERVICE[service.type]
    pool = index.pools.get(service.pool)
    if pool is None:
        return
    members = [
        index.backends[name]
        for name in pool.backends
        if name in index.backends
    ]
    wrong = [b.name for b in members if b.type is not needed]
    if wrong:
        problem = (
            f'pool "{pool.name}" has backends that are not of type '
            f'"{needed}": {quoted(wrong)}'
        )
        remedy = f'name a pool of type "{needed}" only'
        yield located.fault("pool", problem, remedy)
    elif needed is BackendKind.ENGINE:
        yield from _check_roles(located, pool, members)


def _check_roles(
    located: LocatedDocument,
    pool: d.PoolDocument,
    members: Iterable[d.BackendDocument],
) -> Iterator[Fault]:
    roles = {member.role for member in members}
    if not roles or Role.BOTH in roles:
        return
    for role in (Role.PREFILL, Role.DECODE):
        if role not in roles:
            problem = f'pool "{pool.name}" has no engine for {role}'
            remedy = f'add an engine of role "{role}" or "both"'
            yield located.fault("pool", problem, remedy)


def _check_plain_service(
    located: LocatedDocument, service: d.ServiceDocument
) -> Iterator[Fault]:
    for field in ("model", "routes", "streams"):
        if getattr(service, field):
            problem = "a plain service has none"
            yield located.fault(field, problem, "leave it out")


def _check_model_service(
    index: _Index, located: LocatedDocument, service: d.ServiceDocument
) -> Iterator[Fault]:
    if service.model is None:
        problem = "a model service needs one"
        yield located.fault("model", problem, "name a model")
    if not service.routes:
        remedy = "add a route with a version"
        yield located.fault("routes", "there is no route", remedy)
        return
    yield from _check_route_names(index, located, service)
    yield from _check_route_totals(index, located, service)


def _check_route_names(
    index: _Index, located: LocatedDocument, service: d.ServiceDocument
) -> Iterator[Fault]:
    groups = index.groups.keys()
    seen: set[tuple[str, str | None, tuple[str, ...]]] = set()
    for number, route in enumerate(service.routes):
        key = (route.version, route.adapter, route.groups)
        if key in seen:
            problem = f'version "{route.version}" is routed to twice'
            remedy = "join the two and add their weights"
            yield located.fault(f"routes.{number}", problem, remedy)
        seen.add(key)
        for group in route.groups:
            if group not in groups:
                field = f"routes.{number}.groups"
                problem = f'no customer is in group "{group}"'
                remedy = f"the groups are {quoted(groups - {''})}"
                yield located.fault(field, problem, remedy)


def _check_route_totals(
    index: _Index, located: LocatedDocument, service: d.ServiceDocument
) -> Iterator[Fault]:
    if sum(route.weight for route in service.routes) <= 0:
        problem = "the weights add up to 0"
        remedy = "give at least one route a weight above 0"
        yield located.fault("routes", problem, remedy)
        return
    for group, customers in sorted(index.groups.items()):
        if _has_route(service, group):
            continue
        callers = service.customers or customers
        left_out = sorted(set(customers).intersection(callers))
        if left_out:
            whose = f'group "{group}"' if group else "no group"
            problem = (
                f"no route is for customers of {whose}: {quoted(left_out)}"
            )
            remedy = "add a route for all groups, with a weight above 0"
            yield located.fault("routes", problem, remedy)


def _has_route(service: d.ServiceDocument, group: str) -> bool:
    return any(
        route.weight > 0 and (not route.groups or group in route.groups)
        for route in service.routes
    )


def _location_suffix(located: LocatedDocument) -> str:
    source = located.source
    return f" at {source.file}:{source.line}" if source.file else ""


__all__ = ["check_rules"]
