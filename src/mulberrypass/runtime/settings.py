"""Validated settings from flags and environment variables."""

from __future__ import annotations

import json
import sys
from typing import TYPE_CHECKING, Annotated, Any, Literal, NoReturn, TypeVar

from pydantic import Field, IPvAnyAddress, ValidationError
from pydantic_settings import BaseSettings, CliApp, SettingsConfigDict

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

ENV_PREFIX = "MULBERRY_"
EXIT_USAGE = 2
SETTINGS_COMMAND = "settings"

Port = Annotated[int, Field(ge=1, le=65_535)]


class ProgramSettings(BaseSettings):
    """Settings of all programs.

    A value comes from its flag, else from the environment variable with
    the prefix ``MULBERRY_``, else from its default.
    """

    model_config = SettingsConfigDict(
        env_prefix=ENV_PREFIX,
        extra="ignore",
        frozen=True,
        cli_kebab_case=True,
        cli_hide_none_type=True,
        cli_avoid_json=True,
    )

    log_format: Literal["json", "console"] = Field(
        default="json", description="format of the log lines"
    )
    log_level: Literal["debug", "info", "warning", "error"] = Field(
        default="info", description="lowest level that is logged"
    )
    statsd_address: IPvAnyAddress | None = Field(
        default=None, description="IP address that metrics are sent to"
    )
    statsd_port: Port = Field(
        default=8125, description="UDP port that metrics are sent to"
    )


S = TypeVar("S", bound=ProgramSettings)


def load(
    program: str,
    settings: type[S],
    argv: Sequence[str],
    environ: Mapping[str, str],
) -> S:
    """Load a program's settings, or exit.

    A wrong value ends the process with a one-line message and exit status
    2; ``settings`` as first argument prints the values and their origins.

    :param program: name of the program, for messages
    :param environ: environment variables, to show the origin of a value
    """
    show = bool(argv) and argv[0] == SETTINGS_COMMAND
    flags = list(argv[1:] if show else argv)
    try:
        loaded = CliApp.run(settings, cli_args=flags, cli_exit_on_error=True)
    except ValidationError as exc:
        _exit_with_error(program, exc)
    if show:
        for line in _describe(loaded, flags, environ):
            sys.stdout.write(line + "\n")
        sys.exit(0)
    return loaded


def _exit_with_error(program: str, exc: ValidationError) -> NoReturn:
    first = exc.errors(include_url=False, include_input=False)[0]
    path = ".".join(str(part) for part in first["loc"])
    flag = _flag_name(path) if path else "settings"
    sys.stderr.write(f"{program}: {flag}: {first['msg']}\n")
    sys.exit(EXIT_USAGE)


def _flag_name(field: str) -> str:
    return "--" + field.replace("_", "-")


def _describe(
    loaded: ProgramSettings, flags: Sequence[str], environ: Mapping[str, str]
) -> list[str]:
    variables = {name.upper() for name in environ}
    values: dict[str, Any] = json.loads(loaded.model_dump_json())
    lines = []
    for name, value in sorted(values.items()):
        flag = _flag_name(name)
        from_flag = any(f == flag or f.startswith(flag + "=") for f in flags)
        in_environ = (ENV_PREFIX + name).upper() in variables
        origin = "flag" if from_flag else "default"
        if in_environ and not from_flag:
            origin = "environment"
        displayed = "***" if name.endswith("_key") and value else value
        lines.append(f"{flag}={json.dumps(displayed)} ({origin})")
    return lines


__all__ = [
    "ENV_PREFIX",
    "EXIT_USAGE",
    "Port",
    "ProgramSettings",
    "load",
]
