"""Messages between routers of a fleet, one in a datagram, in MessagePack.

A message is an array. What follows the known elements is ignored, and so is a message
of an unknown kind or version, so that two releases run side by side.
"""

from dataclasses import dataclass
from enum import IntEnum
from typing import Any

import msgpack

from heatherswitch.fleet.counters import Count

VERSION = 1
# Counts and holders that one message may carry, so that a datagram fits a packet.
MAX_COUNTS = 40
MAX_KEY_BYTES = 200


class PeerMessageError(Exception):
    """Bytes that are no message of this version."""


class Kind(IntEnum):
    """What a message wants."""

    # The sender's counts; wants no answer.
    TELL = 1
    # The sender's counts; wants those of all others.
    ASK = 2
    # The answer: counts of all others.
    TOLD = 3


@dataclass(frozen=True, slots=True)
class Holder:
    """A server that holds a part of prompts.

    :param server: id of the server, or an empty string for none.
    """

    part: str
    server: str


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """One message.

    :param run: differs between two starts of the sender.
    :param number: rises with each message of a start.
    :param question: number that the answer to a question repeats; 0 for none.
    :param holders: of a question, the server that gets a request with the part; of an
        answer, another server that holds it.
    """

    kind: Kind
    run: int
    number: int
    question: int
    counts: tuple[Count, ...]
    holders: tuple[Holder, ...] = ()


def encode(message: PeerMessage) -> bytes:
    """Returns the bytes of a message."""
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
        ]
    )


def decode(data: bytes) -> PeerMessage:
    """Reads a message.

    :raises PeerMessageError: if the bytes are none that this release understands.
    """
    try:
        version, kind, run, number, question, counts, holders, *_ = msgpack.unpackb(
            data
        )
        if version != VERSION or len(counts) + len(holders) > MAX_COUNTS:
            raise ValueError(f"version {version} with {len(counts)} counts")
        return PeerMessage(
            Kind(kind),
            _number(run),
            _number(number),
            _number(question),
            tuple(Count(_key(key), _number(value)) for key, value, *_ in counts),
            tuple(Holder(_key(part), _key(server)) for part, server, *_ in holders),
        )
    except (ValueError, TypeError, msgpack.UnpackException) as error:
        raise PeerMessageError(f"no message of a router: {error!r}") from error


def _number(value: Any) -> int:
    if type(value) is not int or value < 0:
        raise ValueError(f"{value!r} is no number")
    return value


def _key(value: Any) -> str:
    if not isinstance(value, str) or len(value.encode()) > MAX_KEY_BYTES:
        raise ValueError("a key is no short text")
    return value
