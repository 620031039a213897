"""The answer that the stand-in engine gives, derived from the request alone.

A caller can therefore check that an answer is whole and belongs to its request.
"""

from collections.abc import Sequence
from typing import Any

import xxhash

# Number of words without max_tokens: at least this, plus up to the spread.
MIN_WORDS = 16
WORDS_SPREAD = 32


def prompt_words(messages: Sequence[dict[str, Any]]) -> list[str]:
    """Renders messages as words; a word stands for a token.

    The result ends with the mark that starts the answer, so that the prompt of
    a chat's next turn has the former prompt and answer as a prefix.
    """
    words: list[str] = []
    for message in messages:
        words.append(f"<{message['role']}>")
        words += str(message.get("content") or "").split()
    words.append("<assistant>")
    return words


def prompt_digest(words: Sequence[str]) -> str:
    """Returns 16 hex digits that identify a prompt."""
    return xxhash.xxh3_64_hexdigest("\n".join(words).encode())


def answer_words(words: Sequence[str], max_tokens: int | None = None) -> list[str]:
    """Returns the words of the answer to a prompt.

    :param words: result of :func:`prompt_words`.
    :param max_tokens: exact number of words, or None for a derived number.
    """
    digest = prompt_digest(words)
    count = max_tokens or MIN_WORDS + int(digest[:4], 16) % WORDS_SPREAD
    answer = [digest, *(f"{digest[:4]}-{index}" for index in range(1, count))]
    if count > 1:
        answer[-1] = f"end-{digest}"
    return answer


def expected_answer(
    messages: Sequence[dict[str, Any]], max_tokens: int | None = None
) -> str:
    """Returns the text that a whole and right answer has."""
    return " ".join(answer_words(prompt_words(messages), max_tokens))
