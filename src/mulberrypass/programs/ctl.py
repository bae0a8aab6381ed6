"""``mulberryctl``: the operators' command line."""

from __future__ import annotations

import os
import sys
from typing import TYPE_CHECKING, Any

import fire

from mulberrypass.operator.client import ControlClient
from mulberrypass.operator.commands import (
    DEFAULT_WAIT_S,
    CommandFailed,
    Commands,
    Terminal,
)
from mulberrypass.operator.trace import trace
from mulberrypass.runtime.ports import CONTROL_PORT

if TYPE_CHECKING:
    from collections.abc import Iterator

PROGRAM = "mulberryctl"
KEY_VARIABLE = "MULBERRY_OPERATOR_KEY"
CONTROL_VARIABLE = "MULBERRY_CONTROL"
DEFAULT_CONTROL = f"http://127.0.0.1:{CONTROL_PORT}"
EXIT_REFUSED = 1
EXIT_USAGE = 2


class UsageError(Exception):
    """The arguments of a command are invalid."""


class Mulberryctl:
    """Check, publish and show the configuration of a fleet.

    The operator's key is read from MULBERRY_OPERATOR_KEY. The exit status is
    0 on success, 1 if the request was refused, and 2 on a usage error.
    """

    def __init__(self, control: str = "", json: bool = False) -> None:
        """Set the options of all commands.

        :param control: comma-separated URLs of control programs; read from
            MULBERRY_CONTROL if empty
        :param json: print the answer as JSON
        """
        self._control = control or os.environ.get(
            CONTROL_VARIABLE, DEFAULT_CONTROL
        )
        self._json = json

    def check(self, *files: str, offline: bool = False) -> None:
        """Check a complete set of files without publishing it.

        :param offline: check locally, without a control program
        """
        self._commands().check(_files(files), offline)

    def lint(
        self, *files: str, against: str = "", strict: bool = False
    ) -> None:
        """Check files offline, and report entries that can't work as meant.

        The files are a complete set of objects, or one desired state of the
        platform.

        :param against: file of the version in force, to show the differences
        :param strict: exit with 1 on warnings too
        """
        if not isinstance(strict, bool) or isinstance(against, bool):
            raise UsageError("write --strict last, and --against FILE")
        self._commands().lint(_files(files), str(against), strict)

    def plan(self, *files: str) -> None:
        """Show what a complete set of files would change."""
        self._commands().plan(_files(files))

    def submit(
        self,
        *files: str,
        base: int | None = None,
        message: str = "",
        wait: float = DEFAULT_WAIT_S,
        submit_id: str = "",
    ) -> None:
        """Publish a complete set of files and wait until it is in force.

        :param base: generation that the set is based on; default: the newest
        :param message: reason for the change, shown in the history
        :param wait: seconds to wait for all instances
        :param submit_id: id of an earlier submission, to retry it
        """
        self._commands().submit(
            _files(files), base, str(message), float(wait), str(submit_id)
        )

    def show(self, kind: str = "", name: str = "", model: str = "") -> None:
        """Show all objects, the objects of a kind, or a single object.

        :param model: the model of a version or adapter
        """
        self._commands().show(str(kind), str(name), str(model))

    def history(self, limit: int = 20) -> None:
        """Show the published generations, newest first."""
        self._commands().history(int(limit))

    def explain(self, service: str, customer: str, input: str = "") -> None:
        """Show which backend servers would serve a request, and why.

        :param input: input of the request, which determines its version
        """
        query = {"service": service, "customer": customer, "input": input}
        self._commands().explain({k: str(v) for k, v in query.items()})

    def trace(self, identifier: str, *files: str) -> None:
        """Print the log lines of a request, job or item, ordered by time.

        The identifier of an engine gives the lines on who said it leaves.

        :param files: log files of instances; default: standard input
        """
        found = trace(str(identifier), _log_lines(files))
        if not found:
            raise UsageError(f"no line is about {identifier}")
        for line in found:
            sys.stdout.write(line.text() + "\n")

    def dump(self) -> None:
        """Show the internal state of the process at --control."""
        self._commands().dump()

    def status(self) -> None:
        """Show the state of the fleet and what needs attention."""
        self._commands().status()

    def generation(self) -> None:
        """Show which generation each member has in force."""
        self._commands().generation()

    def digest(self) -> None:
        """Print the SHA-256 of an operator key.

        The key is read from standard input, else MULBERRY_OPERATOR_KEY.
        """
        self._commands().digest()

    def _commands(self) -> Commands:
        controls = str(self._control).split(",")
        key = os.environ.get(KEY_VARIABLE, "")
        terminal = Terminal(sys.stdout, _read_input, key)
        return Commands(
            terminal, ControlClient(tuple(controls), key), bool(self._json)
        )


def main() -> None:
    """Run the command line."""
    sys.exit(run(sys.argv[1:], Mulberryctl))


def run(argv: list[str], commands: type[Mulberryctl]) -> int:
    """Run a command and return its exit status."""
    try:
        fire.Fire(commands, command=argv, name=PROGRAM)
    except CommandFailed as exc:
        sys.stderr.write("\n".join(exc.lines) + "\n")
        return EXIT_REFUSED
    except BrokenPipeError:
        # The reader has closed the pipe: without this, the interpreter's
        # flush at exit would fail too.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
    except (UsageError, ValueError) as exc:
        sys.stderr.write(f"{PROGRAM}: {exc}\n")
        return EXIT_USAGE
    return 0


def _files(files: tuple[Any, ...]) -> tuple[str, ...]:
    if not files:
        raise UsageError("name the files of the whole set")
    return tuple(str(file) for file in files)


def _log_lines(files: tuple[Any, ...]) -> Iterator[str]:
    if not files:
        yield from sys.stdin
    for file in files:
        try:
            with open(str(file), encoding="utf-8", errors="replace") as log:
                yield from log
        except OSError as exc:
            raise UsageError(f"{file}: {exc.strerror}")


def _read_input() -> str:
    return "" if sys.stdin.isatty() else sys.stdin.read()


__all__ = ["Mulberryctl", "UsageError", "main", "run"]
