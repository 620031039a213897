"""The ``heatherswitch-gateway`` program: a gateway on the users' platform."""

import asyncio
import gc
import logging
import signal
import sys
from dataclasses import replace

from heatherswitch.gateway.rollout_owner import RolloutOwner
from heatherswitch.gateway.shell import CurrentRollouts, Gateway, GatewayConfig
from heatherswitch.gateway.store_sync import Member, StoreSync, maintain_membership
from heatherswitch.platform.codec import PlatformCodec
from heatherswitch.platform.reader import PlatformReader
from heatherswitch.platform.settings import (
    SettingsError,
    gateway_config,
    read_settings,
    settings_path,
)
from heatherswitch.platform.store import PlatformStore
from heatherswitch.util.clock import Clock
from heatherswitch.util.logs import configure_logs

log = logging.getLogger("heatherswitch.platform.gateway")

# Port for metrics and health; the deploy file names the same one.
METRICS_PORT = 7340
# Objects allocated between two collections of the youngest generation. The default
# of 700 collects several times for each request.
GC_THRESHOLD = 20_000
EXIT_USAGE = 2


def build_gateway(config: GatewayConfig, clock: Clock) -> Gateway:
    """Builds a gateway that speaks the platform's formats."""
    reader = PlatformReader()

    async def follow(sync: StoreSync, member: Member, moves: CurrentRollouts) -> None:
        timing = config.limits.timing
        store = PlatformStore.from_address(config.store, clock, timing)
        key = reader.member_prefix + member.id
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(sync.run(store, reader))
                group.create_task(
                    maintain_membership(
                        store, key, member.address, timing.member_ttl_s, clock
                    )
                )
                owner = RolloutOwner(store, reader, member.id, clock, moves)
                group.create_task(owner.run())
        finally:
            store.close()

    return Gateway(config, clock, PlatformCodec(), follow)


async def serve(config: GatewayConfig) -> None:
    """Runs a gateway until SIGTERM or SIGINT."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    loop.add_signal_handler(signal.SIGHUP, log_reload)
    gateway = build_gateway(config, Clock())
    await gateway.start()
    await stop.wait()
    await gateway.stop()


def log_reload() -> None:
    """Notes that the settings file changed.

    What a running gateway uses of it, its addresses and bounds, holds for the life
    of a process.
    """
    log.info("settings changed; they are read at the next start")


def main() -> None:
    """Entry point of the ``heatherswitch-gateway`` program."""
    try:
        config = gateway_config(read_settings(settings_path()))
    except SettingsError as error:
        print(f"error: {error}", file=sys.stderr)
        sys.exit(EXIT_USAGE)
    configure_logs("heatherswitch-gateway", config.id, stream=sys.stdout)
    gc.set_threshold(GC_THRESHOLD)
    asyncio.run(serve(replace(config, metrics_port=METRICS_PORT)))


if __name__ == "__main__":
    main()
