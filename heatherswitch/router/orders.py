"""Orders of operators: settings, zone orders and version moves as transactions."""

import json
import uuid
from collections.abc import Mapping
from dataclasses import dataclass, replace
from typing import Any

from heatherswitch.exchange.node import FleetNode
from heatherswitch.fleet.records import Move, MoveKind, MoveState
from heatherswitch.fleet.settings import (
    SETTINGS_PREFIX,
    Selector,
    format_path,
    merge,
    node_key,
    validate_node,
)
from heatherswitch.router.store_writer import Conflict, StoreWriter, Transaction
from heatherswitch.util.clock import Clock

# Operations in one transaction of the store.
MAX_OPERATIONS = 100


@dataclass(frozen=True, slots=True)
class Accepted:
    """An order that is in the store and in force on this router.

    :param move_id: the move that the order started, or an empty string.
    """

    revision: int
    move_id: str = ""


@dataclass(frozen=True, slots=True)
class Applied:
    """Result of applying many nodes.

    :param changed: paths that differ from the store.
    :param written: paths whose transaction was accepted.
    """

    revision: int
    changed: tuple[str, ...]
    written: tuple[str, ...]


class PartlyApplied(Exception):
    """A later transaction of an apply failed; earlier ones are in force.

    :param written: paths that are in force.
    """

    def __init__(self, cause: Exception, written: tuple[str, ...]) -> None:
        super().__init__(str(cause))
        self.cause = cause
        self.written = written


