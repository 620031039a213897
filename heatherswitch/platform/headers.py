"""Decodes request and response headers; encodes those of forwarded requests."""

import logging
import math
import re

from heatherswitch.gateway.model import CallerRequest, Load, PromptPart
from heatherswitch.gateway.notices import MAX_BUSY_S
from heatherswitch.gateway.upstream import ResponseHead, UpstreamContext
from heatherswitch.platform import names
from heatherswitch.util.http import BadRequest, Headers, Request

log = logging.getLogger("heatherswitch.platform.headers")

# End-to-end headers, which are forwarded even if a Connection header lists them.
_END_TO_END_HEADERS = frozenset(
    {
        names.ATTEMPT_ID,
        names.PROMPT_PREFIX,
        names.LAST_EVENT_ID,
        "host",
        "x-model",
        "x-token-count",
        "x-length-hint",
    }
)

# A number of tokens, requests or bytes. Python refuses to convert over 4,300 digits.
_WHOLE_NUMBER = re.compile(r"[0-9]{1,18}")
# Largest number of characters of a malformed header that a log line shows.
MAX_LOGGED_CHARACTERS = 100

_UNFORWARDED_HEADERS = names.HOP_BY_HOP_HEADERS | names.GATEWAY_ONLY_HEADERS


def decode_request(request: Request) -> CallerRequest:
    """Returns the header fields of a caller's request that routing needs.

    :raises BadRequest: if the id is missing or a field is malformed.
    """
    fields = {}
    for name, value in request.headers:
        if name in (names.ATTEMPT_ID, names.DEADLINE_MS, "host") and name in fields:
            raise BadRequest(400, f"the header {name} is repeated")
        if name == names.PROMPT_PREFIX and name in fields:
            # Repeated lines of a list are one list.
            fields[name] += f",{value}"
        fields.setdefault(name, value)
    attempt_id = fields.get(names.ATTEMPT_ID, "")
    if not attempt_id:
        raise BadRequest(400, f"the header {names.ATTEMPT_ID} is missing")
    return CallerRequest(
        id=attempt_id,
        host=fields.get("host", "").rsplit(":", 1)[0].lower(),
        path=_parse_path(request.target),
        deadline_s=_parse_deadline_s(fields.get(names.DEADLINE_MS)),
        api_key=_parse_api_key(fields.get(names.AUTHORIZATION, "")),
        prompt_parts=_parse_prompt_parts(fields.get(names.PROMPT_PREFIX, "")),
        last_event_id=fields.get(names.LAST_EVENT_ID, ""),
    )


def _parse_path(target: str) -> str:
    path = target.split("?", 1)[0]
    if path.startswith("/"):
        return path
    # Absolute form of the request target: scheme://host/path.
    _, _, rest = path.partition("://")
    return "/" + rest.partition("/")[2]


def _parse_deadline_s(text: str | None) -> float | None:
    if text is None:
        return None
    try:
        milliseconds = float(text)
    except ValueError:
        raise BadRequest(400, "the deadline is not a number") from None
    if not 0 <= milliseconds < float("inf"):
        raise BadRequest(400, "the deadline is out of range")
    return milliseconds / 1000


def _parse_api_key(authorization: str) -> str:
    scheme, _, key = authorization.partition(" ")
    return key.strip() if scheme.lower() == names.AUTH_SCHEME else ""


def _parse_prompt_parts(text: str) -> tuple[PromptPart, ...]:
    """Parses ``ID:TOKENS,...``; returns no parts if the list is malformed.

    The request is then routed without cache affinity.
    """
    parts = []
    for item in filter(None, text.split(",")):
        part_id, _, tokens = item.strip().partition(":")
        if not _WHOLE_NUMBER.fullmatch(tokens):
            log.info(
                "ignoring malformed prompt parts",
                extra={"parts": text[:MAX_LOGGED_CHARACTERS]},
            )
            return ()
        parts.append(PromptPart(part_id, int(tokens)))
    return tuple(parts)


def encode_request(request: Request, upstream: UpstreamContext) -> Headers:
    """Returns the headers of a request as forwarded to one backend server."""
    connection_options = _connection_options(request.headers)
    forwarded = []
    for name, value in request.headers:
        if (
            name in names.HOP_BY_HOP_HEADERS
            or name in names.RESERVED_HEADERS
            or name in connection_options
        ):
            continue
        if name == names.LAST_EVENT_ID and upstream.last_event_id:
            continue
        forwarded.append((name, value))
    forwarded.append(("X-Deadline-Ms", str(max(1, int(upstream.time_left_s * 1000)))))
    forwarded.append((names.EXPECT_INSTANCE, upstream.server_id))
    if upstream.workspace:
        forwarded.append((names.WORKSPACE, _encode_text(upstream.workspace)))
    if upstream.priority is not None:
        forwarded.append((names.PRIORITY, str(upstream.priority)))
    if upstream.copy_from:
        forwarded.append((names.CACHE_SOURCE, upstream.copy_from))
    if upstream.last_event_id:
        forwarded.append(("Last-Event-Id", upstream.last_event_id))
    if request.body_parts or request.method not in ("GET", "HEAD", "DELETE"):
        forwarded.append(("Content-Length", str(request.body_length)))
    return forwarded


