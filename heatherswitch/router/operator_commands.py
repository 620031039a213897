"""Operator commands on settings, zones and versions, as store transactions."""

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
from heatherswitch.router.store_writer import StoreWriter, Transaction, WriteConflict
from heatherswitch.util.clock import Clock

# Keys per store transaction; the store rejects transactions with too many.
MAX_TRANSACTION_OPERATIONS = 100


@dataclass(frozen=True, slots=True)
class CommandResult:
    """A command that was written to the store and applied on this router.

    :param revision: store revision of the write.
    :param move_id: id of the move that the command started, or an empty string.
    """

    revision: int
    move_id: str = ""


@dataclass(frozen=True, slots=True)
class ApplyResult:
    """Result of applying many settings nodes.

    :param changed: paths that differ from the store.
    :param written: paths that were written.
    """

    revision: int
    changed: tuple[str, ...]
    written: tuple[str, ...]


class PartialApplyError(Exception):
    """A transaction of an apply failed after earlier ones had been committed.

    :param cause: the error of the failed transaction.
    :param written: paths that were written before.
    """

    def __init__(self, cause: Exception, written: tuple[str, ...]) -> None:
        super().__init__(str(cause))
        self.cause = cause
        self.written = written


class OperatorCommands:
    """Commits operator commands to the store and applies them on this router."""

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
    ) -> CommandResult:
        """Replaces the overrides of a settings node.

        :param revision: required mod_revision of the node, 0 if it must not exist,
            or None to accept any.
        :raises SettingsError: if the path or a value is invalid.
        :raises WriteError: if the change was not written, or its outcome is unknown.
        """
        validate_node(path, overrides)
        key = node_key(path)
        if revision is None:
            revision = await self._revision_of(key)
        return await self._commit(
            Transaction({key: revision}, {key: _encode(overrides)})
        )

    async def delete_node(self, path: str, revision: int | None) -> CommandResult:
        """Deletes a settings node.

        :param revision: as for :meth:`put_node`.
        :raises SettingsError: if the path is invalid.
        :raises WriteError: if the change was not written, or its outcome is unknown.
        """
        validate_node(path, {})
        key = node_key(path)
        if revision is None:
            revision = await self._revision_of(key)
        return await self._commit(Transaction({key: revision}, deletes=(key,)))

    async def apply(
        self, nodes: Mapping[str, Any], revision: int | None, dry_run: bool
    ) -> ApplyResult:
        """Writes the settings nodes that differ from the store.

        :param nodes: overrides by path; None deletes the node.
        :param revision: if given, reject nodes that changed after this store revision.
        :param dry_run: only return which nodes differ.
        :raises SettingsError: if any node is invalid; nothing is written.
        :raises PartialApplyError: if a transaction after the first one failed.
        :raises WriteError: if a node has changed, or if the read or the first
            transaction failed.
        """
        for path, overrides in nodes.items():
            validate_node(path, {} if overrides is None else overrides)
        snapshot = await self._writer.range(SETTINGS_PREFIX + "/")
        stored = {entry.key: entry for entry in snapshot.entries}
        changed = [
            p for p in nodes if _overrides_differ(stored.get(node_key(p)), nodes[p])
        ]
        for path in changed:
            entry = stored.get(node_key(path))
            if revision is not None and entry and entry.mod_revision > revision:
                raise WriteConflict(
                    f"{path} changed after {revision}", entry.mod_revision
                )
        if dry_run or not changed:
            return ApplyResult(snapshot.revision, tuple(changed), ())
        return await self._write_batches(nodes, stored, changed)

    async def _write_batches(self, nodes, stored, changed: list[str]) -> ApplyResult:
        written: list[str] = []
        result = CommandResult(0)
        for start in range(0, len(changed), MAX_TRANSACTION_OPERATIONS):
            batch = changed[start : start + MAX_TRANSACTION_OPERATIONS]
            keys = {path: node_key(path) for path in batch}
            transaction = Transaction(
                {
                    k: stored[k].mod_revision if k in stored else 0
                    for k in keys.values()
                },
                {k: _encode(nodes[p]) for p, k in keys.items() if nodes[p] is not None},
                tuple(k for p, k in keys.items() if nodes[p] is None),
            )
            try:
                result = await self._commit(transaction)
            except Exception as error:
                if not written:
                    raise
                raise PartialApplyError(error, tuple(written)) from error
            written += batch
        return ApplyResult(result.revision, tuple(changed), tuple(written))

    async def move_zone(
        self, zone: str, kind: MoveKind, deadline_s: float | None
    ) -> CommandResult:
        """Starts a move that takes a zone out of service or back into it.

        The zone setting and the move record are written in one transaction. If such a
        move is already running, it is returned. A running move in the opposite
        direction is ended.

        :param deadline_s: deadline of the move in seconds from now, or None for the
            setting's value.
        """
        path = format_path({"zone": zone})
        validate_node(path, {})
        running = [m for m in self._running_moves() if m.zone == zone]
        for move in running:
            if move.kind is kind:
                return await self._existing_move_result(move)
        state = "out" if kind is MoveKind.ZONE_OUT else "in"
        selector = Selector(zone=zone)
        move = self._new_move(kind, selector, deadline_s, zone=zone)
        return await self._commit_move(path, {"zone_state": state}, move, running)

    async def start_version(
        self, service: str, version: str, deadline_s: float | None
    ) -> CommandResult:
        """Starts the move of a service to a version.

        If this move is already running, it is returned.

        :param deadline_s: as for :meth:`move_zone`.
        :raises WriteConflict: if another version move of the service is running, or
            the version is already active.
        """
        path = format_path({"service": service, "version": version})
        validate_node(path, {})
        split = self._node.config.split(service, self._clock.now())
        if split.active == version:
            raise WriteConflict(f"version {version} of {service} is already active", 0)
        for move in self._running_moves():
            if move.kind is MoveKind.VERSION and move.service == service:
                if move.to_version == version:
                    return await self._existing_move_result(move)
                raise WriteConflict(
                    f"move {move.id} to {move.to_version} is running", 0
                )
        move = self._new_move(
            MoveKind.VERSION,
            Selector(service=service),
            deadline_s,
            service=service,
            from_version=split.active,
            to_version=version,
        )
        values = {"version_state": "starting", "version_share": 0}
        return await self._commit_move(path, values, move, [])

    async def take_back_version(self, service: str, version: str) -> CommandResult:
        """Rolls a version back: sets its state to ``taken_back`` and its share to 0.

        Its running move is ended in the same transaction.
        """
        path = format_path({"service": service, "version": version})
        validate_node(path, {})
        running = [
            move
            for move in self._running_moves()
            if move.kind is MoveKind.VERSION
            and (move.service, move.to_version) == (service, version)
        ]
        values = {"version_state": "taken_back", "version_share": 0}
        return await self._commit_move(
            path, values, None, running, "taken back by an operator"
        )

    def _running_moves(self) -> list[Move]:
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

    async def _commit_move(
        self,
        path: str,
        values: dict[str, Any],
        move: Move | None,
        ended: list[Move],
        reason: str = "replaced by a later order",
    ) -> CommandResult:
        """Writes a settings node, a new move and the end of others atomically."""
        key = node_key(path)
        entry = await self._writer.get(key)
        overrides = json.loads(entry.value) if entry is not None else {}
        compares = {key: entry.mod_revision if entry is not None else 0}
        puts = {key: _encode(merge(overrides, values))}
        for old in ended:
            await self._end_move(old.key, reason, compares, puts)
        if move is not None:
            compares[move.key] = 0
            puts[move.key] = move.to_bytes()
        result = await self._commit(Transaction(compares, puts))
        return replace(result, move_id=move.id) if move is not None else result

    async def _end_move(
        self, key: str, reason: str, compares: dict[str, int], puts: dict[str, bytes]
    ) -> None:
        """Adds the end of a move to a transaction, unless it is already decided."""
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

    async def _existing_move_result(self, move: Move) -> CommandResult:
        return CommandResult(await self._revision_of(move.key), move.id)

    async def _revision_of(self, key: str) -> int:
        entry = await self._writer.get(key)
        return entry.mod_revision if entry is not None else 0

    async def _commit(self, transaction: Transaction) -> CommandResult:
        revision = await self._writer.commit(transaction)
        # Apply the entries without waiting for the store watch. Other changes up to
        # this revision may still be missing here, so the complete revision is not
        # advanced.
        self._node.apply_entries(transaction.entries(revision), 0)
        return CommandResult(revision)


def _encode(overrides: Any) -> bytes:
    return json.dumps(overrides, sort_keys=True).encode()


def _overrides_differ(entry, overrides: Any) -> bool:
    if entry is None or entry.value is None:
        return overrides is not None
    try:
        return json.loads(entry.value) != overrides
    except ValueError:
        return True
