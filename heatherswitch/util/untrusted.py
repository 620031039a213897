"""Reads JSON documents and fields that other programs wrote.

Every malformed value raises :class:`MalformedInput`, whose message has a bounded length.
"""

import json
import math
import re
import reprlib
from collections.abc import Callable
from typing import Any

# Largest integer that is accepted: the largest that fits a signed 64-bit field.
MAX_INTEGER = 2**63 - 1
MAX_PORT = 65535
# Largest length of an error message, in characters. Decoders quote their input.
MAX_ERROR_CHARACTERS = 200


_REQUIRED = object()
# Shows two levels of nesting, since the length grows with a power of their number.
_SHORT_REPR = reprlib.Repr()
_SHORT_REPR.maxlevel = 2


class MalformedInput(ValueError):
    """A document or field of another program is malformed.

    :param field: name of the field; empty if unknown. Unlike the message, it shows
        nothing of the value.
    """

    def __init__(self, message: str, field: str = "") -> None:
        super().__init__(f"{field}: {message}" if field else message)
        self.field = field


def parse_json(data: bytes | str) -> Any:
    """Parses a JSON document.

    :raises MalformedInput: if it is not JSON, is nested too deeply to be parsed, or holds
        an integer with more digits than Python converts.
    """
    try:
        return json.loads(data)
    except RecursionError:
        raise MalformedInput("the document is nested too deeply") from None
    except (ValueError, TypeError) as error:
        raise MalformedInput(describe_error(error)) from None


def parse_object(data: bytes | str) -> dict[str, Any]:
    """Parses a JSON document that must be an object.

    :raises MalformedInput: if it is anything else.
    """
    return require_object(parse_json(data))


def require_object(value: Any) -> dict[str, Any]:
    """Returns a value that must be a mapping."""
    if not isinstance(value, dict):
        raise MalformedInput(f"a value of type {type(value).__name__} is no object")
    return value


def require_list(value: Any) -> list[Any]:
    """Returns a value that must be a list."""
    if not isinstance(value, list):
        raise MalformedInput(f"a value of type {type(value).__name__} is no list")
    return value


def require_string(value: Any) -> str:
    """Returns a value that must be text without lone surrogates, as UTF-8 can encode."""
    if not isinstance(value, str):
        raise MalformedInput(f"{describe(value)} is not a string")
    try:
        value.encode()
    except UnicodeEncodeError:
        raise MalformedInput(f"{describe(value)} holds a lone surrogate") from None
    return value


def require_name(value: Any) -> str:
    """Returns a value that must be text without control characters and surrogates."""
    if not isinstance(value, str) or not value.isprintable():
        raise MalformedInput(f"{describe(value)} is not printable text")
    return value


def require_token(value: Any) -> str:
    """Returns a value that must be ASCII text without spaces, as a header can hold."""
    if not isinstance(value, str) or not re.fullmatch(r"[!-~]+", value):
        raise MalformedInput(f"{describe(value)} is not ASCII text without spaces")
    return value


def require_port(text: str) -> int:
    """Returns the number of a port that can be connected to, 1 to 65535."""
    if not re.fullmatch(r"[0-9]{1,5}", text) or not 1 <= int(text) <= MAX_PORT:
        raise MalformedInput(f"{describe(text)} is not a port")
    return int(text)


def require_integer(value: Any, minimum: int = 0, maximum: int = MAX_INTEGER) -> int:
    """Returns a value that must be a whole number in a range, both ends included."""
    if isinstance(value, float) and value.is_integer():
        value = int(value)
    if isinstance(value, bool) or not isinstance(value, int):
        raise MalformedInput(f"{describe(value)} is not a whole number")
    if not minimum <= value <= maximum:
        raise MalformedInput(f"{describe(value)} is out of range")
    return value


def require_boolean(value: Any) -> bool:
    """Returns a value that must be true or false."""
    if not isinstance(value, bool):
        raise MalformedInput(f"{describe(value)} is not true or false")
    return value


def require_number(value: Any) -> float:
    """Returns a value that must be a finite number, as a float."""
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise MalformedInput(f"{describe(value)} is not a number")
    try:
        number = float(value)
    except OverflowError:
        number = math.inf
    if not math.isfinite(number):
        raise MalformedInput(f"{describe(value)} is not a finite number")
    return number


def read_field(
    item: dict[str, Any],
    name: str,
    require: Callable[[Any], Any],
    default: Any = _REQUIRED,
) -> Any:
    """Returns a field of an object, checked by one of the functions above.

    :param default: result if the field is missing or null; without it that is an error.
    :raises MalformedInput: if the field is malformed; names it.
    """
    value = item.get(name)
    if value is None and default is not _REQUIRED:
        return default
    try:
        return require(value)
    except MalformedInput as error:
        raise MalformedInput(str(error), name) from None


def describe(value: Any) -> str:
    """Returns the start of a value's representation, whatever its size and nesting."""
    return _SHORT_REPR.repr(value)[:MAX_ERROR_CHARACTERS]


def describe_error(error: BaseException) -> str:
    """Returns an error's type and the start of its message.

    The representation of some errors, as of UnicodeDecodeError, holds the whole input.
    """
    text = str(error)[:MAX_ERROR_CHARACTERS]
    return (
        text if isinstance(error, MalformedInput) else f"{type(error).__name__}: {text}"
    )
