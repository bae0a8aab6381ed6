"""Names and forms of the headers that requests and answers carry."""

from __future__ import annotations

from typing import TYPE_CHECKING

from mulberrypass.relay.api import EngineLoad, RelayRequest

if TYPE_CHECKING:
    from collections.abc import Mapping

    from mulberrypass.relay.api import Headers

REQUEST_ID = "X-Mulberrypass-Request-Id"
DEADLINE_MS = "X-Mulberrypass-Deadline-Ms"
EXPECT_INSTANCE = "X-Mulberrypass-Expect-Instance"
TOKEN_COUNTS = "X-Mulberrypass-Token-Counts"
PROMPT_PARTS = "X-Mulberrypass-Prompt-Prefix"
LENGTH_HINT = "X-Mulberrypass-Length-Hint"
NOT_RUN = "X-Mulberrypass-Not-Run"
SERVER_LOAD = "X-Mulberrypass-Server-Load"
LAST_EVENT_ID = "Last-Event-Id"
MS = 1_000.0
AS_USUAL = 100.0

# RFC 9110, section 7.6.1: these concern one connection only.
ONE_CONNECTION = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
# Set anew for each engine, or by the HTTP library.
SET_HERE = frozenset(
    name.lower() for name in (DEADLINE_MS, EXPECT_INSTANCE, LAST_EVENT_ID)
) | {"content-length", "host", "expect"}


def kept(headers: Headers) -> Headers:
    """Leave out headers that concern one connection only."""
    named = {
        name.strip().lower()
        for key, value in headers
        if key.lower() == "connection"
        for name in value.split(",")
    }
    dropped = ONE_CONNECTION | named
    return tuple((k, v) for k, v in headers if k.lower() not in dropped)


def read_request(
    method: str,
    target: str,
    headers: Mapping[str, str],
    body: bytes,
) -> RelayRequest:
    """Read a caller's request.

    :param headers: by name in lower case
    """
    prompt_tokens, most_tokens = _two_numbers(headers, TOKEN_COUNTS)
    hint = _number(headers, LENGTH_HINT)
    output_tokens = int(hint) if hint else most_tokens
    if most_tokens:
        output_tokens = min(output_tokens, most_tokens)
    wait_ms = _number(headers, DEADLINE_MS)
    after = _number(headers, LAST_EVENT_ID)
    return RelayRequest(
        request_id=headers.get(REQUEST_ID.lower(), ""),
        method=method,
        host=headers.get("host", "").lower(),
        target=target,
        headers=kept(tuple(headers.items())),
        body=body,
        wait_s=None if wait_ms is None else wait_ms / MS,
        prompt_tokens=prompt_tokens,
        output_tokens=output_tokens,
        prefix=_parts(headers.get(PROMPT_PARTS.lower(), "")),
        after_event=None if after is None else int(after),
    )


def to_engine(
    req: RelayRequest, instance: str, left_s: float
) -> dict[str, str]:
    """Give the headers of a request to an engine.

    :param instance: name that the engine must have
    """
    headers = {
        name: value
        for name, value in req.headers
        if name.lower() not in SET_HERE
    }
    headers["Host"] = req.host
    headers[DEADLINE_MS] = str(max(1, int(left_s * MS)))
    headers[EXPECT_INSTANCE] = instance
    if req.after_event is not None:
        headers[LAST_EVENT_ID] = str(req.after_event)
    return headers


def read_load(text: str | None) -> EngineLoad | None:
    """Read an engine's load; ``None`` where it says none."""
    if not text:
        return None
    try:
        figures = [float(part) for part in text.split(",")]
        running, waiting, slots = map(int, figures[:3])
    except ValueError:
        return None
    slowness = figures[3] / AS_USUAL if len(figures) > 3 else 1.0
    return EngineLoad(running, waiting, slots, slowness)


def _number(headers: Mapping[str, str], name: str) -> float | None:
    text = headers.get(name.lower())
    try:
        value = float(text) if text else None
    except ValueError:
        return None
    return value if value is not None and value >= 0 else None


def _two_numbers(headers: Mapping[str, str], name: str) -> tuple[int, int]:
    first, _, second = headers.get(name.lower(), "").partition(",")
    if first.strip().isdigit() and second.strip().isdigit():
        return int(first), int(second)
    return 0, 0


def _parts(text: str) -> tuple[int, ...]:
    """Read the numbers of a prompt's parts; damaged ones end the list."""
    found = []
    for entry in text.split(","):
        name, _, _tokens = entry.strip().partition(":")
        try:
            found.append(int(name, 16) & (2**64 - 1))
        except ValueError:
            break
    return tuple(found)


__all__ = [
    "DEADLINE_MS",
    "EXPECT_INSTANCE",
    "LAST_EVENT_ID",
    "NOT_RUN",
    "REQUEST_ID",
    "SERVER_LOAD",
    "kept",
    "read_load",
    "read_request",
    "to_engine",
]
