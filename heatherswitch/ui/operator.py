"""The ``heatherswitch`` program, which holds the operators' commands."""

import sys

from cleo.application import Application
from cleo.commands.command import Command
from cleo.exceptions import CleoError
from cleo.io.inputs.argv_input import ArgvInput
from cleo.io.inputs.input import Input
from cleo.io.outputs.output import Output

import heatherswitch
from heatherswitch.ui import fleet_commands, gateway_commands, settings_commands
from heatherswitch.ui.errors import ExitCode
from heatherswitch.ui.resource_commands import RESOURCE_COMMANDS

COMMANDS: tuple[type[Command], ...] = (
    gateway_commands.CheckSettingsCommand,
    gateway_commands.FollowCommand,
    settings_commands.SetCommand,
    settings_commands.GetCommand,
    settings_commands.ExplainCommand,
    settings_commands.DiffCommand,
    settings_commands.ApplyCommand,
    settings_commands.ExportCommand,
    fleet_commands.ZoneOutCommand,
    fleet_commands.ZoneBackCommand,
    fleet_commands.VersionStartCommand,
    fleet_commands.VersionStatusCommand,
    fleet_commands.VersionTakeBackCommand,
    fleet_commands.MoveListCommand,
    fleet_commands.MoveWatchCommand,
    fleet_commands.StatusCommand,
    fleet_commands.TraceCommand,
    *RESOURCE_COMMANDS,
)


def build_application() -> Application:
    """Returns the console application with all commands."""
    app = Application("heatherswitch", heatherswitch.__version__)
    app.auto_exits(False)
    app.catch_exceptions(False)
    for command in COMMANDS:
        app.add(command())
    return app


def run(
    command_input: Input | None = None,
    output: Output | None = None,
    error_output: Output | None = None,
) -> int:
    """Runs one command line and returns the exit code.

    :param command_input: command line; without it, the arguments of the process.
    :param output: receives the result; without it, standard output.
    :param error_output: receives errors; without it, standard error.
    """
    # For --help without a command, cleo would print the help of its list command.
    if command_input is None and sys.argv[1:] in (["--help"], ["-h"]):
        command_input = ArgvInput([sys.argv[0], "list"])
    try:
        return build_application().run(command_input, output, error_output)
    except CleoError as error:
        line = " ".join(str(error).split())
        message = f"error: {line}; see heatherswitch --help"
        if error_output is not None:
            error_output.write_line(message)
        else:
            print(message, file=sys.stderr)
        return int(ExitCode.USAGE)


def main() -> None:
    """Entry point of the ``heatherswitch`` program."""
    sys.exit(run())


if __name__ == "__main__":
    main()
