"""``mulberryctl``, the command line of operators."""

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
    """A command was not understood."""


class Mulberryctl:
    """Checks, publishes and shows the objects of a fleet.

    The operator's key is taken from MULBERRY_OPERATOR_KEY. Commands end with
    status 0 where they did what was asked, 1 where it was refused, and 2
    where they were not understood.
    """

    def __init__(self, control: str = "", json: bool = False) -> None:
        """Set what all commands share.

        :param control: URLs of control programs with commas between them,
            else from MULBERRY_CONTROL
        :param json: write the answer as JSON
        """
        self._control = control or os.environ.get(
            CONTROL_VARIABLE, DEFAULT_CONTROL
        )
        self._json = json

    def check(self, *files: str, offline: bool = False) -> None:
        """Check a whole set of files; publish nothing.

        :param offline: ask no control program
        """
        self._commands().check(_files(files), offline)

    def plan(self, *files: str) -> None:
        """Say what a whole set of files would change; publish nothing."""
        self._commands().plan(_files(files))

    def submit(
        self,
        *files: str,
        base: int | None = None,
        message: str = "",
        wait: float = DEFAULT_WAIT_S,
        submit_id: str = "",
    ) -> None:
        """Publish a whole set of files, and wait until it is in force.

        :param base: generation that the set was made from, else the newest
        :param message: why, for the history
        :param wait: seconds to wait for all instances
        :param submit_id: id of an earlier try, to repeat it
        """
        self._commands().submit(
            _files(files), base, str(message), float(wait), str(submit_id)
        )

    def show(self, kind: str = "", name: str = "", model: str = "") -> None:
        """Show all objects, those of a kind, or one.

        :param model: the model of a version or adapter
        """
        self._commands().show(str(kind), str(name), str(model))

    def history(self, limit: int = 20) -> None:
        """Show who published what, newest first."""
        self._commands().history(int(limit))

    def explain(self, service: str, customer: str, input: str = "") -> None:
        """Show which backend servers a request would get, and why.

        :param input: what the request would ask, for its version
        """
        query = {"service": service, "customer": customer, "input": input}
        self._commands().explain({k: str(v) for k, v in query.items()})

    def trace(self, identifier: str, *files: str) -> None:
        """Tell what logs say of a request, a job or an item, by time.

        :param files: logs of instances; standard input where none is named
        """
        found = trace(str(identifier), _log_lines(files))
        if not found:
            raise UsageError(f"no line is about {identifier}")
        for line in found:
            sys.stdout.write(line.text() + "\n")

    def dump(self) -> None:
        """Show the whole state of the process at --control."""
        self._commands().dump()

    def status(self) -> None:
        """Show the state of the fleet, and what there is to do."""
        self._commands().status()

    def generation(self) -> None:
        """Show which members hold which generation."""
        self._commands().generation()

    def digest(self) -> None:
        """Print the SHA-256 of a key, from standard input or the variable."""
        self._commands().digest()

    def _commands(self) -> Commands:
        controls = str(self._control).split(",")
        key = os.environ.get(KEY_VARIABLE, "")
        terminal = Terminal(sys.stdout, _read_input, key)
        return Commands(
            terminal, ControlClient(tuple(controls), key), bool(self._json)
        )


def main() -> None:
    """Run one command."""
    sys.exit(run(sys.argv[1:], Mulberryctl))


def run(argv: list[str], commands: type[Mulberryctl]) -> int:
    """Run one command, and give its exit status."""
    try:
        fire.Fire(commands, command=argv, name=PROGRAM)
    except CommandFailed as exc:
        sys.stderr.write("\n".join(exc.lines) + "\n")
        return EXIT_REFUSED
    except BrokenPipeError:
        # The reader has seen enough; keep the interpreter from flushing.
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