class Orders:
    """Turns orders into transactions and puts accepted ones in force at once."""

    __slots__ = ("_clock", "_node", "_router_id", "_writer")

    def __init__(
        self, writer: StoreWriter, node: FleetNode, router_id: str, clock: Clock
    ) -> None:
        self._writer = writer
        self._node = node
        self._router_id = router_id
        self._clock = clock

    async def put_node(
        self, path: str, overrides: Any, revision: int | None
    ) -> Accepted:
        """Replaces the overrides of a node.

        :param revision: mod_revision that the node must have, 0 for a new node,
            None for whatever it has now.
        :raises SettingsError: if the path or a value is invalid.
        :raises WriteError: if the change was not accepted.
        """
        validate_node(path, overrides)
        key = node_key(path)
        if revision is None:
            revision = await self._revision_of(key)
        return await self._accept(
            Transaction({key: revision}, {key: _bytes(overrides)})
        )

    async def delete_node(self, path: str, revision: int | None) -> Accepted:
        """Removes a node.

        :raises SettingsError: if the path is invalid.
        :raises WriteError: if the change was not accepted.
        """
        validate_node(path, {})
        key = node_key(path)
        if revision is None:
            revision = await self._revision_of(key)
        return await self._accept(Transaction({key: revision}, deletes=(key,)))

    async def apply(
        self, nodes: Mapping[str, Any], revision: int | None, dry_run: bool
    ) -> Applied:
        """Writes many nodes; None as overrides removes a node.

        :param revision: refuse nodes that changed after this store revision.
        :raises SettingsError: if any node is invalid; nothing is written.
        :raises PartlyApplied: if a transaction after the first was not accepted.
        :raises WriteError: if nothing was written.
        """
        for path, overrides in nodes.items():
            validate_node(path, {} if overrides is None else overrides)
        snapshot = await self._writer.range(SETTINGS_PREFIX + "/")
        held = {entry.key: entry for entry in snapshot.entries}
        changed = [p for p in nodes if _differs(held.get(node_key(p)), nodes[p])]
        for path in changed:
            entry = held.get(node_key(path))
            if revision is not None and entry and entry.mod_revision > revision:
                raise Conflict(f"{path} changed after {revision}", entry.mod_revision)
        if dry_run or not changed:
            return Applied(snapshot.revision, tuple(changed), ())
        return await self._write_parts(nodes, held, changed)

    async def _write_parts(self, nodes, held, changed: list[str]) -> Applied:
        written: list[str] = []
        accepted = Accepted(0)
        for start in range(0, len(changed), MAX_OPERATIONS):
            part = changed[start : start + MAX_OPERATIONS]
            keys = {path: node_key(path) for path in part}
            transaction = Transaction(
                {k: held[k].mod_revision if k in held else 0 for k in keys.values()},
                {k: _bytes(nodes[p]) for p, k in keys.items() if nodes[p] is not None},
                tuple(k for p, k in keys.items() if nodes[p] is None),
            )
            try:
                accepted = await self._accept(transaction)
            except Exception as error:
                if not written:
                    raise
                raise PartlyApplied(error, tuple(written)) from error
            written += part
        return Applied(accepted.revision, tuple(changed), tuple(written))

    async def zone(
        self, zone: str, kind: MoveKind, deadline_s: float | None
    ) -> Accepted:
        """Takes a zone out or back, with its move record in one transaction.

        Repeating an order that is running returns the running move. The opposite
        order replaces a running one.
        """
        path = format_path({"zone": zone})
        validate_node(path, {})
        running = [m for m in self._running() if m.zone == zone]
        for move in running:
            if move.kind is kind:
                return await self._existing(move)
        state = "out" if kind is MoveKind.ZONE_OUT else "in"
        selector = Selector(zone=zone)
        move = self._new_move(kind, selector, deadline_s, zone=zone)
        return await self._accept_move(path, {"zone_state": state}, move, running)

    async def start_version(
        self, service: str, version: str, deadline_s: float | None
    ) -> Accepted:
        """Starts the move of a service to a version.

        :raises Conflict: if another version move of the service is running, or
            the version is already active.
        """
        path = format_path({"service": service, "version": version})
        validate_node(path, {})
        split = self._node.config.split(service, self._clock.now())
        if split.active == version:
            raise Conflict(f"version {version} of {service} is already active", 0)
        for move in self._running():
            if move.kind is MoveKind.VERSION and move.service == service:
                if move.to_version == version:
                    return await self._existing(move)
                raise Conflict(f"move {move.id} to {move.to_version} is running", 0)
        move = self._new_move(
            MoveKind.VERSION,
            Selector(service=service),
            deadline_s,
            service=service,
            from_version=split.active,
            to_version=version,
        )
        values = {"version_state": "starting", "version_share": 0}
        return await self._accept_move(path, values, move, [])

    async def take_back_version(self, service: str, version: str) -> Accepted:
        """Takes a version back; its running move ends in the same transaction."""
        path = format_path({"service": service, "version": version})
        validate_node(path, {})
        running = [
            move
            for move in self._running()
            if move.kind is MoveKind.VERSION
            and (move.service, move.to_version) == (service, version)
        ]
        values = {"version_state": "taken_back", "version_share": 0}
        return await self._accept_move(
            path, values, None, running, "taken back by an operator"
        )

    def _running(self) -> list[Move]:
        now = self._clock.now()
        running = MoveState.RUNNING
        return [m for m in self._node.config.moves if m.effective_state(now) is running]

    def _new_move(
        self, kind: MoveKind, selector: Selector, deadline_s: float | None, **names
    ) -> Move:
        if deadline_s is None:
            settings = self._node.config.tree.effective(selector)
            deadline_s = settings.get("move.deadline_s")
        now = self._clock.now()
        return Move(
            id=uuid.uuid4().hex,
            kind=kind,
            started_at=now,
            deadline_at=now + deadline_s,
            owner=self._router_id,
            **names,
        )

    async def _accept_move(
        self,
        path: str,
        values: dict[str, Any],
        move: Move | None,
        ended: list[Move],
        reason: str = "replaced by a later order",
    ) -> Accepted:
        """Writes a settings node, a new move and the end of others together."""
        key = node_key(path)
        entry = await self._writer.get(key)
        overrides = json.loads(entry.value) if entry is not None else {}
        compares = {key: entry.mod_revision if entry is not None else 0}
        puts = {key: _bytes(merge(overrides, values))}
        for old in ended:
            await self._end_move(old.key, reason, compares, puts)
        if move is not None:
            compares[move.key] = 0
            puts[move.key] = move.to_bytes()
        accepted = await self._accept(Transaction(compares, puts))
        return replace(accepted, move_id=move.id) if move is not None else accepted

    async def _end_move(
        self, key: str, reason: str, compares: dict[str, int], puts: dict[str, bytes]
    ) -> None:
        """Adds the end of a move, unless the move owner has decided it already."""
        entry = await self._writer.get(key)
        if entry is None or entry.value is None:
            return
        move = Move.from_bytes(entry.value)
        if move.state is not MoveState.RUNNING:
            return
        compares[key] = entry.mod_revision
        puts[key] = replace(
            move,
            state=MoveState.TAKEN_BACK,
            share=0.0,
            decided_at=self._clock.now(),
            reason=reason,
            owner=self._router_id,
        ).to_bytes()

    async def _existing(self, move: Move) -> Accepted:
        return Accepted(await self._revision_of(move.key), move.id)

    async def _revision_of(self, key: str) -> int:
        entry = await self._writer.get(key)
        return entry.mod_revision if entry is not None else 0

    async def _accept(self, transaction: Transaction) -> Accepted:
        revision = await self._writer.commit(transaction)
        # The watch brings the same entries; other changes up to this revision may
        # still be missing here, so the complete revision stays.
        self._node.apply_entries(transaction.entries(revision), 0)
        return Accepted(revision)


def _bytes(overrides: Any) -> bytes:
    return json.dumps(overrides, sort_keys=True).encode()


def _differs(entry, overrides: Any) -> bool:
    if entry is None or entry.value is None:
        return overrides is not None
    try:
        return json.loads(entry.value) != overrides
    except ValueError:
        return True
