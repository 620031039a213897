"""Converts members, loads and entries to and from protocol messages."""

from heatherswitch.fleet.members import Load, Member, MemberState, Role
from heatherswitch.protocol import heatherswitch_pb2 as pb
from heatherswitch.statecore.replica import Entry

# Longest id, name, zone or address that a message may carry, in characters.
MAX_NAME_LENGTH = 255
MAX_UINT32 = 2**32 - 1
# Counters stay below this, so that one more still fits the message.
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
    """A message holds a value that has no meaning."""


def load_to_message(load: Load, agent_id: str = "", age_s: float = 0.0) -> pb.AgentLoad:
    """Returns the message of a load.

    :param age_s: age of the figures in seconds.
    """
    return pb.AgentLoad(
        agent_id=agent_id,
        running=_uint32(load.running),
        queued=_uint32(load.queued),
        limit=_uint32(load.limit),
        age_ms=_uint32(int(age_s * 1000)),
    )


def load_from_message(message: pb.AgentLoad) -> Load:
    """Returns the load that a message holds."""
    return Load(message.running, message.queued, message.limit)


def member_to_message(member: Member) -> pb.MemberRecord:
    """Returns the message of a member record."""
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
    """Returns the member record that a message holds.

    :raises ConvertError: if the id is missing, a name is too long, or the role,
        state or address has no meaning.
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
    """Returns the message of a store entry."""
    return pb.ConfigEntry(
        key=entry.key,
        mod_revision=entry.mod_revision,
        value=entry.value or b"",
        deleted=entry.value is None,
    )


def entry_from_message(message: pb.ConfigEntry) -> Entry:
    """Returns the store entry that a message holds.

    :raises ConvertError: if the key or the revision is missing.
    """
    if not message.key or not 0 < message.mod_revision < MAX_COUNTER:
        raise InvalidMessageError("configuration entry without key or valid revision")
    value = None if message.deleted else message.value
    return Entry(message.key, message.mod_revision, value)


def _uint32(value: int) -> int:
    return max(0, min(value, MAX_UINT32))
