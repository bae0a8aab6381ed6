"""HTTP API for operators."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING, Any

from expression import Result

from mulberrypass.configuration.store import StoreDown, SubmitIdReused
from mulberrypass.model.fault import pluralize
from mulberrypass.model.jsonable import jsonable
from mulberrypass.model.render import to_document, to_documents
from mulberrypass.model.snapshot import KINDS
from mulberrypass.model.value_class import value_class
from mulberrypass.operator.changes import GenerationConflict, InvalidSet
from mulberrypass.operator.messages import CheckBody, SubmitBody, read_body
from mulberrypass.runtime.http import HttpRoute, Problem, json_answer
from mulberrypass.runtime.logs import get_logger

if TYPE_CHECKING:
    from collections.abc import Callable

    from mulberrypass.configuration.store import ConfigurationStore
    from mulberrypass.model.fault import Fault
    from mulberrypass.operator.auth import OperatorAuth
    from mulberrypass.operator.changes import (
        ChangeError,
        ConfigurationChanges,
        LatestConfiguration,
    )
    from mulberrypass.operator.explain import ExplainProxy
    from mulberrypass.operator.fleet import FleetGenerationsReader
    from mulberrypass.operator.status import StatusCollector
    from mulberrypass.runtime.http import Reply, Request

LOG = get_logger(__name__)
DEFAULT_HISTORY_LIMIT = 20
SINGULAR_BY_PLURAL = {kind: kind[:-1] for kind in KINDS}


@value_class
class OperatorDependencies:
    """Objects that the operator API is built on."""

    auth: OperatorAuth
    changes: ConfigurationChanges
    store: ConfigurationStore
    fleet: FleetGenerationsReader
    explain: ExplainProxy
    status: StatusCollector


class OperatorApp:
    """Handlers of the operator API."""

    def __init__(self, dependencies: OperatorDependencies) -> None:
        self._dependencies = dependencies

    def routes(self) -> tuple[HttpRoute, ...]:
        """Return the routes of the API; all require an operator's key."""
        base = "/v1/configuration"
        objects = "/v1/objects/{kind}"
        authenticated = self._authenticated
        return (
            HttpRoute("POST", f"{base}/check", authenticated(self._check)),
            HttpRoute("POST", f"{base}/plan", authenticated(self._plan)),
            HttpRoute("POST", f"{base}/submit", authenticated(self._submit)),
            HttpRoute("GET", base, authenticated(self._configuration)),
            HttpRoute("GET", f"{base}/history", authenticated(self._history)),
            HttpRoute("GET", objects, authenticated(self._objects)),
            HttpRoute("GET", objects + "/{name}", authenticated(self._object)),
            HttpRoute(
                "GET", objects + "/{model}/{name}", authenticated(self._object)
            ),
            HttpRoute(
                "GET", "/v1/generation", authenticated(self._generation)
            ),
            HttpRoute("GET", "/v1/status", authenticated(self._status)),
            HttpRoute("GET", "/v1/explain", authenticated(self._explain)),
        )

    def _authenticated(
        self, handler: Callable[[Request, str], Reply]
    ) -> Callable[[Request], Reply]:
        def handle(req: Request) -> Reply:
            match self._dependencies.auth.authenticate(req):
                case Result(tag="ok", ok=operator):
                    return handler(req, operator)
                case Result(error=problem):
                    return problem

        return handle

    def _check(self, req: Request, _operator: str) -> Reply:
        match read_body(req, CheckBody):
            case Result(tag="ok", ok=body):
                pass
            case Result(error=reason):
                return _bad_body(reason)
        match self._dependencies.changes.check(body.raw_documents()):
            case Result(tag="ok", ok=cfg):
                counts = {kind: len(getattr(cfg, kind)) for kind in KINDS}
                return json_answer({"digest": cfg.digest, "objects": counts})
            case Result(error=invalid):
                return _invalid_set(invalid.faults)

    def _plan(self, req: Request, _operator: str) -> Reply:
        match read_body(req, CheckBody):
            case Result(tag="ok", ok=body):
                pass
            case Result(error=reason):
                return _bad_body(reason)
        match self._dependencies.changes.plan(body.raw_documents()):
            case Result(tag="ok", ok=plan):
                return json_answer(
                    {
                        "generation": plan.base.cfg.generation,
                        "doubt": plan.base.doubt,
                        "digest": plan.checked.digest,
                        "changes": jsonable(plan.changes),
                    }
                )
            case Result(error=invalid):
                return _invalid_set(invalid.faults)

    def _submit(self, req: Request, operator: str) -> Reply:
        match read_body(req, SubmitBody):
            case Result(tag="ok", ok=body):
                pass
            case Result(error=reason):
                return _bad_body(reason)
        match self._dependencies.changes.submit(body, operator):
            case Result(tag="ok", ok=published):
                LOG.info(
                    "submission accepted",
                    operator=operator,
                    generation=published.generation,
                    repeated=published.accepted.repeated,
                )
                return json_answer(
                    {
                        "generation": published.generation,
                        "digest": published.accepted.snapshot.digest,
                        "repeated": published.accepted.repeated,
                        "unchanged": published.accepted.unchanged,
                        "changes": jsonable(published.changes),
                    }
                )
            case Result(error=exc):
                return _submit_problem(exc)

    def _configuration(self, _req: Request, _operator: str) -> Reply:
        current = self._dependencies.changes.current()
        return _documents(current, list(to_documents(current.cfg)))

    def _history(self, req: Request, _operator: str) -> Reply:
        limit = req.query.get("limit", str(DEFAULT_HISTORY_LIMIT))
        if not limit.isdecimal() or not int(limit):
            return _bad_query("limit", "write a whole number from 1")
        match self._dependencies.store.history(int(limit)):
            case Result(tag="ok", ok=entries):
                shown = [entry.model_dump(mode="json") for entry in entries]
                return json_answer({"history": shown})
            case Result(error=down):
                return _store_down(down)

    def _objects(self, req: Request, _operator: str) -> Reply:
        kind = _plural_of(req.params["kind"])
        if kind is None:
            return _unknown_kind(req.params["kind"])
        current = self._dependencies.changes.current()
        found = getattr(current.cfg, kind)
        shown = [to_document(kind, found[key]) for key in sorted(found)]
        return _documents(current, shown)

    def _object(self, req: Request, _operator: str) -> Reply:
        kind = _plural_of(req.params["kind"])
        if kind is None:
            return _unknown_kind(req.params["kind"])
        current = self._dependencies.changes.current()
        model = req.params.get("model")
        name = req.params["name"]
        key = name if model is None else f"{model}/{name}"
        found = getattr(current.cfg, kind).get(key)
        if found is None:
            detail = f'{SINGULAR_BY_PLURAL[kind]} "{key}" does not exist'
            return Problem(HTTPStatus.NOT_FOUND, "no_such_object", detail)
        return _documents(current, [to_document(kind, found)])

    def _generation(self, req: Request, _operator: str) -> Reply:
        at_least = req.query.get("at_least", "0")
        if not at_least.isdecimal():
            return _bad_query("at_least", "write a whole number")
        return json_answer(
            jsonable(self._dependencies.fleet.generations(int(at_least)))
        )

    def _status(self, _req: Request, _operator: str) -> Reply:
        return json_answer(jsonable(self._dependencies.status.report()))

    def _explain(self, req: Request, _operator: str) -> Reply:
        return self._dependencies.explain.explain(req)


