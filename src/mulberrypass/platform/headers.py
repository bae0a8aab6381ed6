"""Names and formats of request and response headers."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

from mulberrypass.relay.api import EngineLoad, RelayRequest

if TYPE_CHECKING:
    from collections.abc import Mapping

    from mulberrypass.relay.api import Headers

REQUEST_ID = "X-Mulberrypass-Request-Id"
RESPONSE_STAMP = "X-Mulberrypass-Response-Stamp"
DEADLINE_MS = "X-Mulberrypass-Deadline-Ms"
EXPECT_INSTANCE = "X-Mulberrypass-Expect-Instance"
TOKEN_COUNTS = "X-Mulberrypass-Token-Counts"
PROMPT_PREFIX = "X-Mulberrypass-Prompt-Prefix"
CUSTOMER_KEY = "X-Mulberrypass-Key"
CUSTOMER = "X-Mulberrypass-Tenant"
LENGTH_HINT = "X-Mulberrypass-Length-Hint"
NOT_RUN = "X-Mulberrypass-Not-Run"
SERVER_LOAD = "X-Mulberrypass-Server-Load"
SERVER_LIMIT = "Server-Limit"
SERVER_LEAVING = "Server-Leaving"
LEAVING = "1"
INSTANCE_ID = "X-Mulberrypass-Instance-Id"
# No engine takes more requests per second.
MAX_LIMIT_PER_S = 1e6
DECIMAL = re.compile(r"\d+(\.\d*)?|\.\d+")
# The least limit, as 0 stands for none.
MIN_LIMIT_PER_S = 1e-6
LAST_EVENT_ID = "Last-Event-Id"
# Larger numbers aren't exact.
MAX_NUMBER = 2.0**53
MAX_DIGITS = 15
COUNT = re.compile(rf"[0-9]{{1,{MAX_DIGITS}}}")
MS_PER_S = 1_000.0
NORMAL_SLOWNESS_PERCENT = 100.0
# The platform names no other bounds; a figure outside is damaged.
MIN_PERCENT = 1.0
MAX_PERCENT = 10_000.0

# Hop-by-hop headers (RFC 9110, section 7.6.1).
HOP_BY_HOP = frozenset(
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
# Never forwarded: the key is a secret between the caller and this system,
# which alone says to an engine whose request it is.
WITHHELD = frozenset(name.lower() for name in (CUSTOMER_KEY, CUSTOMER))
# Replaced for each engine, or set by the HTTP library.
REPLACED = frozenset(
    name.lower() for name in (DEADLINE_MS, EXPECT_INSTANCE, LAST_EVENT_ID)
) | {"content-length", "host", "expect"}


def end_to_end(headers: Headers) -> Headers:
    """Return the headers without the hop-by-hop ones."""
    listed = {
        name.strip().lower()
        for key, value in headers
        if key.lower() == "connection"
        for name in value.split(",")
    }
    dropped = HOP_BY_HOP | listed
    return tuple((k, v) for k, v in headers if k.lower() not in dropped)


def answer_marks(headers: Headers) -> Headers:
    """Return the id and the stamp, which only copies of an answer share.

    :returns: nothing if the head doesn't have one of each
    """
    names = (REQUEST_ID.lower(), RESPONSE_STAMP.lower())
    marks = tuple((k, v) for k, v in headers if k.lower() in names)
    found = {name.lower() for name, value in marks if value.strip()}
    return marks if len(marks) == len(found) == len(names) else ()


def read_request(
    method: str,
    target: str,
    headers: Mapping[str, str],
    body: bytes,
) -> RelayRequest:
    """Build a request from what a caller sent.

    :param headers: keyed by name in lower case
    """
    prompt_tokens, max_tokens = _int_pair(headers, TOKEN_COUNTS)
    hint = _number(headers, LENGTH_HINT)
    output_tokens = int(hint) if hint else max_tokens
    if max_tokens:
        output_tokens = min(output_tokens, max_tokens)
    wait_ms = _number(headers, DEADLINE_MS)
    after = _number(headers, LAST_EVENT_ID)
    forwarded = tuple(
        (name, value)
        for name, value in headers.items()
        if name.lower() not in WITHHELD
    )
    return RelayRequest(
        request_id=headers.get(REQUEST_ID.lower(), ""),
        method=method,
        host=headers.get("host", "").lower(),
        target=target,
        headers=end_to_end(forwarded),
        body=body,
        wait_s=None if wait_ms is None else wait_ms / MS_PER_S,
        prompt_tokens=prompt_tokens,
        output_tokens=output_tokens,
        prefix=_prefix_ids(headers.get(PROMPT_PREFIX.lower(), "")),
        after_event=None if after is None else int(after),
        key=headers.get(CUSTOMER_KEY.lower(), "").strip(),
    )


def engine_headers(
    req: RelayRequest, instance: str, left_s: float
) -> dict[str, str]:
    """Return the headers of a request to an engine.

    :param instance: the expected name of the engine
    :param left_s: time until the deadline
    """
    headers = {
        name: value
        for name, value in req.headers
        if name.lower() not in REPLACED
    }
    headers["Host"] = req.host
    if req.customer:
        headers[CUSTOMER] = req.customer
    headers[DEADLINE_MS] = str(max(1, int(left_s * MS_PER_S)))
    headers[EXPECT_INSTANCE] = instance
    if req.after_event is not None:
        headers[LAST_EVENT_ID] = str(req.after_event)
    return headers


def parse_load(text: str | None) -> EngineLoad | None:
    """Parse an engine's load; ``None`` if it is missing or malformed."""
    if not text:
        return None
    fields = [field.strip() for field in text.split(",")]
    if len(fields) < 3 or not all(map(COUNT.fullmatch, fields[:3])):
        return None
    running, waiting, slots = map(int, fields[:3])
    if len(fields) == 3:
        return EngineLoad(running, waiting, slots)
    if not DECIMAL.fullmatch(fields[3]) or len(fields[3]) > MAX_DIGITS:
        return None
    percent = float(fields[3])
    if not MIN_PERCENT <= percent <= MAX_PERCENT:
        return None
    slowness = percent / NORMAL_SLOWNESS_PERCENT
    return EngineLoad(running, waiting, slots, slowness)


