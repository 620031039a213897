"""Parses and formats messages of the OpenAI API: chat completions and models."""

import json
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from heatherswitch.router.errors import ErrorResponse, InvalidRequest
from heatherswitch.statecore.hashing import hash64

# Limit for chat ids, cache keys and model names, in characters.
MAX_NAME_LENGTH = 256
EVENT_STREAM = "text/event-stream"


@dataclass(frozen=True, slots=True)
class ChatRequest:
    """The routing-relevant fields of a chat completion request.

    :param model: name of the service that serves the model.
    :param chat_key: identifies the chat within its workspace; equal for all its
        requests, so that they reach the server that caches their prefix.
    :param stream: True if the caller asked for server-sent events.
    """

    model: str
    chat_key: str
    stream: bool


def parse_chat_request(body: bytes, chat_id: str, workspace: str) -> ChatRequest:
    """Parses the body of ``POST /v1/chat/completions``.

    :param chat_id: value of ``X-Chat-Id``, or an empty string.
    :raises InvalidRequest: if the body or the chat id is invalid.
    """
    try:
        value = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise _invalid("invalid_json", f"the body is not valid JSON: {error}") from None
    if not isinstance(value, dict):
        raise _invalid("invalid_json", "the body must be a JSON object")
    model = _validated_name(value.get("model"), "model")
    messages = _validated_messages(value.get("messages"))
    stream = value.get("stream")
    if stream is not None and not isinstance(stream, bool):
        raise _invalid("invalid_stream", "'stream' must be true or false")
    key = _chat_key(value, chat_id, workspace, messages)
    return ChatRequest(model, key, bool(stream))


def _validated_messages(value: Any) -> list[dict[str, Any]]:
    if not isinstance(value, list) or not value:
        raise _invalid("invalid_messages", "'messages' must be a list with a message")
    for index, message in enumerate(value):
        if not isinstance(message, dict) or not isinstance(message.get("role"), str):
            raise _invalid("invalid_messages", f"messages[{index}] needs a role")
        if not isinstance(message.get("content"), str | list | None):
            raise _invalid(
                "invalid_messages",
                f"messages[{index}].content must be text or parts",
            )
    return value


def _chat_key(
    value: dict[str, Any], chat_id: str, workspace: str, messages: list[dict[str, Any]]
) -> str:
    if chat_id:
        return "id:" + _validated_name(chat_id, "X-Chat-Id")
    cache_key = value.get("prompt_cache_key")
    if cache_key is not None:
        return "id:" + _validated_name(cache_key, "prompt_cache_key")
    # The first system and user messages are the same in all turns of a chat.
    first_by_role = {}
    for message in messages:
        first_by_role.setdefault(message["role"], message.get("content"))
    system = first_by_role.get("system", first_by_role.get("developer"))
    parts = (
        json.dumps(part, sort_keys=True) for part in (system, first_by_role.get("user"))
    )
    return f"hash:{hash64(workspace, *parts):016x}"


def _validated_name(value: Any, name: str) -> str:
    valid = isinstance(value, str) and 0 < len(value) <= MAX_NAME_LENGTH
    if not valid or not value.isprintable():
        raise _invalid(
            f"invalid_{name.lower().replace('-', '_')}",
            f"{name!r} must be 1 to {MAX_NAME_LENGTH} printable characters",
        )
    return value


def _invalid(code: str, message: str) -> InvalidRequest:
    return InvalidRequest(400, code, message)


def models_body(services: Iterable[str]) -> dict[str, Any]:
    """Returns the body of ``GET /v1/models``."""
    models = [
        {"id": name, "object": "model", "created": 0, "owned_by": "heatherswitch"}
        for name in services
    ]
    return {"object": "list", "data": models}


def stream_error_event(error: ErrorResponse, request_id: str) -> bytes:
    """Returns a server-sent event that reports the failure of a stream.

    It starts with an empty line, which terminates an event that was sent in part.
    """
    data = json.dumps(error.body(request_id), separators=(",", ":"))
    return f"\n\ndata: {data}\n\n".encode()