def _documents(
    current: LatestConfiguration, documents: list[dict[str, Any]]
) -> Reply:
    return json_answer(
        {
            "generation": current.cfg.generation,
            "digest": current.cfg.digest,
            "doubt": current.doubt,
            "documents": documents,
        }
    )


def _plural_of(name: str) -> str | None:
    plural = name if name in SINGULAR_BY_PLURAL else f"{name}s"
    return plural if plural in SINGULAR_BY_PLURAL else None


def _bad_body(reason: str) -> Problem:
    return Problem(HTTPStatus.BAD_REQUEST, "bad_body", reason)


def _bad_query(name: str, remedy: str) -> Problem:
    detail = f'"{name}" of the query: {remedy}'
    return Problem(HTTPStatus.BAD_REQUEST, "bad_query", detail)


def _unknown_kind(name: str) -> Problem:
    kinds = ", ".join(sorted(SINGULAR_BY_PLURAL.values()))
    detail = f'"{name}" is not a kind of object; write one of {kinds}'
    return Problem(HTTPStatus.NOT_FOUND, "no_such_kind", detail)


def _invalid_set(faults: tuple[Fault, ...]) -> Problem:
    shown = [jsonable(fault) | {"text": fault.text()} for fault in faults]
    return Problem(
        HTTPStatus.UNPROCESSABLE_ENTITY,
        "faulty_objects",
        f"{pluralize(len(faults), 'fault')}; nothing is published",
        extra={"faults": shown},
    )


def _submit_problem(exc: ChangeError) -> Problem:
    match exc:
        case InvalidSet(faults=faults):
            return _invalid_set(faults)
        case StoreDown():
            return _store_down(exc)
        case SubmitIdReused(generation=generation):
            detail = (
                "the submit id was used for another set, published as "
                f"generation {generation}"
            )
            return Problem(HTTPStatus.CONFLICT, "submit_id_reused", detail)
        case GenerationConflict(
            base=base, generation=generation, objects=objects
        ):
            detail = (
                f"the set was made from generation {base}, and generation "
                f"{generation} is in force; nothing is published"
            )
            extra = {
                "base": base,
                "generation": generation,
                "objects": jsonable(objects),
            }
            return Problem(
                HTTPStatus.CONFLICT, "conflict", detail, extra=extra
            )


def _store_down(down: StoreDown) -> Problem:
    detail = down.reason
    if down.maybe_accepted:
        detail += (
            "; the submission may be accepted all the same: repeat it with "
            "the same submit id"
        )
    return Problem(
        HTTPStatus.SERVICE_UNAVAILABLE,
        "store_down",
        detail,
        retry_after_s=2.0,
        extra={"maybe_accepted": down.maybe_accepted},
    )


__all__ = ["OperatorApp", "OperatorDependencies"]
