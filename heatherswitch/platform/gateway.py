"""Runs a gateway on the platform."""

import asyncio
import gc
import logging
import signal
import socket
import sys
from collections.abc import Mapping
from typing import Any

from heatherswitch.gateway.crash_publisher import CrashOutbox, CrashPublisher
from heatherswitch.gateway.membership import Member, maintain_membership
from heatherswitch.gateway.rollout_owner import RolloutOwner
from heatherswitch.gateway.shell import CurrentRollouts, Gateway, GatewayConfig
from heatherswitch.gateway.store_sync import StoreSync
from heatherswitch.platform.codec import PlatformCodec
from heatherswitch.platform.reader import PlatformReader
from heatherswitch.platform.settings import parse_gateway_config
from heatherswitch.platform.store import PlatformStore
from heatherswitch.util.clock import Clock
from heatherswitch.util.logs import configure_logs
from heatherswitch.util.signals import hold_signals, release_signals
from heatherswitch.util.supervision import Supervisor

log = logging.getLogger("heatherswitch.platform.gateway")

# Port of the metrics and health endpoints; must equal the one in deploy/system.toml.
METRICS_PORT = 7340
# Allocations that trigger a collection of the youngest generation. Python's default of
# 700 causes several collections per request.
GC_THRESHOLD = 20_000


def build_gateway(
    config: GatewayConfig,
    clock: Clock,
    listeners: Mapping[str, socket.socket] | None = None,
) -> Gateway:
    """Returns a gateway that uses the platform's headers, records and store.

    :param listeners: listening sockets that are already bound, by ``host:port``.
    """
    reader = PlatformReader()

    async def follow_store(
        sync: StoreSync,
        member: Member,
        moves: CurrentRollouts,
        crash_outbox: CrashOutbox,
        supervisor: Supervisor,
    ) -> None:
        timing = config.limits.timing
        store = PlatformStore.from_address(config.store, clock, timing)
        member_key = reader.member_prefix + member.id
        try:
            owner = RolloutOwner(store, reader, member.id, clock, moves)
            tasks = {
                "follow the store": lambda: sync.run(store, reader),
                "membership": lambda: maintain_membership(
                    store, member_key, member.address, timing.member_ttl_s, clock
                ),
                "rollouts": owner.run,
                "crash reports": CrashPublisher(store, crash_outbox, clock).run,
            }
            async with asyncio.TaskGroup() as group:
                for name, start in tasks.items():
                    group.create_task(supervisor.run(name, start))
        finally:
            store.close()

    return Gateway(config, clock, PlatformCodec(), follow_store, listeners)


async def serve(config: GatewayConfig, listeners: Mapping[str, socket.socket]) -> None:
    """Runs a gateway until SIGTERM or SIGINT, then stops it gracefully."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    loop.add_signal_handler(signal.SIGHUP, log_settings_change)
    release_signals()
    gateway = build_gateway(config, Clock(), listeners)
    await gateway.start()
    await stop.wait()
    await gateway.stop()
    # The event loop removes the handlers before the process ends.
    hold_signals()


def log_settings_change() -> None:
    """Handles SIGHUP, which the platform sends when the settings file has changed.

    The gateway doesn't reload its settings: its addresses and limits are fixed at
    start.
    """
    log.info("settings file changed; restart the gateway to apply it")


def run(settings: dict[str, Any], listeners: Mapping[str, socket.socket]) -> None:
    """Configures logging and runs the gateway until it is stopped.

    :param settings: content of the settings file.
    :param listeners: listening sockets that are already bound, by ``host:port``.
    :raises SettingsError: if the settings cannot be used; nothing was started.
    """
    config = parse_gateway_config(settings)
    configure_logs("heatherswitch-gateway", config.id, stream=sys.stdout)
    gc.set_threshold(GC_THRESHOLD)
    asyncio.run(serve(config.replace(metrics_port=METRICS_PORT), listeners))
