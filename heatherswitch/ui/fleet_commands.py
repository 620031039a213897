"""Operator commands for zones, versions, moves, status and request traces."""

import time
from typing import Any
from urllib.parse import quote

from cleo.helpers import argument, option

from heatherswitch.ui.base import (
    COMMON_OPTIONS,
    DEADLINE_OPTION,
    OperatorCommand,
    build_help,
)
from heatherswitch.ui.client import ApiClient
from heatherswitch.ui.errors import ExitCode, UserError

# Interval at which ``move watch`` polls the move, in seconds.
WATCH_INTERVAL_S = 1.0


class MoveCommand(OperatorCommand):
    """Base of the commands that start or end a move."""

    def print_result(self, result: Any) -> None:
        """Prints the revision of the change and the command that follows the move."""
        text = f"accepted at revision {result['revision']}"
        if "move" in result:
            text += f"; follow it with: heatherswitch move watch {result['move']}"
        self.print(text)


class ZoneCommand(MoveCommand):
    """Base of the commands for an availability zone.

    Subclasses set ``action`` to the last part of the API path.
    """

    action = ""
    arguments = [argument("zone", "Availability zone.")]
    options = [*COMMON_OPTIONS, DEADLINE_OPTION]

    def run_command(self, client: ApiClient) -> tuple[Any, ExitCode]:
        """Sends the request for the zone."""
        zone = quote(self.argument("zone"), safe="")
        path = f"/v1/zones/{zone}/{self.action}"
        return client.request("POST", path, {}, self.deadline_body()), ExitCode.OK


class ZoneOutCommand(ZoneCommand):
    """Takes an availability zone out of use."""

    name = "zone out"
    action = "out"
    description = "Sends a zone no new requests; running ones finish."
    help = build_help("zone out hobart-a", "zone out hobart-a --deadline 300")


class ZoneBackCommand(ZoneCommand):
    """Returns an availability zone to use."""

    name = "zone back"
    action = "back"
    description = (
        "Returns a zone to use gradually; if that fails it is taken out again."
    )
    help = build_help("zone back hobart-a --deadline 600")


class VersionStartCommand(MoveCommand):
    """Starts the move of a service to a new version."""

    name = "version start"
    description = "Starts the move of a service to a new version."
    arguments = [
        argument("service", "Service."),
        argument("version", "Version."),
    ]
    options = [*COMMON_OPTIONS, DEADLINE_OPTION]
    help = build_help("version start appraiser v2 --deadline 1800")

    def run_command(self, client: ApiClient) -> tuple[Any, ExitCode]:
        """Sends the request to start the version."""
        path = _version_path(self, "start")
        return client.request("POST", path, {}, self.deadline_body()), ExitCode.OK


class VersionTakeBackCommand(MoveCommand):
    """Rolls back a version."""

    name = "version take-back"
    description = "Rolls back a version: sends it no new requests and ends its move."
    arguments = VersionStartCommand.arguments
    options = [*COMMON_OPTIONS]
    help = build_help("version take-back appraiser v2")

    def run_command(self, client: ApiClient) -> tuple[Any, ExitCode]:
        """Sends the request to roll back the version."""
        path = _version_path(self, "take-back")
        return client.request("POST", path, {}, {}), ExitCode.OK


class VersionStatusCommand(OperatorCommand):
    """Prints the moves of a service between versions."""

    name = "version status"
    description = "Prints the moves of a service between versions."
    arguments = [argument("service", "Service.")]
    help = build_help("version status appraiser")

    def run_command(self, client: ApiClient) -> tuple[Any, ExitCode]:
        """Reads all moves and selects the version moves of the service."""
        moves = client.request("GET", "/v1/moves", {})["moves"]
        service = self.argument("service")
        selected = [
            m for m in moves if m["kind"] == "version" and m["service"] == service
        ]
        return {"moves": selected}, ExitCode.OK

    def print_result(self, result: Any) -> None:
        """Prints one line per move."""
        _print_moves(self, result["moves"])


class MoveListCommand(OperatorCommand):
    """Prints all moves."""

    name = "move list"
    description = "Prints all moves, oldest first."
    options = [*COMMON_OPTIONS, option("running", None, "Print only running moves.")]
    help = build_help("move list", "move list --running --json")

    def run_command(self, client: ApiClient) -> tuple[Any, ExitCode]:
        """Reads all moves and selects the running ones if requested."""
        moves = client.request("GET", "/v1/moves", {})["moves"]
        if self.option("running"):
            moves = [m for m in moves if m["effective_state"] == "running"]
        return {"moves": moves}, ExitCode.OK

    def print_result(self, result: Any) -> None:
        """Prints one line per move."""
        _print_moves(self, result["moves"])


