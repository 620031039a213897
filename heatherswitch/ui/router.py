"""The ``heatherswitch-router`` program."""

import sys
from typing import Any

from heatherswitch.ui import daemon
from heatherswitch.ui.daemon import DaemonCommand, Flag, Program, SecretFlag, run_daemon


class RouterCommand(DaemonCommand):
    """Runs one router."""

    name = "heatherswitch-router"
    description = "Routes callers' requests to agents and serves operators."
    example = (
        "heatherswitch-router --id router-a --zone hobart-a --listen 127.0.0.1:8080 "
        "--store 127.0.0.1:2379 --peers 127.0.0.1:9101,127.0.0.1:9102"
    )
    flags = (
        Flag("id", "Unique id of the router.", daemon.name),
        Flag("zone", "Availability zone.", daemon.name),
        Flag("region", "Region.", daemon.optional_name, ""),
        Flag("listen", "Address for callers.", daemon.address, "127.0.0.1:8080"),
        Flag(
            "operator-listen", "Address for operators.", daemon.address, "127.0.0.1:0"
        ),
        Flag(
            "metrics-listen",
            "Address for metrics and health.",
            daemon.address,
            "127.0.0.1:0",
        ),
        Flag("peer-listen", "Address for peers.", daemon.address, "127.0.0.1:0"),
        Flag(
            "advertise",
            "Address that peers connect to, if it is not the bound one.",
            daemon.optional_address,
            "",
        ),
        Flag("store", "Store addresses, comma separated.", daemon.addresses, ""),
        Flag("peers", "Routers to start from.", daemon.addresses, ""),
        SecretFlag(
            "operator-token-file",
            "File with the token of operators; without one all are refused.",
            str,
            "",
        ),
        *daemon.TRANSPORT_FLAGS,
        Flag(
            "drain-delay-s",
            "Seconds to serve on after SIGTERM, for the load balancer.",
            daemon.drain_delay,
            "5",
        ),
        Flag(
            "version-test",
            "How starting versions are judged: sequential; threshold and fixed are "
            "baselines of measurements.",
            daemon.version_test,
            "sequential",
        ),
        Flag("log-level", "debug, info, warning or error.", daemon.log_level, "info"),
        Flag("ready-file", "File for the bound addresses.", daemon.text, ""),
    )

    def build(self, values: dict[str, Any]) -> Program:
        """Builds the router."""
        from heatherswitch.router.shell import Router, RouterConfig

        return Router.from_config(RouterConfig(**daemon.transport_config(values)))


def main() -> None:
    """Entry point of the ``heatherswitch-router`` program."""
    sys.exit(run_daemon(RouterCommand(), sys.argv[1:]))


if __name__ == "__main__":
    main()
