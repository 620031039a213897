"""Decodes requests of callers and answers of servers; encodes what is forwarded."""

import logging

from heatherswitch.gateway.model import CallerRequest, Load, PromptPart
from heatherswitch.gateway.upstream import ResponseHead, UpstreamContext
from heatherswitch.platform import names
from heatherswitch.util.http import BadRequest, Headers, Request

log = logging.getLogger("heatherswitch.platform.headers")

# Headers that a Connection header may not remove, since they belong to the request.
_END_TO_END = frozenset(
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


def decode_request(request: Request) -> CallerRequest:
    """Reads the fields that decide where a request goes.

    :raises BadRequest: if the id is missing or a field is malformed.
    """
    fields = {}
    for name, value in request.headers:
        if name in (names.ATTEMPT_ID, names.DEADLINE_MS, "host") and name in fields:
            raise BadRequest(400, f"the header {name} is repeated")
        fields.setdefault(name, value)
    attempt_id = fields.get(names.ATTEMPT_ID, "")
    if not attempt_id:
        raise BadRequest(400, f"the header {names.ATTEMPT_ID} is missing")
    return CallerRequest(
        id=attempt_id,
        host=fields.get("host", "").rsplit(":", 1)[0].lower(),
        path=_path(request.target),
        deadline_s=_deadline_s(fields.get(names.DEADLINE_MS)),
        api_key=_key(fields.get(names.AUTHORIZATION, "")),
        prompt_parts=_parts(fields.get(names.PROMPT_PREFIX, "")),
        last_event_id=fields.get(names.LAST_EVENT_ID, ""),
    )


def _path(target: str) -> str:
    path = target.split("?", 1)[0]
    if path.startswith("/"):
        return path
    # Absolute form: scheme://host/path.
    _, _, rest = path.partition("://")
    return "/" + rest.partition("/")[2]


def _deadline_s(text: str | None) -> float | None:
    if text is None:
        return None
    try:
        milliseconds = float(text)
    except ValueError:
        raise BadRequest(400, "the deadline is not a number") from None
    if not 0 <= milliseconds < float("inf"):
        raise BadRequest(400, "the deadline is out of range")
    return milliseconds / 1000


def _key(authorization: str) -> str:
    scheme, _, key = authorization.partition(" ")
    return key.strip() if scheme.lower() == names.KEY_SCHEME else ""


def _parts(text: str) -> tuple[PromptPart, ...]:
    """Reads ``ID:TOKENS,...``; a malformed list only costs the cache affinity."""
    parts = []
    for item in filter(None, text.split(",")):
        part_id, _, tokens = item.strip().partition(":")
        if not tokens.isascii() or not tokens.isdigit():
            log.info("prompt parts are malformed", extra={"parts": text[:200]})
            return ()
        parts.append(PromptPart(part_id, int(tokens)))
    return tuple(parts)


def encode_request(request: Request, upstream: UpstreamContext) -> Headers:
    """Returns the headers for one backend server."""
    dropped = _connection_options(request.headers)
    sent = []
    for name, value in request.headers:
        if name in names.HOP_BY_HOP or name in names.RESERVED or name in dropped:
            continue
        if name == names.LAST_EVENT_ID and upstream.last_event_id:
            continue
        sent.append((name, value))
    sent.append(("X-Deadline-Ms", str(max(1, int(upstream.time_left_s * 1000)))))
    sent.append((names.EXPECT_INSTANCE, upstream.server_id))
    if upstream.workspace:
        sent.append((names.WORKSPACE, upstream.workspace))
    if upstream.priority is not None:
        sent.append((names.PRIORITY, str(upstream.priority)))
    if upstream.copy_from:
        sent.append((names.COPY_FROM, upstream.copy_from))
    if upstream.last_event_id:
        sent.append(("Last-Event-Id", upstream.last_event_id))
    if request.body or request.method not in ("GET", "HEAD", "DELETE"):
        sent.append(("Content-Length", str(len(request.body))))
    return sent


def _connection_options(headers: Headers) -> frozenset[str]:
    options = set()
    for name, value in headers:
        if name == "connection":
            options.update(option.strip().lower() for option in value.split(","))
    return frozenset(options - _END_TO_END)


def decode_answer(status: int, headers: Headers) -> ResponseHead:
    """Reads what a backend server says with its answer."""
    fields = dict(headers)
    return ResponseHead(
        status=status,
        headers=[(n, v) for n, v in headers if n not in names.HOP_BY_HOP],
        request_id=fields.get(names.ATTEMPT_ID, ""),
        sealed=names.SEAL in fields,
        not_run=names.NOT_EXECUTED in fields or status == names.STATUS_OTHER_INSTANCE,
        other_instance=status == names.STATUS_OTHER_INSTANCE,
        encoded="content-encoding" in fields,
        load=_load(fields.get(names.SERVER_LOAD, "")),
        length=_length(fields.get("content-length")),
        cold_s=_cold_s(fields.get(names.COLD_MS)),
    )


def _cold_s(text: str | None) -> float:
    try:
        return max(0.0, float(text or 0) / 1000)
    except ValueError:
        log.info("cold time is malformed", extra={"value": text})
        return 0.0


def _length(text: str | None) -> int | None:
    return int(text) if text is not None and text.isdigit() else None


def _load(text: str) -> Load | None:
    """Reads ``RUNNING,WAITING,SLOTS``."""
    if not text:
        return None
    try:
        running, waiting, slots = (int(part) for part in text.split(","))
    except ValueError:
        log.info("load report is malformed", extra={"load": text[:100]})
        return None
    return Load(running, waiting, slots)
