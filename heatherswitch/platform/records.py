"""Decodes the JSON records that operators and backend servers write to the store."""

import logging
from collections.abc import Callable, Generator
from typing import Any

from heatherswitch.gateway.model import (
    CallerLimits,
    Configuration,
    RequestKind,
    Route,
    Server,
    Service,
    Workspace,
)
from heatherswitch.gateway.rollouts import RolloutOrder
from heatherswitch.statecore.replica import Entry
from heatherswitch.util.fairness import finish_steps
from heatherswitch.util.untrusted import (
    MAX_INTEGER,
    MalformedInput,
    describe,
    describe_error,
    parse_object,
    read_field,
    require_boolean,
    require_integer,
    require_list,
    require_name,
    require_number,
    require_object,
    require_port,
    require_string,
    require_token,
)

log = logging.getLogger("heatherswitch.platform.records")

_REQUEST_KINDS = {
    "safe": RequestKind.SAFE,
    "non_idempotent": RequestKind.NON_IDEMPOTENT,
    "streaming": RequestKind.STREAMING,
}
_SERVER_STATES = ("ready", "draining")


class RecordError(ValueError):
    """A record in the store is malformed."""


def decode_configuration(value: bytes) -> Configuration:
    """Runs :func:`decode_configuration_steps` in one go."""
    return finish_steps(decode_configuration_steps(value))


def decode_configuration_steps(value: bytes) -> Generator[None, None, Configuration]:
    """Decodes the operators' configuration; yields before each item.

    A route, service, workspace, key or limit that is malformed is logged and left out,
    so that the rest, such as withdrawn keys, takes effect.

    :raises RecordError: if it is malformed as a whole.
    """
    left_out: list[str] = []
    try:
        document = parse_object(value)
        version = read_field(document, "version", require_integer)
        return Configuration(
            version=version,
            routes=tuple(
                (yield from _decode_items(document, "routes", _decode_route, left_out))
            ),
            services={
                s.name: s
                for s in (
                    yield from _decode_items(
                        document, "services", _decode_service, left_out
                    )
                )
            },
            caller_limits=_decode_caller_limits(
                read_field(document, "limits", require_object, {})
            ),
            api_keys=dict(
                pair
                for pairs in (
                    yield from _decode_items(
                        document, "tenants", _decode_api_keys, left_out
                    )
                )
                for pair in pairs
            ),
            requires_api_key="tenants" in document,
            complete=not left_out,
        )
    except MalformedInput as error:
        raise RecordError(f"configuration: {describe_error(error)}") from error


def _decode_items(
    document: dict,
    list_name: str,
    decode: Callable[[dict[str, Any]], Any],
    left_out: list[str],
) -> Generator[None, None, list[Any]]:
    """Decodes the items of a list, or of a mapping from names to items.

    Yields before each item and returns them all.

    :param left_out: gets the name of the list for each item that is malformed.
    :raises MalformedInput: if it is neither.
    """
    items = document.get(list_name)
    if isinstance(items, dict):
        pairs = list(items.items())
    else:
        pairs = [(None, i) for i in read_field(document, list_name, require_list, [])]
    decoded = []
    for name, item in pairs:
        yield
        try:
            fields = require_object(item)
            decoded.append(decode(fields if name is None else {"name": name, **fields}))
        except MalformedInput as error:
            _log_left_out(list_name, item, error)
            left_out.append(list_name)
            if list_name == "routes":
                decoded += _closed_route(item)
    return decoded


def _log_left_out(list_name: str, item: Any, error: MalformedInput) -> None:
    name = item.get("name") or item.get("prefix") if isinstance(item, dict) else None
    log.error(
        "part of the configuration is malformed and left out",
        # Values of workspaces are not logged, since they may be API keys.
        extra={
            "list": list_name,
            "item": describe(name),
            "field": error.field,
            "error": "" if list_name == "tenants" else describe_error(error),
        },
    )


def _closed_route(item: Any) -> list[Route]:
    """Returns a route without a service in place of a malformed one.

    Else a route with a shorter prefix would take its requests. They are refused as not
    run; none if the host or the prefix cannot be read.
    """
    try:
        fields = require_object(item)
        return [
            Route(
                name=read_field(fields, "prefix", require_name),
                host=read_field(fields, "host", require_name).lower(),
                prefix=read_field(fields, "prefix", require_name),
                kind=RequestKind.NON_IDEMPOTENT,
                service_weights=(("", 1.0),),
                timeout_s=0.0,
                latency_objective_s=0.0,
                priority=0,
                max_servers=1,
                anonymous=True,
            )
        ]
    except MalformedInput:
        return []


