"""Results of a claim, and the records of a claim journal with their stored form.

A segment of the journal holds one JSON line per record. Idempotency keys are stored as
digests and requests as fingerprints, so the store holds no request content.
"""

import base64
import hashlib
import json
from collections.abc import Iterable
from dataclasses import dataclass

from heatherswitch.fleet.records import RecordError
from heatherswitch.util.untrusted import (
    describe,
    describe_error,
    parse_json,
    require_integer,
    require_list,
    require_number,
    require_string,
)

# Size of the BLAKE2b digests of keys and requests, in bytes.
DIGEST_BYTES = 16
# Largest response (headers and body) that is stored for a replay, in bytes.
MAX_RESPONSE_BYTES = 4096

ResponseHeaders = tuple[tuple[str, str], ...]


@dataclass(frozen=True, slots=True)
class Claimed:
    """The claim is recorded and the caller may start the work, once.

    :param epoch: fencing token of the partition.
    """

    epoch: int


@dataclass(frozen=True, slots=True)
class Replay:
    """The request has run before; this is its stored response."""

    status: int
    headers: ResponseHeaders
    body: bytes


@dataclass(frozen=True, slots=True)
class AlreadyRunning:
    """The same request is already running in this process, as ``request_id``."""

    request_id: str


@dataclass(frozen=True, slots=True)
class ClaimOutcomeUnknown:
    """The request was claimed, but its outcome is not known.

    :param code: ``owner_lost`` when the process that claimed it is gone, or
        ``answer_not_stored`` when it ran and its response was too large to store.
    """

    code: str


@dataclass(frozen=True, slots=True)
class KeyReused:
    """The key was used before for a different request; this one was not run."""


@dataclass(frozen=True, slots=True)
class NotOwner:
    """This process does not own the partition; the request was not run.

    :param owner: id of the agent to try instead; empty when it is not known.
    """

    owner: str


@dataclass(frozen=True, slots=True)
class JournalUnavailable:
    """The claim cannot be recorded now; the request was not run and will not be."""


ClaimResult = (
    Claimed
    | Replay
    | AlreadyRunning
    | ClaimOutcomeUnknown
    | KeyReused
    | NotOwner
    | JournalUnavailable
)


@dataclass(frozen=True, slots=True)
class ClaimRecord:
    """A request may be started, once, by the process that wrote this record.

    :param digest: digest of workspace and idempotency key, in hex.
    :param claim_id: unique among all claims of the partition.
    :param at: time of the claim, in seconds since the epoch.
    :param fingerprint: digest of method, path and body, in hex.
    """

    digest: str
    claim_id: str
    at: float
    fingerprint: str
    request_id: str


@dataclass(frozen=True, slots=True)
class DoneRecord:
    """A claimed request has run.

    :param at: time of the response, in seconds since the epoch.
    :param body: None when the response was too large to store.
    """

    digest: str
    claim_id: str
    at: float
    status: int
    headers: ResponseHeaders
    body: bytes | None


@dataclass(frozen=True, slots=True)
class AbandonRecord:
    """A claimed request was not started, and never will be under this claim."""

    digest: str
    claim_id: str
    at: float


Record = ClaimRecord | DoneRecord | AbandonRecord


def key_digest(workspace: str, key: str) -> str:
    """Returns the digest of a workspace and an idempotency key, in hex."""
    hasher = hashlib.blake2b(digest_size=DIGEST_BYTES)
    # The length prefix gives ("a", "bc") and ("ab", "c") different digests.
    name = workspace.encode()
    hasher.update(len(name).to_bytes(4, "big") + name + key.encode())
    return hasher.hexdigest()


def body_fingerprint(method: str, path: str, body: bytes) -> str:
    """Returns the fingerprint of a request, in hex.

    :param path: path and query, as sent to the service.
    """
    hasher = hashlib.blake2b(digest_size=DIGEST_BYTES)
    hasher.update(json.dumps([method, path]).encode() + b"\n" + body)
    return hasher.hexdigest()


def done_record(
    claim: ClaimRecord, at: float, status: int, headers: ResponseHeaders, body: bytes
) -> DoneRecord:
    """Returns the record of a response.

    Headers and body are left out when they exceed :data:`MAX_RESPONSE_BYTES`.
    """
    size = len(body) + sum(len(name) + len(value) for name, value in headers)
    if size > MAX_RESPONSE_BYTES:
        return DoneRecord(claim.digest, claim.claim_id, at, status, (), None)
    return DoneRecord(claim.digest, claim.claim_id, at, status, tuple(headers), body)


def encode_record(record: Record) -> bytes:
    """Returns the stored form of a record, one JSON line."""
    common = [record.digest, record.claim_id, round(record.at, 3)]
    match record:
        case ClaimRecord():
            values = ["claim", *common, record.fingerprint, record.request_id]
        case DoneRecord():
            body = record.body
            text = None if body is None else base64.b64encode(body).decode()
            values = ["done", *common, record.status, record.headers, text]
        case AbandonRecord():
            values = ["abandon", *common]
    return json.dumps(values, separators=(",", ":")).encode() + b"\n"


def decode_segment(value: bytes) -> Iterable[Record]:
    """Yields the records of a stored segment.

    :raises RecordError: if a line is not a journal record.
    """
    for line in value.splitlines():
        try:
            yield _decode_record(require_list(parse_json(line)))
        except (ValueError, TypeError, IndexError) as error:
            message = f"invalid journal record: {describe_error(error)}"
            raise RecordError(message) from error


def _decode_record(values: list) -> Record:
    kind, digest, claim_id, at, *rest = values
    common = (require_string(digest), require_string(claim_id), require_number(at))
    if kind == "claim":
        return ClaimRecord(*common, *map(require_string, rest))
    if kind == "abandon":
        return AbandonRecord(*common, *rest)
    if kind == "done":
        status, headers, text = rest
        pairs = tuple((require_string(n), require_string(v)) for n, v in headers)
        body = None if text is None else base64.b64decode(text)
        return DoneRecord(*common, require_integer(status), pairs, body)
    raise ValueError(f"unknown record kind {describe(kind)}")
