"""The ``heatherswitch-agent`` program."""

import sys
from typing import Any

from heatherswitch.ui import daemon
from heatherswitch.ui.daemon import DaemonCommand, Flag, Program, run_daemon


class AgentCommand(DaemonCommand):
    """Runs one agent beside its backend server."""

    name = "heatherswitch-agent"
    description = "Serves one backend server to the routers."
    example = (
        "heatherswitch-agent --id worker-1 --zone hobart-a --service appraiser "
        "--version v1 --backend 127.0.0.1:8000 --peers 127.0.0.1:9101"
    )
    flags = (
        Flag("service", "Service of the backend server.", daemon.name),
        Flag("version", "Version of the service.", daemon.name),
        Flag("backend", "Address of the backend server.", daemon.address),
        Flag("listen", "Address for routers.", daemon.address, "127.0.0.1:0"),
        Flag(
            "drain-delay-s",
            "Seconds to stay after SIGTERM before the listeners close.",
            daemon.drain_delay,
            "0",
        ),
        *daemon.COMMON_FLAGS,
        *daemon.TRANSPORT_FLAGS,
    )

    def build(self, values: dict[str, Any]) -> Program:
        """Builds the agent."""
        from heatherswitch.agent.shell import Agent, AgentConfig

        return Agent.from_config(AgentConfig(**daemon.transport_config(values)))


def main() -> None:
    """Entry point of the ``heatherswitch-agent`` program."""
    sys.exit(run_daemon(AgentCommand(), sys.argv[1:]))


if __name__ == "__main__":
    main()
