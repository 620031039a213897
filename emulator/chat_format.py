"""OpenAI chat completions format of the stand-in engine's requests and responses."""

import json
from typing import Any

from emulator.batching import Generation
from emulator.completions import completion_words, prompt_words
from heatherswitch.util.clock import Clock
from heatherswitch.util.http import BadRequest, Request

# Priority of a request that does not state one; 0 runs first.
DEFAULT_PRIORITY = 5
MAX_OUTPUT_TOKENS = 4096


def parse_chat(request: Request) -> dict[str, Any]:
    """Returns the body of a chat completions request.

    Its ``max_tokens`` is always present, and None without a limit.

    :raises BadRequest: if the body is invalid.
    """
    body = request.json()
    messages = body.get("messages") if isinstance(body, dict) else None
    if not isinstance(messages, list) or not messages:
        raise BadRequest(400, "messages must be a list that is not empty")
    for message in messages:
        if not isinstance(message, dict) or not isinstance(message.get("role"), str):
            raise BadRequest(400, "each message must be an object with a role")
    max_tokens = body.get("max_tokens", body.get("max_completion_tokens"))
    if max_tokens is not None and not (
        isinstance(max_tokens, int) and 0 < max_tokens <= MAX_OUTPUT_TOKENS
    ):
        raise BadRequest(400, f"max_tokens must be 1 to {MAX_OUTPUT_TOKENS}")
    return {**body, "max_tokens": max_tokens}


def build_generation(
    body: dict[str, Any], request: Request, request_id: str
) -> Generation:
    """Returns the generation to submit to the engine for a parsed request.

    :raises BadRequest: if the priority is not a number.
    """
    prompt = prompt_words(body["messages"])
    priority = body.get("priority", request.header("x-priority") or DEFAULT_PRIORITY)
    try:
        priority = int(priority)
    except (TypeError, ValueError):
        raise BadRequest(400, "priority must be a number") from None
    completion = completion_words(prompt, body["max_tokens"])
    return Generation(request_id, prompt, completion, priority)


def finish_reason(body: dict[str, Any]) -> str:
    """Returns ``length`` for a request with a token limit, else ``stop``."""
    return "length" if body["max_tokens"] else "stop"


def token_usage(generation: Generation) -> dict[str, Any]:
    """Returns the ``usage`` object of a response."""
    prompt, output = len(generation.prompt), len(generation.completion)
    return {
        "prompt_tokens": prompt,
        "completion_tokens": output,
        "total_tokens": prompt + output,
        "prompt_tokens_details": {"cached_tokens": generation.cached_tokens},
    }


def response_envelope(body, generation: Generation, kind: str) -> dict[str, Any]:
    """Returns the fields that a completion and each of its chunks have in common.

    :param kind: value of the ``object`` field.
    """
    return {
        "id": f"chatcmpl-{generation.request_id}",
        "object": kind,
        "created": int(Clock().now()),
        "model": body.get("model", ""),
    }


def encode_chunk_event(
    envelope: dict[str, Any], delta: dict[str, Any], reason
) -> bytes:
    """Returns the server-sent event of one chunk.

    :param reason: finish reason, or None before the last chunk.
    """
    choice = {"index": 0, "delta": delta, "finish_reason": reason}
    return b"data: " + json.dumps({**envelope, "choices": [choice]}).encode() + b"\n\n"
