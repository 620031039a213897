"""Records in which gateways tell each other of backend servers that leave."""

import json

from heatherswitch.fleet.peer_messages import MAX_KEY_BYTES
from heatherswitch.gateway.model import ServerStart
from heatherswitch.util.untrusted import (
    describe_error,
    parse_object,
    read_field,
    require_integer,
    require_token,
)

LEAVING_PREFIX = "heatherswitch/leaving/"


class LeavingRecordError(ValueError):
    """A record of a server that leaves is malformed."""


def encode_leaving(start: ServerStart) -> tuple[str, bytes] | None:
    """Returns key and value of the record; None if its key is too long to be sent."""
    key = LEAVING_PREFIX + start.id
    if len(key.encode()) > MAX_KEY_BYTES:
        return None
    return key, json.dumps({"incarnation": start.incarnation}).encode()


def decode_leaving(key: str, value: bytes) -> ServerStart:
    """Decodes a record.

    :raises LeavingRecordError: if it is malformed or states no start, so that it would
        apply to a later start as well.
    """
    try:
        incarnation = read_field(parse_object(value), "incarnation", require_integer)
        if incarnation == 0:
            raise LeavingRecordError("record of a leaving server: no incarnation")
        return ServerStart(require_token(key.removeprefix(LEAVING_PREFIX)), incarnation)
    except LeavingRecordError:
        raise
    except ValueError as error:
        message = f"record of a leaving server: {describe_error(error)}"
        raise LeavingRecordError(message) from error
