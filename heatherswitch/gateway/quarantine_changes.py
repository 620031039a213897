"""What changes in the quarantine of prompt parts, as effects."""

from collections.abc import Iterable

from heatherswitch.util.record import Record


class QuarantineChange(Record):
    """Groups of prompt parts that were added to the quarantine or released from it.

    A group is named by the hashes of its parts, joined by ``+``.

    :param added: each added group and the number of crashes on it.
    :param released: the released groups.
    """

    __slots__ = (
        "added",
        "released",
    )

    def __init__(
        self, added: tuple[tuple[str, int], ...], released: tuple[str, ...]
    ) -> None:
        self.added = added
        self.released = released


class ReportsWithdrawn(Record):
    """Reports of a server's start were removed, since it had not crashed.

    :param reports: number of removed reports.
    :param evidence: how that is known: ``heartbeats``, ``listed`` or ``answer``.
    """

    __slots__ = ("server_id", "incarnation", "reports", "evidence")

    def __init__(
        self, server_id: str, incarnation: int, reports: int, evidence: str
    ) -> None:
        self.server_id = server_id
        self.incarnation = incarnation
        self.reports = reports
        self.evidence = evidence


QuarantineEffect = QuarantineChange | ReportsWithdrawn


def join_change(
    change: QuarantineChange | None,
    added: Iterable[frozenset[str]] = (),
    released: Iterable[frozenset[str]] = (),
) -> QuarantineChange | None:
    """Returns a change with further groups; None if there is none."""
    # A further crash quarantines a group whose earlier ones have expired.
    more = tuple((group_name(group), 1) for group in added)
    less = tuple(sorted(map(group_name, released)))
    if not more and not less:
        return change
    if change is None:
        return QuarantineChange(more, less)
    return QuarantineChange((*change.added, *more), (*change.released, *less))


def group_name(group: frozenset[str]) -> str:
    return "+".join(sorted(group))
