"""Runs a deployment under test with callers, operator commands and injected faults.

Callers, stand-ins and the trial itself write what they observe to history files in the
run directory, which :mod:`emulator.checking` reads.
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

# Time until the load balancer notices a failing readiness check, in seconds.
BALANCER_DELAY_S = 1.0
# Time until SIGKILL after SIGTERM, in seconds: 5 of drain delay, the 60 that a router
# gives running requests, and a margin for the handover.
STOP_TIMEOUT_S = 75.0
# Longest time for which callers skip a router that is being stopped, in seconds.
MAX_TAKEN_OUT_S = 60.0
# Time after the start in which each router must know all agents, in seconds.
MEMBERS_TIMEOUT_S = 20.0
# Seconds without any data after which a caller gives up.
SILENCE_TIMEOUT_S = 20.0


class Trial:
    """One deployment with its callers, operator commands, faults and histories."""

    __slots__ = (
        "_call_count",
        "_caller",
        "_clock",
        "_counts",
        "_fault_locks",
        "_history",
        "_launch",
        "_marker",
        "_paused_names",
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
        self._call_count = 0
        self._paused_names: set[str] = set()
        self._fault_locks: defaultdict[str, asyncio.Lock] = defaultdict(asyncio.Lock)

    @classmethod
    def from_config(
        cls, config: LaunchConfig, sample_period_s: float = PERIOD_S
    ) -> "Trial":
        """Creates a trial without starting it; ``config.proxied`` allows link faults."""
        return cls(Launcher.from_config(config), sample_period_s)

    @property
    def launch(self) -> Launcher:
        """The launch that owns the processes under test."""
        return self._launch

    @property
    def counts(self) -> Counter[str]:
        """Number of operations by result, and of injected faults by kind."""
        return self._counts

    async def start(self) -> None:
        """Starts the deployment, the callers and the sampler, and the histories.

        :raises LaunchError: if the deployment does not start, or a router does not know
            all agents in time.
        """
        await self._launch.start()
        await self._wait_for_members()
        # The checker counts requests from here on: earlier ones are the launch's probes.
        members_known_at = self._clock.now()
        directory = self._launch.run_directory
        self._history = HistoryFile(directory / "harness.jsonl", self._clock)
        for backend in self._launch.backends:
            self.record_backend(backend, members_known_at)
        addresses = [await self._link_callers(r) for r in self._launch.routers]
        keys = self._launch.endpoints()["keys"]
        history = HistoryFile(directory / "callers.jsonl", self._clock)
        self._caller = Caller(addresses, keys, history, SILENCE_TIMEOUT_S)
        self._sampler = Sampler(
            self._launch, self._history, self._clock, self._paused_names, self._period_s
        )
        self._sampler.start()

    async def _wait_for_members(self) -> None:
        """Waits until each router lists all agents as live, so that pools are complete.

        :raises LaunchError: if a router does not within :data:`MEMBERS_TIMEOUT_S`.
        """
        expected = {item.agent.name for item in self._launch.backends}
        deadline = self._clock.now() + MEMBERS_TIMEOUT_S
        for router in self._launch.routers:
            live: set[str] = set()
            while live != expected:
                if self._clock.now() > deadline:
                    raise LaunchError(
                        f"{router.name} does not list these agents as live: "
                        f"{expected - live}"
                    )
                await asyncio.sleep(0.1)
                _, status = await self._launch.operator_request(
                    "GET", "/v1/status", router_name=router.name
                )
                members = [m for m in status["members"] if m["role"] == "agent"]
                live = {m["id"] for m in members if m["state"] == "live"}

    async def stop(self) -> None:
        """Stops the sampler, the callers and all processes, and closes the history."""
        if self._sampler is not None:
            await self._sampler.stop()
        for process in self._processes():
            process.signal(signal.SIGCONT)
        if self._caller is not None:
            self._caller.close()
        # No caller is left, so a graceful shutdown of the routers would only take time.
        for router in self._launch.routers:
            await router.kill()
        await self._launch.stop()
        self._history.close()

    def find_violations(self, bounds: Bounds | None = None) -> list[Violation]:
        """Checks the histories written so far.

        :param bounds: bounds of the invariants; the defaults if None.
        :raises HistoryError: if a history cannot be read.
        """
        return check_directory(self._launch.run_directory, bounds)

    def _processes(self) -> list[ManagedProcess]:
        backends = self._launch.backends
        agents = [item.agent for item in backends]
        return [*self._launch.routers, *agents, *(item.server for item in backends)]

    async def _link_callers(self, router: ManagedProcess) -> str:
        address = router.addresses["caller"]
        return await self._launch.links.connect_address(
            f"caller:{router.name}", address
        )

    def record_backend(self, backend: Backend, time: float | None = None) -> None:
        """Records a backend server, whose requests the checker counts from then on.

        :param time: seconds since the epoch; now if None.
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
        """Sends a call, repeats it through the next router if it may be repeated, and
        counts its outcome.
        """
        result = await self._caller.call(call, max_attempts)
        kind = "settlement" if call.key else "chat"
        self._counts[f"{kind} {result.outcome}"] += 1
        return result

    def chat(
        self, text: str, workspace: str, tokens: int = 24, stream: bool = False
    ) -> Call:
        """Builds a chat completion call.

        :param text: the prompt; its first four words are the chat id.
        :param tokens: ``max_tokens`` of the request.
        """
        self._call_count += 1
        engines = self._launch.deployment.engines.name
        messages = [{"role": "user", "content": text}]
        body = {"model": engines, "messages": messages, "max_tokens": tokens}
        return Call(
            f"chat-{self._call_count}",
            workspace,
            "",
            "/v1/chat/completions",
            {**body, "stream": stream},
            # The router accepts chat ids of at most 256 characters.
            chat_id=" ".join(text.split()[:4]),
        )

    def settlement(self, key: str, workspace: str) -> Call:
        """Builds a settlement call.

        :param key: idempotency key; calls with the same key still have request ids of
            their own.
        """
        self._call_count += 1
        path = f"/{self._launch.deployment.plain.name}/settle"
        body = {"key": key}
        return Call(f"settle-{self._call_count}", workspace, "", path, body, key=key)

    async def send_command(
        self,
        change: str,
        method: str,
        path: str,
        body: Any,
        router: str = "",
        **fields: Any,
    ) -> dict[str, Any] | None:
        """Sends an operator command and records it if it was accepted.

        :param change: kind of change in the history, for example ``zone_out``.
        :param router: name of the router that gets the command; empty for any.
        :param fields: further fields of the history event.
        :returns: the response's value, or None if the command was not accepted.
        """
        sent_at = self._clock.now()
        try:
            status, response = await self._launch.operator_request(
                method, path, body, router_name=router
            )
        except Exception as error:
            self._counts[f"{change} {type(error).__name__}"] += 1
            return None
        self._counts[f"{change} {'accepted' if status < 300 else status}"] += 1
        if status >= 300:
            return None
        values = {"revision": response.get("revision", 0), **fields}
        if response.get("move"):
            values["move"] = response["move"]
            # The router counts the deadline from the acceptance, which was before now.
            deadline_s = (body or {}).get("deadline_s", 0)
            values["deadline_at"] = self._clock.now() + deadline_s
            self._sampler.follow_move(response["move"])
        self._history.write("accepted", change=change, sent=sent_at, **values)
        return response

    async def move_zone(self, zone: str, out: bool, deadline_s: float = 30.0):
        """Takes a zone out of service or back into it.

        :returns: the response's value, or None if the command was not accepted.
        """
        direction = "out" if out else "back"
        path = f"/v1/zones/{zone}/{direction}"
        body = {"deadline_s": deadline_s}
        return await self.send_command(
            f"zone_{direction}", "POST", path, body, zone=zone
        )

    async def set_marker(self, router: str = "") -> dict[str, Any] | None:
        """Increments a setting that the sampler reads, to show which change is in force.

        :param router: name of the router that gets the command; empty for any.
        :returns: the response's value, or None if the command was not accepted.
        """
        self._marker += 1
        path = f"/v1/settings?path=/workspace={MARKER_WORKSPACE}"
        body = {"overrides": {"share": self._marker}}
        return await self.send_command(
            "settings", "PUT", path, body, router=router, marker=self._marker
        )

    # Faults

    def fault_lock(self, target: str) -> asyncio.Lock:
        """Returns the lock to hold while a fault is in force.

        It prevents concurrent fault schedules from injecting faults into one target.

        :param target: name of a process or link, or ``store``.
        """
        return self._fault_locks[target]

    def record_fault_start(self, target: str, kind: str) -> None:
        """Records that a fault is in force; an agent's server counts as absent then."""
        self._counts[f"fault {kind}"] += 1
        self._history.write("fault", target=target, kind=kind)
        self._record_membership(target, "left")

    def record_fault_end(self, target: str, kind: str) -> None:
        """Records that a fault has ended; an agent's server counts as present again."""
        self._history.write("fault_end", target=target, kind=kind)
        self._record_membership(target, "joined")

    def _record_membership(self, process: str, event: str) -> None:
        server = process.removeprefix("agent-")
        if server != process:
            self._history.write(event, server=server)

    async def kill(self, process: ManagedProcess) -> None:
        """Kills a process with SIGKILL and records the fault."""
        self.record_fault_start(process.name, "killed")
        await process.kill()
        if process in [item.server for item in self._launch.backends]:
            self._history.write("ended", server=process.name)

    async def restart(self, process: ManagedProcess, kind: str = "killed") -> None:
        """Starts a process that has ended, with its former arguments.

        It ends the recorded fault, and retargets the links that lead to the process.

        :param kind: kind of the fault that ended the process.
        :raises LaunchError: if it does not start.
        """
        process.start()
        await process.wait_ready()
        if process in self._launch.routers:
            await self._link_callers(process)
        for backend in self._launch.backends:
            if backend.server is process:
                address = process.addresses["address"]
                link = f"backend:{backend.agent.name}"
                await self._launch.links.connect_address(link, address)
            if process in (backend.server, backend.agent) and backend.server.alive:
                self.record_backend(backend)
        self.record_fault_end(process.name, kind)

    def pause(self, process: ManagedProcess) -> None:
        """Pauses a process with SIGSTOP; the sampler skips it until :meth:`resume`."""
        self.record_fault_start(process.name, "paused")
        self._paused_names.add(process.name)
        process.signal(signal.SIGSTOP)

    def resume(self, process: ManagedProcess) -> None:
        """Continues a paused process with SIGCONT and ends the recorded fault."""
        process.signal(signal.SIGCONT)
        self._paused_names.discard(process.name)
        self.record_fault_end(process.name, "paused")

    async def terminate(self, process: ManagedProcess) -> bool:
        """Stops a process with SIGTERM, as a planned stop.

        Callers skip a stopping router after :data:`BALANCER_DELAY_S`, as with a load
        balancer.

        :returns: False if it needed SIGKILL after :data:`STOP_TIMEOUT_S`.
        """
        self._counts["fault SIGTERM"] += 1
        values: dict[str, Any] = {"process": process.name, "pid": process.pid}
        for backend in self._launch.backends:
            if process is backend.agent:
                values["server"] = backend.server.name
                self._history.write("leaving", server=backend.server.name)
        is_router = process in self._launch.routers
        if is_router:
            values["router"] = await self._link_callers(process)
        self._history.write("stop", **values)
        stopping = asyncio.create_task(process.stop(STOP_TIMEOUT_S))
        if is_router:
            await asyncio.sleep(BALANCER_DELAY_S)
            self._caller.exclude_router(values["router"], MAX_TAKEN_OUT_S)
        graceful = await stopping
        self._history.write("stopped", **values, forced=not graceful)
        # The planned stop is over. Until the restart the process is absent, which P9
        # does not count as an interruption.
        self.record_fault_start(process.name, "stopped")
        return graceful

    def set_link_faults(self, link: str, faults: dict[str, Any], kind: str) -> None:
        """Injects faults into a link until :meth:`clear_link_faults`.

        :param link: name of the link; see :mod:`emulator.links`.
        :param faults: see :class:`~emulator.proxy.LinkFault`.
        :param kind: name of the fault in the history.
        """
        self.record_fault_start(link.partition(":")[2], kind)
        self._launch.links.set_faults(link, faults)

    def clear_link_faults(self, link: str, kind: str) -> None:
        """Removes the faults of a link.

        :param kind: the kind given to :meth:`set_link_faults`.
        """
        self._launch.links.set_faults(link, {})
        self.record_fault_end(link.partition(":")[2], kind)

    async def set_store_faults(self, **faults: Any) -> None:
        """Replaces the faults of the store; without arguments it has none.

        :param faults: see :class:`emulator.store.Faults`.
        """
        self._counts.update(f"fault store {name}" for name in faults)
        self._history.write("store_faults", faults=faults)
        control = self._launch.store.addresses["control"]
        await self._post(control, faults)

    async def set_server_faults(self, server: ManagedProcess, *faults: dict) -> None:
        """Replaces the faults of a backend server; without faults it has none.

        A server that does not respond is left as it is.
        """
        self._counts.update(f"fault server {fault['kind']}" for fault in faults)
        with contextlib.suppress(HttpError):
            await self._post(server.addresses["address"], {"faults": list(faults)})

    async def _post(self, address: str, value: Any) -> None:
        client = HttpClient.from_address(address)
        try:
            await client.request_json("POST", "/_faults", value)
        finally:
            client.close()