def parse_limit(text: str | None) -> float:
    """Parse the limit that an engine names, in requests per second.

    :returns: 0 if it names none
    :raises ValueError: if it isn't a decimal number in the usual range
    """
    if text is None:
        return 0.0
    if not DECIMAL.fullmatch(text.strip()):
        raise ValueError("not a decimal number")
    per_s = float(text)
    if per_s > MAX_LIMIT_PER_S:
        raise ValueError("out of range")
    return max(MIN_LIMIT_PER_S, per_s)


def _number(headers: Mapping[str, str], name: str) -> float | None:
    """Return a number that isn't negative; ``None`` if there is none."""
    text = headers.get(name.lower())
    try:
        value = float(text) if text else None
    except ValueError:
        return None
    return value if value is not None and 0 <= value <= MAX_NUMBER else None


def _int_pair(headers: Mapping[str, str], name: str) -> tuple[int, int]:
    first, _, second = headers.get(name.lower(), "").partition(",")
    pair = (first.strip(), second.strip())
    if all(COUNT.fullmatch(text) for text in pair):
        return int(pair[0]), int(pair[1])
    return 0, 0


def _prefix_ids(text: str) -> tuple[int, ...]:
    """Return the ids of a prompt's parts, up to the first malformed one."""
    ids = []
    for entry in text.split(","):
        name, _, _tokens = entry.strip().partition(":")
        try:
            ids.append(int(name, 16) & (2**64 - 1))
        except ValueError:
            break
    return tuple(ids)


__all__ = [
    "CUSTOMER",
    "CUSTOMER_KEY",
    "DEADLINE_MS",
    "EXPECT_INSTANCE",
    "INSTANCE_ID",
    "LAST_EVENT_ID",
    "LEAVING",
    "NOT_RUN",
    "REQUEST_ID",
    "RESPONSE_STAMP",
    "SERVER_LEAVING",
    "SERVER_LIMIT",
    "SERVER_LOAD",
    "answer_marks",
    "end_to_end",
    "engine_headers",
    "parse_limit",
    "parse_load",
    "read_request",
]
