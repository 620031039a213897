"""The parts of a router that need the store: feed, move owner and operators."""

import logging
from collections.abc import Mapping
from typing import TYPE_CHECKING

from heatherswitch.exchange.feed import StoreFeed
from heatherswitch.exchange.node import FleetNode
from heatherswitch.fleet.records import MOVE_OWNER_KEY
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

# Time for running operator requests at a stop, in seconds.
OPERATOR_GRACE_S = 5.0


class ControlParts:
    """Starts and stops the parts that need the store, in order."""

    __slots__ = ("_feed", "_listen", "_operators", "_owner", "_store", "_watch")

    def __init__(
        self,
        store: StoreClient,
        feed: StoreFeed,
        owner: MoveOwner,
        watch: VersionMonitor,
        operators: OperatorApi,
        listen: str,
    ) -> None:
        self._store = store
        self._feed = feed
        self._owner = owner
        self._watch = watch
        self._operators = operators.server()
        self._listen = listen

    @classmethod
    def from_config(
        cls,
        config: "RouterConfig",
        node: FleetNode,
        runner: RequestRunner,
        clock: Clock,
    ) -> "ControlParts":
        """Builds the parts of one router.

        :raises ValueError: if the configuration names no store.
        """
        store = StoreClient.from_addresses(config.store)
        # Without peers there is nobody to wait for before the store is read.
        options = {} if config.peers else {"peers_first_s": 0.0}
        feed = StoreFeed.from_config(store, node, clock, **options)
        lease = Lease(store, MOVE_OWNER_KEY, config.id, LEASE_TTL_S, clock)
        watch = VersionMonitor(node, runner, config.id, clock, config.version_test)
        owner = MoveOwner.from_config(
            store, node, lease, config.id, clock, lambda: watch.judgements
        )
        traces = RequestTraces()
        logging.getLogger("heatherswitch").addHandler(traces)
        operators = OperatorApi.from_config(
            store, node, config.operator_token, config.id, clock, traces
        )
        return cls(store, feed, owner, watch, operators, config.operator_listen)

    @property
    def addresses(self) -> Mapping[str, str]:
        """Listener name to the ``host:port`` that is bound."""
        host = self._listen.rpartition(":")[0]
        return {"operator": f"{host}:{self._operators.port}"}

    async def start(self) -> None:
        """Starts the feed, the move owner and the operator listener."""
        host, _, port = self._listen.rpartition(":")
        await self._feed.start()
        await self._watch.start()
        await self._owner.start()
        await self._operators.start(host, int(port))

    async def stop(self) -> None:
        """Stops the operator listener first, so that no order is cut."""
        await self._operators.stop(OPERATOR_GRACE_S)
        await self._owner.stop()
        await self._watch.stop()
        await self._feed.stop()
        self._store.close()
