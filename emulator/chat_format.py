"""OpenAI chat completions form of the stand-in engine's requests and answers."""

import json
from typing import Any

from emulator.answers import answer_words, prompt_words
from emulator.batching import Generation
from heatherswitch.util.clock import Clock
from heatherswitch.util.http import BadRequest, Request

# Priority of a request that names none; 0 runs first.
DEFAULT_PRIORITY = 5
MAX_OUTPUT_TOKENS = 4096


def parse_chat(request: Request) -> dict[str, Any]:
    """Reads a chat completions request; ``max_tokens`` is set, perhaps to None.

    :raises BadRequest: if the body is invalid.
    """
    body = request.json()
    messages = body.get("messages") if isinstance(body, dict) else None
    if not isinstance(messages, list) or not messages:
        raise BadRequest(400, "messages must be a list that is not empty")
    for message in messages:
        if not isinstance(message, dict) or not isinstance(message.get("role"), str):
            raise BadRequest(400, "each message must be an object with a role")
    limit = body.get("max_tokens", body.get("max_completion_tokens"))
    if limit is not None and not (
        isinstance(limit, int) and 0 < limit <= MAX_OUTPUT_TOKENS
    ):
        raise BadRequest(400, f"max_tokens must be 1 to {MAX_OUTPUT_TOKENS}")
    return {**body, "max_tokens": limit}


def generation_for(
    body: dict[str, Any], request: Request, request_id: str
) -> Generation:
    """Builds the work that a request asks for.

    :raises BadRequest: if the priority is not a number.
    """
    prompt = prompt_words(body["messages"])
    priority = body.get("priority", request.header("x-priority") or DEFAULT_PRIORITY)
    try:
        priority = int(priority)
    except (TypeError, ValueError):
        raise BadRequest(400, "priority must be a number") from None
    words = answer_words(prompt, body["max_tokens"])
    return Generation(request_id, prompt, words, priority)


def finish_reason(body: dict[str, Any]) -> str:
    """Returns why the answer ends."""
    return "length" if body["max_tokens"] else "stop"


def usage(generation: Generation) -> dict[str, Any]:
    """Returns the token counts of an answer."""
    prompt, output = len(generation.prompt), len(generation.words)
    return {
        "prompt_tokens": prompt,
        "completion_tokens": output,
        "total_tokens": prompt + output,
        "prompt_tokens_details": {"cached_tokens": generation.cached},
    }


def envelope(body, generation: Generation, kind: str) -> dict[str, Any]:
    """Returns the fields that all parts of an answer share."""
    return {
        "id": f"chatcmpl-{generation.request_id}",
        "object": kind,
        "created": int(Clock().now()),
        "model": body.get("model", ""),
    }


def chunk_event(shared: dict[str, Any], delta: dict[str, Any], reason) -> bytes:
    """Returns one server-sent event with a part of the answer."""
    choice = {"index": 0, "delta": delta, "finish_reason": reason}
    return b"data: " + json.dumps({**shared, "choices": [choice]}).encode() + b"\n\n"
