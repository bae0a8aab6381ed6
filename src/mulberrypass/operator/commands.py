"""The commands of ``mulberryctl``."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
import json as jsonlib
import time
from typing import TYPE_CHECKING, Any, TextIO
from urllib.parse import quote, urlencode
import uuid

from expression import Result

from mulberrypass.caller.auth import key_digest
from mulberrypass.model.check import check
from mulberrypass.model.fault import pluralize
from mulberrypass.model.jsonable import jsonable
from mulberrypass.model.load import load_files
from mulberrypass.model.snapshot import KINDS
from mulberrypass.operator import text
from mulberrypass.operator.client import (
    ClientError,
    ControlClient,
    NoAnswer,
    Reply,
)
from mulberrypass.operator.lint import lint

if TYPE_CHECKING:
    from mulberrypass.model.fault import Fault
    from mulberrypass.model.load import RawDocument

DEFAULT_WAIT_S = 10.0
POLL_INTERVAL_S = 0.2
BASE = "/v1/configuration"

Lines = Callable[[dict[str, Any]], Iterable[str]]


class CommandFailed(Exception):
    """A command failed.

    :param lines: messages for the terminal
    :param retryable: whether it may have taken effect, or may succeed if
        repeated
    """

    def __init__(self, lines: Iterable[str], retryable: bool = False) -> None:
        self.lines = tuple(lines)
        self.retryable = retryable
        super().__init__("\n".join(self.lines))


@dataclass(frozen=True)
class Terminal:
    """Input, output and clock of a command.

    :param key: the operator's key; empty for none
    """

    out: TextIO
    read_input: Callable[[], str]
    key: str
    sleep: Callable[[float], None] = time.sleep
    clock: Callable[[], float] = time.monotonic
    new_id: Callable[[], str] = lambda: uuid.uuid4().hex


class Commands:
    """Implementation of the commands."""

    def __init__(
        self,
        terminal: Terminal,
        client: ControlClient,
        as_json: bool,
    ) -> None:
        self._terminal = terminal
        self._client = client
        self._as_json = as_json

    def check(self, files: tuple[str, ...], offline: bool) -> None:
        """Validate a complete set of files.

        With a key, and unless ``offline``, a control program validates it if
        one answers.
        """
        documents = self._load_documents(files)
        if not offline and self._terminal.key:
            body = {"documents": _document_bodies(documents)}
            match self._client.post(f"{BASE}/check", body):
                case Result(tag="ok", ok=answer):
                    self._write(answer, text.check_lines)
                    return
                case Result(error=exc) if not isinstance(exc, NoAnswer):
                    self._fail(exc)
        self._check_offline(documents)

    def lint(self, files: tuple[str, ...], against: str, strict: bool) -> None:
        """Check files without a control program, also for odd entries.

        :param against: file of the version in force; empty for none
        :param strict: fail on warnings
        """
        match lint(files, against):
            case Result(tag="ok", ok=report):
                pass
            case Result(error=faults):
                self._fail_faults(faults)
        answer = {
            "warnings": _fault_bodies(report.warnings),
            "against": against,
            "changes": jsonable(report.changes),
        }
        self._write(answer, text.lint_lines)
        if strict and report.warnings:
            raise CommandFailed(["mulberryctl: --strict allows no warning"])

    def plan(self, files: tuple[str, ...]) -> None:
        """Show the changes that submitting a set of files would make."""
        body = {"documents": _document_bodies(self._load_documents(files))}
        answer = self._answer_or_fail(self._client.post(f"{BASE}/plan", body))
        self._write(answer, text.plan_lines)

    def submit(
        self,
        files: tuple[str, ...],
        base: int | None,
        message: str,
        wait_s: float,
        submit_id: str,
    ) -> None:
        """Publish a complete set of files and wait until it is in force.

        :param base: generation that the set was made from; ``None`` for the
            newest
        :param submit_id: id of an earlier attempt; empty for a new one
        """
        documents = _document_bodies(self._load_documents(files))
        if base is None:
            path = "/v1/generation"
            generations = self._retry(lambda: self._client.get(path), wait_s)
            base = int(generations["generation"])
        body = {
            "documents": documents,
            "base_generation": base,
            "submit_id": submit_id or self._terminal.new_id(),
            "message": message,
        }
        answer = self._submit(body, wait_s)
        fleet = self._wait_in_force(int(answer["generation"]), wait_s)
        self._write(answer | {"fleet": fleet}, text.submitted_lines)

    def show(self, kind: str, name: str, model: str) -> None:
        """Show objects: all, those of a kind, or one."""
        path = f"/v1/objects/{quote(kind, safe='')}" if kind else BASE
        for part in (model, name):
            path += f"/{quote(part, safe='')}" if part else ""
        self._write(
            self._answer_or_fail(self._client.get(path)), text.document_lines
        )

    def history(self, limit: int) -> None:
        """Show the published generations, newest first."""
        path = f"{BASE}/history?limit={limit}"
        self._write(
            self._answer_or_fail(self._client.get(path)), text.history_lines
        )

    def generation(self) -> None:
        """Show the generation that each member holds."""
        answer = self._answer_or_fail(self._client.get("/v1/generation"))
        self._write(answer, text.generation_lines)

    def status(self) -> None:
        """Show the state of the fleet and what needs attention."""
        answer = self._answer_or_fail(self._client.get("/v1/status"))
        self._write(answer, text.status_lines)

    def explain(self, query: dict[str, str]) -> None:
        """Show which backend server a request would get, and why."""
        path = f"/v1/explain?{urlencode(query)}"
        self._write(
            self._answer_or_fail(self._client.get(path)), text.explain_lines
        )

    def dump(self) -> None:
        """Show the complete state of a process."""
        self._write(
            self._answer_or_fail(self._client.get("/debug/state")), _json_lines
        )

    def digest(self) -> None:
        """Print the SHA-256 of a key from the input or the environment."""
        key = self._terminal.read_input().strip() or self._terminal.key
        if not key:
            raise CommandFailed(
                ["mulberryctl: give a key on standard input"],
            )
        self._terminal.out.write(key_digest(key) + "\n")

    def _load_documents(
        self, files: tuple[str, ...]
    ) -> tuple[RawDocument, ...]:
        loaded = load_files(files)
        if loaded.faults:
            self._fail_faults(loaded.faults)
        return loaded.documents

    def _check_offline(self, documents: tuple[RawDocument, ...]) -> None:
        match check(documents):
            case Result(tag="ok", ok=cfg):
                counts = {kind: len(getattr(cfg, kind)) for kind in KINDS}
                answer = {"digest": cfg.digest, "objects": counts}
                self._write(answer, text.check_lines)
            case Result(error=faults):
                self._fail_faults(faults)

    def _retry(
        self, ask: Callable[[], Reply], wait_s: float
    ) -> dict[str, Any]:
        """Repeat an idempotent request until its outcome is known.

        :param wait_s: time after which it is not repeated any more
        """
        end = self._terminal.clock() + wait_s
        while True:
            result = ask()
            final = result.is_ok() or not _is_retryable(result.error)
            if final or self._terminal.clock() >= end:
                return self._answer_or_fail(result)
            self._terminal.sleep(POLL_INTERVAL_S)

    def _submit(self, body: dict[str, Any], wait_s: float) -> dict[str, Any]:
        path = f"{BASE}/submit"
        try:
            return self._retry(lambda: self._client.post(path, body), wait_s)
        except CommandFailed as exc:
            if not exc.retryable:
                raise
            hint = f"repeat it with --submit-id {body['submit_id']}"
            raise CommandFailed([*exc.lines, f"mulberryctl: {hint}"])

    def _wait_in_force(self, generation: int, wait_s: float) -> dict[str, Any]:
        """Wait until a generation is in force on all instances.

        Return the members' generations, or why they are unknown.
        """
        end = self._terminal.clock() + wait_s
        path = f"/v1/generation?at_least={generation}"
        while True:
            result = self._client.get(path)
            timed_out = self._terminal.clock() >= end
            match result:
                case Result(tag="ok", ok=generations):
                    late = (m["generation"] for m in generations["missing"])
                    if timed_out or all(g >= generation for g in late):
                        return generations
                case Result(error=exc) if timed_out or not _is_retryable(exc):
                    return {"unknown": exc.detail}
            self._terminal.sleep(POLL_INTERVAL_S)

    def _answer_or_fail(self, result: Reply) -> dict[str, Any]:
        match result:
            case Result(tag="ok", ok=answer):
                return answer
            case Result(error=exc):
                self._fail(exc)
        raise AssertionError(result)

    def _fail(self, exc: ClientError) -> None:
        if self._as_json and not isinstance(exc, NoAnswer):
            raise CommandFailed(_json_lines(exc.document), _is_retryable(exc))
        raise CommandFailed(text.error_lines(exc), _is_retryable(exc))

    def _fail_faults(self, faults: Iterable[Fault]) -> None:
        if self._as_json:
            raise CommandFailed(_json_lines({"faults": _fault_bodies(faults)}))
        lines = [fault.text() for fault in faults]
        lines.append(f"mulberryctl: {pluralize(len(lines), 'fault')}")
        raise CommandFailed(lines)

    def _write(self, answer: dict[str, Any], lines: Lines) -> None:
        shown = _json_lines(answer) if self._as_json else lines(answer)
        for line in shown:
            self._terminal.out.write(line + "\n")


def _document_bodies(
    documents: tuple[RawDocument, ...],
) -> list[dict[str, Any]]:
    return [
        {
            "file": document.source.file,
            "line": document.source.line,
            "content": document.content,
        }
        for document in documents
    ]


def _fault_bodies(faults: Iterable[Fault]) -> list[dict[str, Any]]:
    return [jsonable(fault) | {"text": fault.text()} for fault in faults]


def _is_retryable(exc: ClientError) -> bool:
    return isinstance(exc, NoAnswer) or exc.code in ("store_down", "not_ready")


def _json_lines(answer: dict[str, Any]) -> tuple[str, ...]:
    return (jsonlib.dumps(answer, indent=1, sort_keys=True),)


__all__ = ["CommandFailed", "Commands", "Terminal"]