def _encode_text(text: str) -> str:
    """Returns the UTF-8 octets of a text, in the form that headers have here.

    Spaces around it are left out: the library for HTTP/1.1 rejects a header with them.
    """
    return text.strip(" ").encode().decode("latin-1")


def _connection_options(headers: Headers) -> frozenset[str]:
    """Returns the headers that Connection declares as hop-by-hop."""
    options = set()
    for name, value in headers:
        if name == "connection":
            options.update(option.strip().lower() for option in value.split(","))
    return frozenset(options - _END_TO_END_HEADERS)


def decode_response(status: int, headers: Headers) -> ResponseHead:
    """Returns the status and decoded headers of a backend server's response.

    Malformed load, length and cold-start headers are ignored. What a different server at
    the address says of itself is ignored too.
    """
    fields = dict(headers)
    other_instance = status == names.STATUS_OTHER_INSTANCE
    return ResponseHead(
        status=status,
        headers=[(n, v) for n, v in headers if n not in _UNFORWARDED_HEADERS],
        request_id=_join_request_ids(headers),
        sealed=names.RESPONSE_SEAL in fields,
        not_run=names.NOT_EXECUTED in fields or other_instance,
        other_instance=other_instance,
        encoded="content-encoding" in fields,
        load=_parse_load(fields.get(names.SERVER_LOAD, "")),
        length=_parse_content_length(fields.get("content-length")),
        cold_s=_parse_cold_s(fields.get(names.COLD_MS)),
        leaving=not other_instance and _parse_leaving(headers),
        busy_s=_parse_busy_s(headers) if status == names.STATUS_BUSY else 0.0,
    )


def _join_request_ids(headers: Headers) -> str:
    """Returns the id of the request; different ones joined, which match no request."""
    return ", ".join(dict.fromkeys(v for n, v in headers if n == names.ATTEMPT_ID))


def _parse_busy_s(headers: Headers) -> float:
    """Returns the seconds for which the server wants no requests; 0 for none.

    Values that are no finite number of seconds have no effect, and longer times than
    :data:`MAX_BUSY_S` count as that. The longest of several values counts.
    """
    values = [v.strip() for n, v in headers if n == names.RETRY_AFTER]
    busy_s, invalid = 0.0, len(values) > 1
    for value in values:
        try:
            seconds = float(value)
        except ValueError:
            seconds = -1.0
        if 0 <= seconds < float("inf"):
            busy_s = max(busy_s, min(seconds, MAX_BUSY_S))
        invalid = invalid or not 0 <= seconds <= MAX_BUSY_S
    if invalid:
        log.info(
            "malformed or excessive retry time",
            extra={"value": repr(values)[:100], "busy_s": busy_s},
        )
    return busy_s


def _parse_leaving(headers: Headers) -> bool:
    """Tells whether the server says that it is leaving.

    If the header is repeated, one valid value is enough: a request sent to a server that
    is leaving may be lost, while a server taken out by mistake is only idle.
    """
    values = [v.strip() for n, v in headers if n == names.SERVER_LEAVING]
    if values and values != ["1"]:
        log.info("malformed leaving header", extra={"value": repr(values)[:100]})
    return "1" in values


def _parse_cold_s(text: str | None) -> float:
    if not text:
        return 0.0
    try:
        cold_s = float(text) / 1000
    except ValueError:
        cold_s = math.nan
    if not math.isfinite(cold_s):
        log.info(
            "ignoring malformed cold-start time",
            extra={"value": text[:MAX_LOGGED_CHARACTERS]},
        )
        return 0.0
    return max(0.0, cold_s)


def _parse_content_length(text: str | None) -> int | None:
    valid = text is not None and _WHOLE_NUMBER.fullmatch(text)
    return int(text) if valid else None


def _parse_load(text: str) -> Load | None:
    """Parses ``RUNNING,WAITING,SLOTS``; returns None if it is absent or malformed."""
    if not text:
        return None
    numbers = [part.strip() for part in text.split(",")]
    if len(numbers) != 3 or not all(map(_WHOLE_NUMBER.fullmatch, numbers)):
        log.info(
            "ignoring malformed load report",
            extra={"load": text[:MAX_LOGGED_CHARACTERS]},
        )
        return None
    return Load(*map(int, numbers))
