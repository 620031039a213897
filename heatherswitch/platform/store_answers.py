"""Decodes the responses of the platform's store."""

import base64
import logging
from collections.abc import Iterable
from typing import Any

from heatherswitch.statecore.replica import Entry
from heatherswitch.statecore.store import (
    UNREADABLE_VALUE,
    StoreError,
    StoreRestored,
    UnusableResponse,
)
from heatherswitch.util.fairness import Turn
from heatherswitch.util.record import Record
from heatherswitch.util.untrusted import (
    MalformedInput,
    describe,
    describe_error,
    read_field,
    require_integer,
    require_list,
    require_object,
)

log = logging.getLogger("heatherswitch.platform.store_answers")


class Answer(Record):
    """A response of the store.

    :param payload: the parsed JSON body.
    :param era: how often the store had been restored from a backup when it responded; 0
        if it doesn't say.
    """

    __slots__ = ("status", "payload", "era")

    def __init__(self, status: int, payload: Any, era: int) -> None:
        self.status = status
        self.payload = payload
        self.era = era

    def require(self, status: int) -> dict:
        """Returns the body, an object.

        :raises StoreError: if it is none, or the status is another one.
        """
        if self.status != status or not isinstance(self.payload, dict):
            raise StoreError(f"status {self.status}: {describe(self.payload)}")
        return self.payload


def common_era(eras: Iterable[int]) -> int:
    """Returns the era of all parts of a read.

    :raises StoreRestored: if the store was restored while they were read.
    """
    found = set(eras)
    if len(found) != 1:
        raise StoreRestored(f"parts of a read are of eras {sorted(found)}")
    return found.pop()


def integer_field(payload: dict, name: str) -> int:
    """Returns a whole number from 0.

    :raises UnusableResponse: if it is none.
    """
    try:
        return require_integer(payload.get(name))
    except MalformedInput as error:
        raise UnusableResponse(f"malformed response: {name}: {error}") from error


async def decode_entries(payload: dict, name: str, era: int) -> list[Entry]:
    """Decodes the events of a watch.

    :raises UnusableResponse: if they are no list, or one lacks its key or revision.
        Without it the changes would not be complete, so all entries are read instead.
    """
    turn = Turn("response of the store")
    entries = []
    for item in _list_field(payload, name):
        entries.append(decode_entry(item, era))
        await turn.pause_if_due()
    return entries


async def decode_readable_entries(page: dict, era: int) -> list[Entry]:
    """Decodes the items of a page; one that can't be read hides no other one.

    An item without a key is left out. One without a revision gets that of the page, of
    which its value is a part.

    :raises UnusableResponse: if they are no list.
    """
    turn = Turn("response of the store")
    revision = integer_field(page, "as_of")
    entries = []
    for item in _list_field(page, "items"):
        try:
            entries.append(decode_entry(item, era))
        except UnusableResponse as error:
            log.warning("item of the store cannot be read", extra={"error": str(error)})
            if isinstance(item, dict) and isinstance(item.get("key"), str):
                entries.append(decode_entry({**item, "revision": revision}, era))
        await turn.pause_if_due()
    return entries


def _list_field(payload: dict, name: str) -> list[Any]:
    """Returns a list that is empty if the field is missing.

    :raises UnusableResponse: if it is no list.
    """
    try:
        return read_field(payload, name, require_list, [])
    except MalformedInput as error:
        raise UnusableResponse(f"malformed response: {error}") from error


def decode_entry(item: Any, era: int) -> Entry:
    """Decodes an item, or the tombstone of a deleted key.

    A value that cannot be read is replaced by one that the decoders of entries reject,
    so that it does not hide the other items of its page.

    :raises UnusableResponse: if the key or the revision is malformed.
    """
    try:
        key = require_object(item)["key"]
        revision = require_integer(item["revision"])
        if not isinstance(key, str):
            raise MalformedInput(f"the key {describe(key)} is not a string")
    except (KeyError, MalformedInput) as error:
        raise UnusableResponse(f"malformed item: {describe_error(error)}") from error
    if item.get("tombstone"):
        return Entry(key, revision, None, era)
    try:
        value = base64.b64decode(item["value"], validate=True)
        return Entry(key, revision, value, era)
    except (KeyError, TypeError, ValueError) as error:
        log.warning(
            "value of a store entry cannot be read",
            extra={"key": key, "error": describe_error(error)},
        )
        return Entry(key, revision, UNREADABLE_VALUE, era)
