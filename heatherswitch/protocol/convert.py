"""Converts members, loads and store entries to and from protocol messages."""

from heatherswitch.fleet.members import Load, Member, MemberState, Role
from heatherswitch.protocol import heatherswitch_pb2 as pb
from heatherswitch.statecore.replica import Entry

# Maximum length of an id, name, zone or address in a received message, in characters.
MAX_NAME_LENGTH = 255
MAX_UINT32 = 2**32 - 1
# Upper limit of received counters and revisions, so that an incremented one still fits
# the 64-bit field.
MAX_COUNTER = 2**63

_ROLES = {pb.ROUTER: Role.ROUTER, pb.AGENT: Role.AGENT}
_ROLE_NUMBERS = {role: number for number, role in _ROLES.items()}
_STATES = {
    pb.STARTING: MemberState.STARTING,
    pb.LIVE: MemberState.LIVE,
    pb.LEAVING_STATE: MemberState.LEAVING,
    pb.GONE: MemberState.GONE,
}
_STATE_NUMBERS = {state: number for number, state in _STATES.items()}


class InvalidMessageError(Exception):
    """A received message contains an invalid value."""


def load_to_message(load: Load, agent_id: str = "", age_s: float = 0.0) -> pb.AgentLoad:
    """Converts a load to its protocol message.

    Numbers beyond the range of the message fields are clamped.

    :param agent_id: agent that the load belongs to; empty if the message implies it.
    :param age_s: age of the load, in seconds.
    """
    return pb.AgentLoad(
        agent_id=agent_id,
        running=_uint32(load.running),
        queued=_uint32(load.queued),
        limit=_uint32(load.limit),
        age_ms=_uint32(int(age_s * 1000)),
    )


def load_from_message(message: pb.AgentLoad) -> Load:
    """Converts a protocol message to a load."""
    return Load(message.running, message.queued, message.limit)


def member_to_message(member: Member) -> pb.MemberRecord:
    """Converts a member record to its protocol message."""
    record = pb.MemberRecord(
        id=member.id,
        role=_ROLE_NUMBERS[member.role],
        region=member.region,
        zone=member.zone,
        address=member.address,
        incarnation=member.incarnation,
        heartbeat=member.heartbeat,
        state=_STATE_NUMBERS[member.state],
        service=member.service,
        version=member.version,
        cold=member.cold,
        config_revision=member.config_revision,
    )
    if member.role is Role.AGENT:
        record.load.CopyFrom(load_to_message(member.load))
    return record


def member_from_message(message: pb.MemberRecord) -> Member:
    """Converts a protocol message to a member record.

    :raises InvalidMessageError: if the id is missing, a name is too long, a number is
        too large, or the role, state or address is invalid.
    """
    texts = (message.id, message.zone, message.region, message.address)
    if not message.id:
        raise InvalidMessageError("member record without id")
    if any(
        len(t) > MAX_NAME_LENGTH for t in (*texts, message.service, message.version)
    ):
        raise InvalidMessageError("member record with an over-long name")
    if message.role not in _ROLES or message.state not in _STATES:
        raise InvalidMessageError(
            f"member record {message.id!r} with unknown role or state"
        )
    if (
        max(message.incarnation, message.heartbeat, message.config_revision)
        > MAX_COUNTER
    ):
        raise InvalidMessageError(
            f"member record {message.id!r} with an over-large number"
        )
    host, _, port = message.address.rpartition(":")
    if not host or not port.isascii() or not port.isdigit():
        raise InvalidMessageError(f"member record {message.id!r} without host:port")
    return Member(
        id=message.id,
        role=_ROLES[message.role],
        zone=message.zone,
        address=message.address,
        incarnation=message.incarnation,
        region=message.region,
        heartbeat=message.heartbeat,
        state=_STATES[message.state],
        service=message.service,
        version=message.version,
        load=load_from_message(message.load),
        cold=message.cold,
        config_revision=message.config_revision,
    )


def entry_to_message(entry: Entry) -> pb.ConfigEntry:
    """Converts a store entry to its protocol message."""
    return pb.ConfigEntry(
        key=entry.key,
        mod_revision=entry.mod_revision,
        value=entry.value or b"",
        deleted=entry.value is None,
    )


def entry_from_message(message: pb.ConfigEntry) -> Entry:
    """Converts a protocol message to a store entry.

    :raises InvalidMessageError: if the key is missing or the revision is missing or out
        of range.
    """
    if not message.key or not 0 < message.mod_revision < MAX_COUNTER:
        raise InvalidMessageError("configuration entry without key or valid revision")
    value = None if message.deleted else message.value
    return Entry(message.key, message.mod_revision, value)


def _uint32(value: int) -> int:
    return max(0, min(value, MAX_UINT32))
