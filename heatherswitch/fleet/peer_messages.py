"""Encoding of the messages between routers, one MessagePack array per datagram.

Array elements after the known ones are ignored, and so are messages of an unknown kind
or version, so that two releases can run side by side.
"""

from enum import IntEnum
from typing import Any

import msgpack

from heatherswitch.fleet.counters import Count
from heatherswitch.util.record import Record
from heatherswitch.util.untrusted import MAX_INTEGER, describe, describe_error

VERSION = 1
# Largest number of counts and holders in a message, so that a datagram fits into one
# packet.
MAX_COUNTS = 40
MAX_KEY_BYTES = 200
# Largest count, so that the sum over 60,000 routers fits the 64 bits of a message.
MAX_COUNT = 2**48
# Limits on the number of records in a message and on the bytes of each.
MAX_RECORDS = 4
MAX_RECORD_BYTES = 1000


class PeerMessageError(Exception):
    """The bytes are not a valid message of this version."""


class MessageKind(IntEnum):
    """Purpose of a message."""

    # Report of the sender's counts, without a response.
    TELL = 1
    # Query: the sender's counts, to be answered by the sums over all other routers.
    ASK = 2
    # Response to a query: the sums over all other routers.
    TOLD = 3
    # Records that the sender also writes to the store, without a response.
    RECORDS = 4


class PrefixHolder(Record):
    """A server that has a part of prompts in its prefix cache.

    :param part: id of the prompt part.
    :param server: id of the server, or an empty string for none.
    """

    __slots__ = (
        "part",
        "server",
    )

    def __init__(self, part: str, server: str) -> None:
        self.part = part
        self.server = server


class PeerMessage(Record):
    """One message.

    :param run: run number of the sender, which differs between its starts.
    :param number: sequence number within the run.
    :param question: in a response, the sequence number of the query; otherwise 0.
    :param counts: counts of the sender, or in a response the sums of the others.
    :param holders: in a query, the server that gets a request with the part; in an
        response, another server that holds the part.
    :param records: pairs of store key and value.
    """

    __slots__ = (
        "kind",
        "run",
        "number",
        "question",
        "counts",
        "holders",
        "records",
    )

    def __init__(
        self,
        kind: MessageKind,
        run: int,
        number: int,
        question: int,
        counts: tuple[Count, ...],
        holders: tuple[PrefixHolder, ...] = (),
        records: tuple[tuple[str, bytes], ...] = (),
    ) -> None:
        self.kind = kind
        self.run = run
        self.number = number
        self.question = question
        self.counts = counts
        self.holders = holders
        self.records = records


def encode(message: PeerMessage) -> bytes:
    """Returns the datagram for a message."""
    counts = [[count.key, count.value] for count in message.counts]
    holders = [[holder.part, holder.server] for holder in message.holders]
    return msgpack.packb(
        [
            VERSION,
            int(message.kind),
            message.run,
            message.number,
            message.question,
            counts,
            holders,
            message.records,
        ]
    )


def decode(data: bytes) -> PeerMessage:
    """Decodes a datagram.

    :raises PeerMessageError: if it is not a valid message of this version.
    """
    try:
        version, kind, run, number, question, counts, holders, *later = msgpack.unpackb(
            data
        )
        # Releases without records send none.
        records = later[0] if later else ()
        if version != VERSION or len(counts) + len(holders) > MAX_COUNTS:
            raise ValueError(
                f"unsupported version {describe(version)} or {len(counts)} counts"
            )
        if len(records) > MAX_RECORDS:
            raise ValueError(f"{len(records)} records")
        return PeerMessage(
            MessageKind(_decode_integer(kind)),
            _decode_integer(run),
            _decode_integer(number),
            _decode_integer(question),
            tuple(
                Count(_decode_string(key), _decode_integer(value, MAX_COUNT))
                for key, value, *_ in counts
            ),
            tuple(
                PrefixHolder(_decode_string(part), _decode_string(server))
                for part, server, *_ in holders
            ),
            tuple(
                (_decode_string(key), _decode_bytes(value))
                for key, value, *_ in records
            ),
        )
    except (ValueError, TypeError, msgpack.UnpackException) as error:
        message = f"invalid peer message: {describe_error(error)}"
        raise PeerMessageError(message) from error


def _decode_integer(value: Any, maximum: int = MAX_INTEGER) -> int:
    if type(value) is not int or not 0 <= value <= maximum:
        raise ValueError(f"{describe(value)} is not an integer from 0 to {maximum}")
    return value


def _decode_string(value: Any) -> str:
    if not isinstance(value, str) or len(value.encode()) > MAX_KEY_BYTES:
        raise ValueError("the key is not a string or is too long")
    return value


def _decode_bytes(value: Any) -> bytes:
    if not isinstance(value, bytes) or len(value) > MAX_RECORD_BYTES:
        raise ValueError("the record is not a byte string or is too long")
    return value
