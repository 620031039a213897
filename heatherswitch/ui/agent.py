"""The ``heatherswitch-agent`` program."""

import sys
from typing import Any

from heatherswitch.ui import daemon
from heatherswitch.ui.daemon import Daemon, DaemonCommand, Flag, run_daemon


class AgentCommand(DaemonCommand):
    """Runs the agent of one backend server."""

    name = "heatherswitch-agent"
    description = "Forwards requests from routers to one backend server."
    example = (
        "heatherswitch-agent --id worker-1 --zone hobart-a --service appraiser "
        "--version v1 --backend 127.0.0.1:8000 --peers 127.0.0.1:9101"
    )
    flags = (
        Flag("service", "Service of the backend server.", daemon.parse_name),
        Flag("version", "Version of the service.", daemon.parse_name),
        Flag(
            "backend",
            "Address of the backend server, as host:port.",
            daemon.parse_address,
        ),
        Flag(
            "listen",
            "Address to listen on for routers.",
            daemon.parse_address,
            "127.0.0.1:0",
        ),
        Flag(
            "drain-delay-s",
            "Seconds that the listeners stay open after the last request, on SIGTERM.",
            daemon.parse_drain_delay,
            "0",
        ),
        *daemon.COMMON_FLAGS,
        *daemon.TRANSPORT_FLAGS,
    )

    def build(self, values: dict[str, Any]) -> Daemon:
        """Builds the agent from the parsed flags."""
        from heatherswitch.agent.shell import Agent, AgentConfig

        return Agent.from_config(AgentConfig(**daemon.transport_config(values)))


def main() -> None:
    """Entry point of the ``heatherswitch-agent`` program."""
    sys.exit(run_daemon(AgentCommand(), sys.argv[1:]))


if __name__ == "__main__":
    main()
