"""The network links of a deployment, each with its own fault proxy.

The name of a link consists of its kind and of the process that it belongs to:

- ``caller:ROUTER``: callers to a router.
- ``peer:ROUTER``: routers and agents to a router's exchange.
- ``agent:AGENT``: routers to an agent.
- ``backend:AGENT``: an agent to its backend server.
- ``store:PROCESS``: a router or agent to the store.
"""

from typing import Any

from emulator.proxy import FaultProxy

# Fault sets for :meth:`Links.set_faults`.
DISCONNECT = {"to_target": {"cut": True}, "to_client": {"cut": True}}
DROP_EXISTING = {
    "to_target": {"drop_existing": True},
    "to_client": {"drop_existing": True},
}
PARTITION = {"to_target": {"drop_all": True}, "to_client": {"drop_all": True}}
DROP_TO_TARGET = {"to_target": {"drop_all": True}}
DROP_TO_CLIENT = {"to_client": {"drop_all": True}}
LOSE_RESPONSES = {"to_client": {"lose_answers": True}}


class Links:
    """Creates the fault proxies of a deployment.

    With ``enabled`` False, processes connect to each other without proxies.
    """

    __slots__ = ("_enabled", "_proxies")

    def __init__(self, enabled: bool) -> None:
        self._enabled = enabled
        self._proxies: dict[str, FaultProxy] = {}

    @property
    def names(self) -> list[str]:
        """Names of all links that have a proxy, sorted."""
        return sorted(self._proxies)

    async def connect_address(self, name: str, target: str) -> str:
        """Returns the ``host:port`` through which to connect to a target.

        Creates the link's proxy on the first call; later calls change its target.
        """
        if not self._enabled:
            return target
        proxy = self._proxies.get(name)
        if proxy is not None:
            proxy.set_target(target)
            return proxy.address
        proxy = self._proxies[name] = FaultProxy(target)
        await proxy.start()
        return proxy.address

    def set_faults(self, name: str, faults: dict[str, Any]) -> None:
        """Replaces the faults of a link.

        :param faults: see :meth:`FaultProxy.set_faults
            <emulator.proxy.FaultProxy.set_faults>`.
        :raises KeyError: if the link has no proxy.
        """
        self._proxies[name].set_faults(faults)

    def open_connections(self, name: str) -> int:
        """Returns the number of open connections of a link.

        :raises KeyError: if the link has no proxy.
        """
        return self._proxies[name].open_connections

    async def stop(self) -> None:
        """Closes all proxies and their connections."""
        for proxy in self._proxies.values():
            await proxy.stop()
