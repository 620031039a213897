"""A deployment under test: operations, faults and the witnesses that record them.

The histories in the run directory are what :mod:`emulator.checking` reads.
"""

import asyncio
import contextlib
import signal
from collections import Counter, defaultdict
from typing import Any

from emulator.caller import Call, Caller, CallResult
from emulator.checking import Bounds, Violation, check_directory
from emulator.launch import Backend, LaunchConfig, Launcher
from emulator.processes import LaunchError, ManagedProcess
from emulator.sampler import MARKER_WORKSPACE, PERIOD_S, Sampler
from emulator.standin import HistoryFile
from heatherswitch.util.clock import Clock
from heatherswitch.util.http import HttpError
from heatherswitch.util.http_client import HttpClient

# A load balancer notices a failing readiness check within this, in seconds.
BALANCER_S = 1.0
# Longest planned stop, in seconds: 5 of drain delay, the 60 that a router gives running
# requests, and some for the handover.
STOP_LIMIT_S = 75.0
# Longest time that callers leave out a router that is stopped, in seconds.
TAKEN_OUT_S = 60.0
# Time in which all members must be known after the start, in seconds.
SETTLED_S = 20.0
# Callers give up after this long without any data, in seconds.
SILENCE_S = 20.0


class Trial:
    """One deployment with its callers, operators, faults and witnesses."""

    __slots__ = (
        "_caller",
        "_clock",
        "_counts",
        "_history",
        "_holders",
        "_launch",
        "_marker",
        "_number",
        "_paused",
        "_period_s",
        "_sampler",
    )

    def __init__(self, launch: Launcher, sample_period_s: float = PERIOD_S) -> None:
        """:param sample_period_s: seconds between two samples of each process."""
        self._period_s = sample_period_s
        self._launch = launch
        self._clock = Clock()
        self._counts: Counter[str] = Counter()
        self._history = HistoryFile(None)
        self._caller: Caller | None = None
        self._sampler: Sampler | None = None
        self._marker = 1
        self._number = 0
        self._paused: set[str] = set()
        self._holders: defaultdict[str, asyncio.Lock] = defaultdict(asyncio.Lock)

    @classmethod
    def from_config(
        cls, config: LaunchConfig, sample_period_s: float = PERIOD_S
    ) -> "Trial":
        """Prepares a trial; a proxied launch has a proxy in each link."""
        return cls(Launcher.from_config(config), sample_period_s)

    @property
    def launch(self) -> Launcher:
        """The processes under test."""
        return self._launch

    @property
    def counts(self) -> Counter[str]:
        """Operations by result and faults by kind."""
        return self._counts

    async def start(self) -> None:
        """Starts everything.

        :raises LaunchError: if the deployment does not start.
        """
        await self._launch.start()
        await self._wait_members()
        # Pools are complete from here; the probes of the launch came before.
        settled = self._clock.now()
        directory = self._launch.run_directory
        self._history = HistoryFile(directory / "harness.jsonl", self._clock)
        for backend in self._launch.backends:
            self.note_backend(backend, settled)
        addresses = [await self._caller_link(r) for r in self._launch.routers]
        keys = self._launch.endpoints()["keys"]
        history = HistoryFile(directory / "callers.jsonl", self._clock)
        self._caller = Caller(addresses, keys, history, SILENCE_S)
        self._sampler = Sampler(
            self._launch, self._history, self._clock, self._paused, self._period_s
        )
        self._sampler.start()

    async def _wait_members(self) -> None:
        """Waits until each router knows all agents, so that pools are complete.

        :raises LaunchError: if that takes too long.
        """
        wanted = {item.agent.name for item in self._launch.backends}
        limit = self._clock.now() + SETTLED_S
        for router in self._launch.routers:
            live: set[str] = set()
            while live != wanted:
                if self._clock.now() > limit:
                    raise LaunchError(f"{router.name} misses {wanted - live}")
                await asyncio.sleep(0.1)
                _, status = await self._launch.operator_request(
                    "GET", "/v1/status", router_name=router.name
                )
                members = [m for m in status["members"] if m["role"] == "agent"]
                live = {m["id"] for m in members if m["state"] == "live"}

    async def stop(self) -> None:
        """Ends all processes."""
        if self._sampler is not None:
            await self._sampler.stop()
        for process in self._processes():
            process.signal(signal.SIGCONT)
        if self._caller is not None:
            self._caller.close()
        # Routers that drain without load would only take time.
        for router in self._launch.routers:
            await router.kill()
        await self._launch.stop()
        self._history.close()

    def verdict(self, bounds: Bounds | None = None) -> list[Violation]:
        """Returns the violations that the histories show."""
        return check_directory(self._launch.run_directory, bounds)

    def _processes(self) -> list[ManagedProcess]:
        backends = self._launch.backends
        agents = [item.agent for item in backends]
        return [*self._launch.routers, *agents, *(item.server for item in backends)]

    async def _caller_link(self, router: ManagedProcess) -> str:
        address = router.addresses["caller"]
        return await self._launch.links.connect_address(
            f"caller:{router.name}", address
        )

    def note_backend(self, backend: Backend, time: float | None = None) -> None:
        """Introduces a backend server to the checker.

        :param time: seconds since the epoch from which it may take work; now if None.
        """
        self._history.write(
            "backend",
            time=time or self._clock.now(),
            server=backend.server.name,
            service=backend.service.name,
            zone=backend.zone,
            version=backend.version,
            engine=backend.service is self._launch.deployment.engines,
        )

    # Operations

    async def call(self, call: Call, max_attempts: int = 6) -> CallResult:
        """Sends a call through the routers in turn."""
        result = await self._caller.call(call, max_attempts)
        kind = "settlement" if call.key else "chat"
        self._counts[f"{kind} {result.outcome}"] += 1
        return result

    def chat(
        self, text: str, workspace: str, tokens: int = 24, stream: bool = False
    ) -> Call:
        """Builds a chat."""
        self._number += 1
        engines = self._launch.deployment.engines.name
        messages = [{"role": "user", "content": text}]
        body = {"model": engines, "messages": messages, "max_tokens": tokens}
        return Call(
            f"chat-{self._number}",
            workspace,
            "",
            "/v1/chat/completions",
            {**body, "stream": stream},
            # The router takes at most 256 characters.
            chat_id=" ".join(text.split()[:4]),
        )

    def settlement(self, key: str, workspace: str) -> Call:
        """Builds a settlement; each has request ids of its own."""
        self._number += 1
        path = f"/{self._launch.deployment.plain.name}/settle"
        body = {"key": key}
        return Call(f"settle-{self._number}", workspace, "", path, body, key=key)

    async def order(
        self,
        change: str,
        method: str,
        path: str,
        body: Any,
        router: str = "",
        **noted: Any,
    ) -> dict[str, Any] | None:
        """Sends an operator's order; returns the answer, or None if not accepted."""
        sent = self._clock.now()
        try:
            status, answer = await self._launch.operator_request(
                method, path, body, router_name=router
            )
        except Exception as error:
            self._counts[f"{change} {type(error).__name__}"] += 1
            return None
        self._counts[f"{change} {'accepted' if status < 300 else status}"] += 1
        if status >= 300:
            return None
        values = {"revision": answer.get("revision", 0), **noted}
        if answer.get("move"):
            values["move"] = answer["move"]
            # The deadline counts from the acceptance at the latest.
            deadline_s = (body or {}).get("deadline_s", 0)
            values["deadline_at"] = self._clock.now() + deadline_s
            self._sampler.follow(answer["move"])
        self._history.write("accepted", change=change, sent=sent, **values)
        return answer

    async def move_zone(self, zone: str, out: bool, deadline_s: float = 30.0):
        """Orders a zone out or back; returns the answer, or None."""
        word = "out" if out else "back"
        path = f"/v1/zones/{zone}/{word}"
        body = {"deadline_s": deadline_s}
        return await self.order(f"zone_{word}", "POST", path, body, zone=zone)

    async def set_marker(self, router: str = "") -> dict[str, Any] | None:
        """Raises the setting by which the sampler follows changes.

        :param router: name of the router that takes the order; empty for any.
        """
        self._marker += 1
        path = f"/v1/settings?path=/workspace={MARKER_WORKSPACE}"
        body = {"overrides": {"share": self._marker}}
        return await self.order(
            "settings", "PUT", path, body, router=router, marker=self._marker
        )

    # Faults

    def hold(self, target: str) -> asyncio.Lock:
        """Returns the lock by which only one schedule at a time disturbs a target."""
        return self._holders[target]

    def begin(self, target: str, kind: str) -> None:
        """Records that a fault is in force."""
        self._counts[f"fault {kind}"] += 1
        self._history.write("fault", target=target, kind=kind)
        self._membership(target, "left")

    def end(self, target: str, kind: str) -> None:
        """Records that a fault is over."""
        self._history.write("fault_end", target=target, kind=kind)
        self._membership(target, "joined")

    def _membership(self, process: str, event: str) -> None:
        server = process.removeprefix("agent-")
        if server != process:
            self._history.write(event, server=server)

    async def kill(self, process: ManagedProcess) -> None:
        """Ends a process with SIGKILL."""
        self.begin(process.name, "killed")
        await process.kill()
        if process in [item.server for item in self._launch.backends]:
            self._history.write("ended", server=process.name)

    async def restart(self, process: ManagedProcess, kind: str = "killed") -> None:
        """Starts a process that has ended, with its former arguments.

        :raises LaunchError: if it does not start.
        """
        process.start()
        await process.wait_ready()
        if process in self._launch.routers:
            await self._caller_link(process)
        for backend in self._launch.backends:
            if backend.server is process:
                address = process.addresses["address"]
                link = f"backend:{backend.agent.name}"
                await self._launch.links.connect_address(link, address)
            if process in (backend.server, backend.agent) and backend.server.alive:
                self.note_backend(backend)
        self.end(process.name, kind)

    def pause(self, process: ManagedProcess) -> None:
        """Stops a process with SIGSTOP."""
        self.begin(process.name, "paused")
        self._paused.add(process.name)
        process.signal(signal.SIGSTOP)

    def resume(self, process: ManagedProcess) -> None:
        """Continues a paused process."""
        process.signal(signal.SIGCONT)
        self._paused.discard(process.name)
        self.end(process.name, "paused")

    async def terminate(self, process: ManagedProcess) -> bool:
        """Stops a process with SIGTERM; returns False if SIGKILL was needed."""
        self._counts["fault SIGTERM"] += 1
        values: dict[str, Any] = {"process": process.name, "pid": process.pid}
        for backend in self._launch.backends:
            if process is backend.agent:
                values["server"] = backend.server.name
                self._history.write("leaving", server=backend.server.name)
        router = process in self._launch.routers
        if router:
            values["router"] = await self._caller_link(process)
        self._history.write("stop", **values)
        stopping = asyncio.create_task(process.stop(STOP_LIMIT_S))
        if router:
            await asyncio.sleep(BALANCER_S)
            self._caller.take_out(values["router"], TAKEN_OUT_S)
        graceful = await stopping
        self._history.write("stopped", **values, forced=not graceful)
        # From here the process is absent, which is not an interruption.
        self.begin(process.name, "stopped")
        return graceful

    def cut(self, link: str, faults: dict[str, Any], kind: str) -> None:
        """Puts faults on a link; :meth:`heal` ends them."""
        self.begin(link.partition(":")[2], kind)
        self._launch.links.set_faults(link, faults)

    def heal(self, link: str, kind: str) -> None:
        """Ends the faults of a link."""
        self._launch.links.set_faults(link, {})
        self.end(link.partition(":")[2], kind)

    async def store_faults(self, **faults: Any) -> None:
        """Replaces the faults of the store; see :class:`emulator.store.Faults`."""
        self._counts.update(f"fault store {name}" for name in faults)
        self._history.write("store_faults", faults=faults)
        control = self._launch.store.addresses["control"]
        await self._post(control, faults)

    async def server_faults(self, server: ManagedProcess, *faults: dict) -> None:
        """Replaces the faults of a backend server."""
        self._counts.update(f"fault server {fault['kind']}" for fault in faults)
        with contextlib.suppress(HttpError):
            await self._post(server.addresses["address"], {"faults": list(faults)})

    async def _post(self, address: str, value: Any) -> None:
        client = HttpClient.from_address(address)
        try:
            await client.request_json("POST", "/_faults", value)
        finally:
            client.close()
