"""The network links of a deployment, each through a fault proxy of its own.

A link is named for its kind and for the process at its end that only it serves:

- ``caller:ROUTER``: callers to a router.
- ``peer:ROUTER``: routers and agents to a router's exchange.
- ``agent:AGENT``: routers to an agent.
- ``backend:AGENT``: an agent to its backend server.
- ``store:PROCESS``: a router or agent to the store.
"""

from typing import Any

from emulator.proxy import FaultProxy

# Faults of both directions, by name.
CUT = {"to_target": {"cut": True}, "to_client": {"cut": True}}
SILENT = {"to_target": {"drop_existing": True}, "to_client": {"drop_existing": True}}
PARTITION = {"to_target": {"drop_all": True}, "to_client": {"drop_all": True}}
ONE_WAY_OUT = {"to_target": {"drop_all": True}}
ONE_WAY_IN = {"to_client": {"drop_all": True}}
LOSE_ANSWERS = {"to_client": {"lose_answers": True}}


class Links:
    """Creates the proxies of a launch; without proxies, links are direct."""

    __slots__ = ("_enabled", "_proxies")

    def __init__(self, enabled: bool) -> None:
        self._enabled = enabled
        self._proxies: dict[str, FaultProxy] = {}

    @property
    def names(self) -> list[str]:
        """Names of all links that have a proxy."""
        return sorted(self._proxies)

    async def link(self, name: str, target: str) -> str:
        """Returns the address to connect to; a known link gets the new target."""
        if not self._enabled:
            return target
        proxy = self._proxies.get(name)
        if proxy is not None:
            proxy.retarget(target)
            return proxy.address
        proxy = self._proxies[name] = FaultProxy(target)
        await proxy.start()
        return proxy.address

    def set_faults(self, name: str, faults: dict[str, Any]) -> None:
        """Replaces the faults of a link; see :class:`~emulator.proxy.LinkFault`.

        :raises KeyError: if there is no such link.
        """
        self._proxies[name].set_faults(faults)

    def connections(self, name: str) -> int:
        """Returns the open connections of a link."""
        return self._proxies[name].connections

    async def stop(self) -> None:
        """Closes all proxies."""
        for proxy in self._proxies.values():
            await proxy.stop()
