"""The effective configuration of one process, built from replicated store entries."""

from collections.abc import Iterable
from dataclasses import dataclass

from heatherswitch.fleet.records import (
    MOVES_PREFIX,
    PARTITIONS_PREFIX,
    Move,
    MoveKind,
    MoveState,
    PartitionHead,
    RecordError,
)
from heatherswitch.fleet.settings import (
    SETTINGS_PREFIX,
    Selector,
    Settings,
    SettingsError,
    SettingsTree,
)
from heatherswitch.statecore.replica import Entry


@dataclass(frozen=True, slots=True)
class VersionSplit:
    """Division of a service's chats between its versions.

    :param active: version that gets the rest of the chats; empty for any version.
    :param starting: version that gets ``share`` of the chats; empty for none.
    :param share: fraction of chats, 0 to 1.
    """

    active: str = ""
    starting: str = ""
    share: float = 0.0


class FleetConfig:
    """Settings tree, moves and partition heads, as one process has replicated them."""

    __slots__ = ("_heads", "_moves", "_revision", "_tree", "_version_names")

    def __init__(self) -> None:
        self._tree = SettingsTree()
        self._moves: dict[str, Move] = {}
        self._heads: dict[tuple[str, int], PartitionHead] = {}
        self._revision = 0
        # Cache: service to its versions. Each request needs them, and a scan of 28,000
        # nodes takes milliseconds.
        self._version_names: dict[str, list[str]] = {}

    @property
    def tree(self) -> SettingsTree:
        """The current settings tree."""
        return self._tree

    @property
    def revision(self) -> int:
        """Store revision of the newest entry that was applied, or 0."""
        return self._revision

    @property
    def moves(self) -> list[Move]:
        """All move records, by start time."""
        return sorted(self._moves.values(), key=lambda move: move.started_at)

    def apply(self, entries: Iterable[Entry]) -> list[Exception]:
        """Applies changed or deleted entries and skips invalid ones.

        :returns: the errors of the skipped entries.
        """
        errors = []
        for entry in entries:
            self._revision = max(self._revision, entry.mod_revision)
            try:
                self._apply_entry(entry)
            except (SettingsError, RecordError) as error:
                errors.append(error)
        return errors

    def _apply_entry(self, entry: Entry) -> None:
        if entry.key.startswith(SETTINGS_PREFIX):
            self._version_names.clear()
            self._tree.set_node_bytes(entry.key[len(SETTINGS_PREFIX) :], entry.value)
        elif entry.key.startswith(MOVES_PREFIX):
            self._apply_move(entry)
        elif entry.key.startswith(PARTITIONS_PREFIX):
            self._apply_head(entry)

    def _apply_move(self, entry: Entry) -> None:
        move_id = entry.key[len(MOVES_PREFIX) :]
        if entry.value is None:
            self._moves.pop(move_id, None)
        else:
            self._moves[move_id] = Move.from_bytes(entry.value)

    def _apply_head(self, entry: Entry) -> None:
        service, _, partition = entry.key[len(PARTITIONS_PREFIX) :].rpartition("/")
        if not (partition.isascii() and partition.isdigit()):
            raise RecordError(f"{entry.key}: not a partition key")
        if entry.value is None:
            self._heads.pop((service, int(partition)), None)
        else:
            head = PartitionHead.from_bytes(entry.value, entry.mod_revision)
            self._heads[service, int(partition)] = head

    def settings(
        self, service: str = "", zone: str = "", workspace: str = "", version: str = ""
    ) -> Settings:
        """Returns the effective settings; an empty name leaves its level out."""
        return self._tree.effective(Selector(service, zone, workspace, version))

    def head(self, service: str, partition: int) -> PartitionHead:
        """Returns the head of a partition, or one without owner if none is stored."""
        known = self._heads.get((service, partition))
        return known or PartitionHead(service=service, partition=partition)

    def zone_is_out(self, service: str, zone: str, now: float) -> bool:
        """Returns whether a zone must get no new requests of a service.

        :param now: seconds since the epoch.
        """
        if self.settings(service=service, zone=zone).get("zone_state") == "out":
            return True
        latest = self._latest_move(MoveKind.ZONE_BACK, zone=zone)
        if latest is None:
            return False
        return latest.effective_state(now) is MoveState.TAKEN_BACK and (
            latest.state is MoveState.RUNNING
        )

    def split(self, service: str, now: float) -> VersionSplit:
        """Returns the division of a service's chats between its versions.

        :param now: seconds since the epoch.
        """
        active = starting = ""
        share = 0.0
        for version in self._versions(service):
            settings = self.settings(service=service, version=version)
            state = settings.get("version_state")
            if state == "active":
                active = version
            elif state == "starting":
                starting = version
                share = settings.get("version_share")
        move = self._latest_move(MoveKind.VERSION, service=service)
        if move is not None and move.to_version == starting:
            running = move.effective_state(now) is MoveState.RUNNING
            share = move.share if running else 0.0
        return VersionSplit(active, starting, share)

    def version_is_closed(self, service: str, version: str, now: float) -> bool:
        """Returns whether a version must get no new requests.

        :param now: seconds since the epoch.
        """
        state = self.settings(service=service, version=version).get("version_state")
        if state in ("taken_back", "retired"):
            return True
        if state == "starting":
            return self.split(service, now).share <= 0.0
        return False

    def _versions(self, service: str) -> list[str]:
        names = self._version_names.get(service)
        if names is None:
            prefix = f"/service={service}/version="
            paths = (path for path in self._tree.nodes if path.startswith(prefix))
            names = sorted(path[len(prefix) :] for path in paths)
            self._version_names[service] = names
        return names

    def _latest_move(
        self, kind: MoveKind, service: str = "", zone: str = ""
    ) -> Move | None:
        matches = [
            move
            for move in self._moves.values()
            if move.kind is kind and move.service == service and move.zone == zone
        ]
        return max(matches, key=lambda move: move.started_at, default=None)
