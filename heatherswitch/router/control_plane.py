"""The router's components that need the store: store watcher, move owner and operator API."""

import logging
from collections.abc import Mapping
from typing import TYPE_CHECKING

from heatherswitch.exchange.node import FleetNode
from heatherswitch.exchange.store_watcher import StoreWatcher
from heatherswitch.fleet.records import MOVE_OWNER_KEY
from heatherswitch.router.memory import operator_memory_bytes
from heatherswitch.router.move_owner import LEASE_TTL_S, MoveOwner
from heatherswitch.router.operators import OperatorApi
from heatherswitch.router.runner import RequestRunner
from heatherswitch.router.version_monitor import VersionMonitor
from heatherswitch.statecore.lease import Lease
from heatherswitch.statecore.store import StoreClient
from heatherswitch.util.clock import Clock
from heatherswitch.util.traces import RequestTraces

if TYPE_CHECKING:
    from heatherswitch.router.shell import RouterConfig

# How long a shutdown waits for running operator requests, in seconds.
OPERATOR_GRACE_S = 5.0


class ControlPlane:
    """Starts and stops the components that need the store."""

    __slots__ = (
        "_feed",
        "_operator_listen",
        "_operator_server",
        "_owner",
        "_store",
        "_version_monitor",
    )

    def __init__(
        self,
        store: StoreClient,
        feed: StoreWatcher,
        owner: MoveOwner,
        version_monitor: VersionMonitor,
        operators: OperatorApi,
        listen: str,
        memory_bytes: int,
    ) -> None:
        self._store = store
        self._feed = feed
        self._owner = owner
        self._version_monitor = version_monitor
        self._operator_server = operators.server(memory_bytes)
        self._operator_listen = listen

    @classmethod
    def from_config(
        cls,
        config: "RouterConfig",
        node: FleetNode,
        runner: RequestRunner,
        clock: Clock,
    ) -> "ControlPlane":
        """Builds the components of one router.

        :raises ValueError: if the configuration names no store.
        """
        store = StoreClient.from_addresses(config.store)
        # Without peers there is no need to wait for them before reading the store.
        options = {} if config.peers else {"peers_first_s": 0.0}
        feed = StoreWatcher.from_config(store, node, clock, **options)
        lease = Lease(store, MOVE_OWNER_KEY, config.id, LEASE_TTL_S, clock)
        version_monitor = VersionMonitor(
            node, runner, config.id, clock, config.version_test
        )
        owner = MoveOwner.from_config(
            store, node, lease, config.id, clock, lambda: version_monitor.judgements
        )
        traces = RequestTraces()
        logging.getLogger("heatherswitch").addHandler(traces)
        operators = OperatorApi.from_config(
            store, node, config.operator_token, config.id, clock, traces
        )
        return cls(
            store,
            feed,
            owner,
            version_monitor,
            operators,
            config.operator_listen,
            operator_memory_bytes(config.memory_mb),
        )

    @property
    def addresses(self) -> Mapping[str, str]:
        """Bound ``host:port`` by listener name."""
        host = self._operator_listen.rpartition(":")[0]
        return {"operator": f"{host}:{self._operator_server.port}"}

    async def start(self) -> None:
        """Starts all components, the operator listener last."""
        host, _, port = self._operator_listen.rpartition(":")
        await self._feed.start()
        await self._version_monitor.start()
        await self._owner.start()
        await self._operator_server.start(host, int(port))

    async def stop(self) -> None:
        """Stops all components.

        The operator listener is first, so that no operator request is interrupted.
        """
        await self._operator_server.stop(OPERATOR_GRACE_S)
        await self._owner.stop()
        await self._version_monitor.stop()
        await self._feed.stop()
        self._store.close()