def _decode_route(item: dict[str, Any]) -> Route:
    prefix = read_field(item, "prefix", require_name)
    timeout_ms = read_field(item, "timeout_ms", require_number)
    kind = read_field(item, "kind", require_name, "")
    return Route(
        name=read_field(item, "name", require_name, prefix),
        host=read_field(item, "host", require_name).lower(),
        prefix=prefix,
        kind=_REQUEST_KINDS.get(kind, RequestKind.NON_IDEMPOTENT),
        service_weights=_decode_service_weights(item),
        timeout_s=timeout_ms / 1000,
        latency_objective_s=read_field(
            item, "target_latency_ms", require_number, timeout_ms
        )
        / 1000,
        priority=read_field(item, "priority", _require_signed, 0),
        max_servers=max(1, read_field(item, "retry_attempts", _require_signed, 1)),
        anonymous=read_field(item, "allow_anonymous", require_boolean, False),
        resumable=read_field(item, "stream_resume", require_boolean, False),
        regions=_decode_regions(item),
    )


def _decode_service_weights(route: dict[str, Any]) -> tuple[tuple[str, float], ...]:
    parts = read_field(route, "traffic_split", require_list, [])
    if not parts:
        return ((read_field(route, "service", require_name), 1.0),)
    return tuple(
        (
            read_field(require_object(part), "service", require_name),
            read_field(part, "weight", require_number),
        )
        for part in parts
    )


def _decode_regions(item: dict[str, Any]) -> frozenset[str]:
    regions = read_field(item, "allowed_regions", require_list, [])
    try:
        return frozenset(map(require_name, regions))
    except MalformedInput as error:
        raise MalformedInput(str(error), "allowed_regions") from None


def _require_signed(value: Any) -> int:
    return require_integer(value, -MAX_INTEGER)


def _decode_service(item: dict[str, Any]) -> Service:
    engine = read_field(item, "engine", require_object, None)
    return Service(
        name=read_field(item, "name", require_name),
        max_connections=read_field(item, "max_connections", require_integer, 0) or 64,
        cold_rate=read_field(item, "cold_per_s", require_number, 0.0),
        warmup_s=read_field(item, "cold_start_s", require_number, 0.0),
        is_model=engine is not None,
        slots=read_field(engine or {}, "slots", require_integer, 0),
    )


def _decode_caller_limits(item: dict[str, Any]) -> CallerLimits:
    """Decodes the limits; the default replaces one that is missing or malformed."""
    defaults = CallerLimits()

    def read(name: str, require: Callable[[Any], Any], default: float) -> Any:
        try:
            return read_field(item, name, require, default)
        except MalformedInput as error:
            _log_left_out("limits", {"name": name}, error)
            return default

    return CallerLimits(
        head_bytes=read("max_header_bytes", require_integer, defaults.head_bytes),
        body_bytes=read("max_body_bytes", require_integer, defaults.body_bytes),
        head_timeout_s=read(
            "header_timeout_ms", require_number, defaults.head_timeout_s * 1000
        )
        / 1000,
        idle_timeout_s=read(
            "idle_timeout_ms", require_number, defaults.idle_timeout_s * 1000
        )
        / 1000,
    )


def _decode_api_keys(item: dict[str, Any]) -> list[tuple[str, Workspace]]:
    """Returns the keys of a workspace, each with the workspace."""
    workspace = Workspace(
        read_field(item, "name", require_name),
        read_field(item, "priority", _require_signed, None),
        _decode_regions(item),
    )
    keys = []
    for key in read_field(item, "api_keys", require_list, []):
        try:
            keys.append((require_string(key), workspace))
        except MalformedInput:
            error = MalformedInput("a key is no text", "api_keys")
            _log_left_out("tenants", item, error)
    return keys


def decode_rollout_order(service: str, entry: Entry) -> RolloutOrder:
    """Decodes an operator's order to roll a service out to a version.

    :raises RecordError: if it is malformed.
    """
    try:
        document = parse_object(entry.value)
        duration_s = read_field(document, "duration_s", require_number)
        target = read_field(document, "target", require_name)
        return RolloutOrder(service, target, duration_s, entry.position)
    except MalformedInput as error:
        raise RecordError(f"rollout order: {describe_error(error)}") from error


def decode_server(server_id: str, value: bytes) -> Server | None:
    """Decodes the entry of a backend server.

    :returns: None if the entry is malformed, its state is neither ready nor draining, or
        its address cannot be connected to. Entries are written by other programs, so
        this is no error.
    """
    try:
        item = parse_object(value)
        host, _, port = read_field(item, "address", require_token).rpartition(":")
        state = read_field(item, "state", require_name)
        if state not in _SERVER_STATES:
            raise MalformedInput(f"{describe(state)} is unknown", "state")
        return Server(
            # The id is sent in a header of each request.
            id=require_token(server_id),
            # ``born`` is the Unix time at which the server started, in milliseconds.
            incarnation=read_field(item, "born", require_integer, 0),
            service=read_field(item, "service", require_name),
            host=require_token(host),
            port=require_port(port),
            zone=read_field(item, "zone", require_name),
            version=read_field(item, "version", require_name, ""),
            slots=read_field(item, "slots", require_integer, 0),
            draining=state == "draining",
            cold_for_s=max(
                0.0, read_field(item, "cold_remaining_ms", require_number, 0.0) / 1000
            ),
            sequence=read_field(item, "seq", require_integer, 0),
        )
    except MalformedInput as error:
        log.warning(
            "invalid entry of a backend server",
            extra={"server": server_id, "error": describe_error(error)},
        )
        return None
