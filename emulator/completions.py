"""Deterministic completions of the stand-in engine, computed from the prompt.

A caller can compute the expected completion too, and so detect a response that is
incomplete or belongs to another request.
"""

from collections.abc import Sequence
from typing import Any

import xxhash

# Without max_tokens a completion has MIN_COMPLETION_WORDS words plus a number below
# COMPLETION_WORDS_RANGE that depends on the prompt.
MIN_COMPLETION_WORDS = 16
COMPLETION_WORDS_RANGE = 32


def prompt_words(messages: Sequence[dict[str, Any]]) -> list[str]:
    """Renders messages as words; the stand-in engine counts each word as a token.

    The result ends with the marker of the assistant's turn, so that the prompt of a
    chat's next turn starts with the previous prompt and its completion.
    """
    words: list[str] = []
    for message in messages:
        words.append(f"<{message['role']}>")
        words += str(message.get("content") or "").split()
    words.append("<assistant>")
    return words


def prompt_digest(words: Sequence[str]) -> str:
    """Returns the XXH3 hash of a prompt as 16 hex digits."""
    return xxhash.xxh3_64_hexdigest("\n".join(words).encode())


def completion_words(words: Sequence[str], max_tokens: int | None = None) -> list[str]:
    """Returns the words of the completion of a prompt.

    The first word is the prompt's digest and the last one is ``end-`` and the digest.

    :param words: result of :func:`prompt_words`.
    :param max_tokens: exact number of words; None derives it from the prompt.
    """
    digest = prompt_digest(words)
    word_count = (
        max_tokens
        or MIN_COMPLETION_WORDS + int(digest[:4], 16) % COMPLETION_WORDS_RANGE
    )
    completion = [digest, *(f"{digest[:4]}-{index}" for index in range(1, word_count))]
    if word_count > 1:
        completion[-1] = f"end-{digest}"
    return completion


def expected_completion(
    messages: Sequence[dict[str, Any]], max_tokens: int | None = None
) -> str:
    """Returns the text of the complete and correct completion of a chat."""
    return " ".join(completion_words(prompt_words(messages), max_tokens))
