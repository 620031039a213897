"""Commands that check a gateway's settings file and find a request in its logs."""

import json
from dataclasses import asdict
from pathlib import Path

from cleo.commands.command import Command
from cleo.helpers import argument, option
from cleo.io.outputs.output import Type

from heatherswitch.gateway.request_log import RequestLog, collect
from heatherswitch.ui.base import build_help
from heatherswitch.ui.errors import ExitCode, UserError

JSON_OPTION = option("json", None, "Print the result as JSON.")


class FileCommand(Command):
    """A command that reads local files only and calls no router."""

    def handle(self) -> int:
        """Runs the command and returns the exit code; prints an error as one line."""
        try:
            return int(self.run_command())
        except UserError as error:
            self.io.write_error_line(f"error: {error}", type=Type.RAW)
            return int(error.code)

    def run_command(self) -> ExitCode:
        """Runs the command and returns the exit code.

        :raises UserError: if the command fails.
        """
        raise NotImplementedError

    def print(self, text: str) -> None:
        """Prints text without interpreting style tags."""
        self.io.write_line(text, type=Type.RAW)


class FollowCommand(FileCommand):
    """Prints the gateways' log lines about one request."""

    name = "follow"
    description = "Prints the gateways' log lines about one request."
    arguments = [
        argument("request", "Request id, as the caller sent it."),
        argument("files", "Log files of the gateways.", multiple=True),
    ]
    options = [JSON_OPTION]
    help = build_help("follow 484d3967adb609a8 gateway-a.log gateway-b.log")

    def run_command(self) -> ExitCode:
        """Prints the lines about the request in order of time.

        :raises UserError: if a file cannot be read or there is no such line.
        """
        lines = []
        for path in self.argument("files"):
            lines += _read_file(path).splitlines()
        request_log = collect(self.argument("request"), lines)
        if self.option("json"):
            self.print(json.dumps(asdict(request_log) | {"cause": request_log.cause}))
        else:
            self._print_request_log(request_log)
        if not request_log.lines:
            raise UserError("the logs contain no line about this request")
        return ExitCode.OK

    def _print_request_log(self, request_log: RequestLog) -> None:
        for line in request_log.lines:
            details = " ".join(f"{k}={v}" for k, v in line.details.items() if v != "")
            self.print(f"{line.timestamp} {line.instance} {line.message} {details}")
        if request_log.lines:
            self.print(f"cause: {request_log.cause}")
        if request_log.malformed:
            self.print(f"{request_log.malformed} malformed lines were skipped")
        if request_log.dropped:
            self.print(
                f"the gateways dropped {request_log.dropped} log lines; lines about this request may be missing"
            )


class CheckSettingsCommand(FileCommand):
    """Checks a gateway's settings file and prints the resulting configuration."""

    name = "check-settings"
    description = (
        "Checks a gateway's settings file and prints the resulting configuration."
    )
    arguments = [argument("file", "Settings file, as the platform writes it.")]
    options = [JSON_OPTION]
    help = build_help("check-settings /etc/heatherswitch/local.yaml")

    def run_command(self) -> ExitCode:
        """Parses the file as a gateway does at start.

        :raises UserError: if the file cannot be read or a setting is invalid.
        """
        from heatherswitch.platform.settings import parse_gateway_config
        from heatherswitch.platform.settings_file import (
            SettingsError,
            read_settings,
        )

        try:
            config = parse_gateway_config(read_settings(self.argument("file")))
        except SettingsError as error:
            raise UserError(str(error)) from error
        values = config.to_dict()
        if self.option("json"):
            self.print(json.dumps(values, sort_keys=True))
        else:
            for name, value in values.items():
                self.print(f"{name}: {value}")
        return ExitCode.OK


def _read_file(path: str) -> str:
    """Returns the text of a file, with invalid UTF-8 replaced.

    :raises UserError: if the file cannot be read.
    """
    try:
        return Path(path).read_text(errors="replace")
    except OSError as error:
        raise UserError(f"cannot read {path}: {error.strerror}") from error