class MoveWatchCommand(OperatorCommand):
    """Follows a move until it ends."""

    name = "move watch"
    description = (
        "Follows a move until it is done (exit code 0) or rolled back (exit code 1)."
    )
    arguments = [argument("move", "Id of the move; without it, the newest move.", True)]
    help = build_help("move watch", "move watch 3f1c...")

    def run_command(self, client: ApiClient) -> tuple[Any, ExitCode]:
        """Polls the move and prints its progress until it ends.

        After a first response, an unreachable or unready router is polled again.

        :raises UserError: if a request fails for another reason, or there is no move.
        """
        move_id = self.argument("move") or _newest_move_id(client)
        path = f"/v1/moves/{quote(move_id, safe='')}"
        last_progress = None
        while True:
            try:
                move = client.request("GET", path, {})
            except UserError as error:
                if error.code is not ExitCode.NOT_RUN or last_progress is None:
                    raise
                time.sleep(WATCH_INTERVAL_S)
                continue
            progress = (move["effective_state"], move["share"])
            if move["effective_state"] != "running":
                rolled_back = move["effective_state"] == "taken_back"
                return move, ExitCode.DIFFERENT if rolled_back else ExitCode.OK
            if progress != last_progress and not self.option("json"):
                self.print(_format_move(move))
            last_progress = progress
            time.sleep(WATCH_INTERVAL_S)

    def print_result(self, result: Any) -> None:
        """Prints the final state of the move."""
        self.print(_format_move(result))


class StatusCommand(OperatorCommand):
    """Prints the members of the fleet as known to one router."""

    name = "status"
    description = "Prints the members, their load and cold starts, and the configuration revision."
    help = build_help("status", "status --json")

    def run_command(self, client: ApiClient) -> tuple[Any, ExitCode]:
        """Reads the status of the router and the members."""
        return client.request("GET", "/v1/status", {}), ExitCode.OK

    def print_result(self, result: Any) -> None:
        """Prints a line for the router and one per member."""
        ready = "ready" if result["ready"] else "not ready"
        revision = result["config_revision"]
        self.print(f"router {result['router']}: {ready}, configuration {revision}")
        for member in result["members"]:
            self.print(_format_member(member))


class TraceCommand(OperatorCommand):
    """Prints a router's log lines about one request."""

    name = "trace"
    description = "Prints the router's log lines about one of its latest requests."
    arguments = [
        argument("request", "Request id from the response header X-Request-Id.")
    ]
    help = build_help("trace 6d13b6726e924fc49085a5b56db460dc --router 10.0.0.7:9100")

    def run_command(self, client: ApiClient) -> tuple[Any, ExitCode]:
        """Reads the log lines that the router keeps about the request."""
        request = quote(self.argument("request"), safe="")
        return client.request("GET", f"/v1/requests/{request}", {}), ExitCode.OK

    def print_result(self, result: Any) -> None:
        """Prints each log line with the seconds since the first one."""
        start = result["lines"][0]["at"]
        for line in result["lines"]:
            fields = line["fields"] | {"request_id": None}
            text = " ".join(
                f"{k}={v}" for k, v in fields.items() if v not in (None, "")
            )
            self.print(f"+{line['at'] - start:.3f}s {line['message']}: {text}")


def _newest_move_id(client: ApiClient) -> str:
    """Returns the id of the newest move.

    :raises UserError: if there are no moves.
    """
    moves = client.request("GET", "/v1/moves", {})["moves"]
    if not moves:
        raise UserError("there are no moves")
    return moves[-1]["id"]


def _version_path(command: OperatorCommand, action: str) -> str:
    """Returns the API path of an action on the version that the arguments name."""
    service = quote(command.argument("service"), safe="")
    version = quote(command.argument("version"), safe="")
    return f"/v1/versions/{service}/{version}/{action}"


def _print_moves(command: OperatorCommand, moves: list[dict[str, Any]]) -> None:
    for move in moves:
        command.print(_format_move(move))
    if not moves:
        command.print("no moves")


def _format_move(move: dict[str, Any]) -> str:
    subject = move["zone"] or f"{move['service']} {move['to_version']}"
    line = f"{move['id']} {move['kind']} {subject}: {move['effective_state']}"
    if move["effective_state"] == "running":
        if move["kind"] == "version":
            line += f", share {move['share']:g}"
        return line + f", {move['remaining_s']:.0f} s left"
    return f"{line} ({move['reason']})" if move["reason"] else line


def _format_member(member: dict[str, Any]) -> str:
    line = (
        f"{member['role']} {member['id']} zone={member['zone']} {member['state']}"
        f" heard={member['heartbeat_age_s']:.1f}s config={member['config_revision']}"
    )
    if member["role"] == "agent":
        warmth = "cold" if member["cold"] else "warm"
        line += (
            f" {member['service']}/{member['version']} {warmth}"
            f" running={member['running']} queued={member['queued']}"
        )
    return line
