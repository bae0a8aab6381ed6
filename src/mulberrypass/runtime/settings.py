"""Settings in flags and environment variables, validated whole."""

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
    """What every program is told.

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
        default="json", description="form of the log lines"
    )
    log_level: Literal["debug", "info", "warning", "error"] = Field(
        default="info", description="the least severe level that is logged"
    )
    statsd_address: IPvAnyAddress | None = Field(
        default=None, description="IP number that metrics are sent to"
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
    """Read a program's settings, or end the process.

    A wrong value ends the process with one line and exit status 2;
    ``settings`` as first argument prints what is in force and where from.

    :param program: name of the program, for messages
    :param environ: environment variables, to tell where a value is from
    """
    show = bool(argv) and argv[0] == SETTINGS_COMMAND
    flags = list(argv[1:] if show else argv)
    try:
        loaded = CliApp.run(settings, cli_args=flags, cli_exit_on_error=True)
    except ValidationError as exc:
        _refuse(program, exc)
    if show:
        for line in _describe(loaded, flags, environ):
            sys.stdout.write(line + "\n")
        sys.exit(0)
    return loaded


def _refuse(program: str, exc: ValidationError) -> NoReturn:
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
    known = {name.upper() for name in environ}
    values: dict[str, Any] = json.loads(loaded.model_dump_json())
    lines = []
    for name, value in sorted(values.items()):
        flag = _flag_name(name)
        given = any(f == flag or f.startswith(flag + "=") for f in flags)
        in_environ = (ENV_PREFIX + name).upper() in known
        origin = "flag" if given else "default"
        if in_environ and not given:
            origin = "environment"
        shown = "***" if name.endswith("_key") and value else value
        lines.append(f"{flag}={json.dumps(shown)} ({origin})")
    return lines


__all__ = [
    "ENV_PREFIX",
    "EXIT_USAGE",
    "Port",
    "ProgramSettings",
    "load",
]
