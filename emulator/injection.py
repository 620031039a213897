"""Faults that a soak injects.

Each is a coroutine that injects one fault, waits and ends the fault. The names of the
functions are values of ``--faults`` in :mod:`emulator.soak`. F1 to F17 and P9 number the
faults and invariants of the specification.
"""

import asyncio
import random
import re
from collections.abc import Awaitable, Callable
from contextlib import asynccontextmanager
from typing import Any

from emulator import links
from emulator.launch import Backend
from emulator.processes import ManagedProcess
from emulator.trial import Trial

# Longer than the lease of the move owner (5 s) and the time after which a silent member
# is suspect (2.5 s).
PAUSE_PAST_LEASE_S = 7.0
# Share of its responses that a faulty backend server swaps, cuts or replaces by an error.
RESPONSE_FAULT_RATE = 0.3
# Delay of each call to the store, in milliseconds.
STORE_DELAY_MS = 300
# Share of the writes whose response the store loses.
STORE_LOST_RESPONSE_SHARE = 0.3
# How many revisions in the past the store reads from.
STORE_STALE_REVISIONS = 5

Injection = Callable[[Trial, random.Random], Awaitable[None]]


def _choose_router(trial: Trial, rng: random.Random) -> ManagedProcess:
    return rng.choice(trial.launch.routers)


def _choose_backend(
    trial: Trial, rng: random.Random, plain: bool | None = None
) -> Backend:
    deployment = trial.launch.deployment
    backends = [
        item
        for item in trial.launch.backends
        if plain is None or plain == (item.service is deployment.plain)
    ]
    return rng.choice(backends)


async def _kill_and_restart(
    trial: Trial, rng: random.Random, process: ManagedProcess
) -> None:
    async with trial.fault_lock(process.name):
        await trial.kill(process)
        await asyncio.sleep(rng.uniform(0.5, 6.0))
        await trial.restart(process)


async def kill_router(trial: Trial, rng: random.Random) -> None:
    """F1: kills a router, which may own the moves."""
    await _kill_and_restart(trial, rng, _choose_router(trial, rng))


async def kill_agent(trial: Trial, rng: random.Random) -> None:
    """F1: kills an agent, which may own claim partitions."""
    await _kill_and_restart(trial, rng, _choose_backend(trial, rng).agent)


async def kill_server(trial: Trial, rng: random.Random) -> None:
    """F1: kills a backend server."""
    await _kill_and_restart(trial, rng, _choose_backend(trial, rng).server)


async def _pause_for(trial: Trial, process: ManagedProcess, seconds: float) -> None:
    async with trial.fault_lock(process.name):
        trial.pause(process)
        try:
            await asyncio.sleep(seconds)
        finally:
            trial.resume(process)


async def pause_router(trial: Trial, rng: random.Random) -> None:
    """F2: pauses a router until after its lease has expired."""
    await _pause_for(trial, _choose_router(trial, rng), PAUSE_PAST_LEASE_S)


async def pause_agent(trial: Trial, rng: random.Random) -> None:
    """F2: pauses the agent of a plain service.

    In half the cases the pause is so long that the members remove the agent.
    """
    seconds = rng.choice([PAUSE_PAST_LEASE_S, 12.0])
    await _pause_for(trial, _choose_backend(trial, rng, plain=True).agent, seconds)


@asynccontextmanager
async def link_faults(trial: Trial, link: str, faults: dict[str, Any], kind: str):
    """Injects faults into a link while the block runs.

    :param kind: name of the fault in the history.
    """
    async with trial.fault_lock(link):
        trial.set_link_faults(link, faults, kind)
        try:
            yield
        finally:
            trial.clear_link_faults(link, kind)


def _choose_link(trial: Trial, rng: random.Random, pattern: str) -> str:
    names = [name for name in trial.launch.links.names if re.match(pattern, name)]
    return rng.choice(names)


async def partition(trial: Trial, rng: random.Random) -> None:
    """F3: drops all data on a link in one or both directions."""
    link = _choose_link(trial, rng, "agent:|backend:|peer:|store:")
    directions = [links.PARTITION, links.DROP_TO_CLIENT, links.DROP_TO_TARGET]
    async with link_faults(trial, link, rng.choice(directions), "partition"):
        await asyncio.sleep(rng.uniform(1.0, 8.0))


async def silence(trial: Trial, rng: random.Random) -> None:
    """F4: drops all further data on the open connections of a link; new ones work."""
    link = _choose_link(trial, rng, "agent:|backend:|peer:|store:")
    async with link_faults(trial, link, links.DROP_EXISTING, "silent"):
        await asyncio.sleep(6.0)


async def lose_answers(trial: Trial, rng: random.Random) -> None:
    """F3 and F16: breaks the connections of a link after delivering a request."""
    link = _choose_link(trial, rng, "agent:|backend:|caller:")
    async with link_faults(trial, link, links.LOSE_RESPONSES, "answers lost"):
        await asyncio.sleep(rng.uniform(0.5, 2.0))


async def delay_link(trial: Trial, rng: random.Random) -> None:
    """F16: delays the responses on a link."""
    link = _choose_link(trial, rng, "agent:|backend:")
    faults = {"to_client": {"delay_s": 0.3}}
    async with link_faults(trial, link, faults, "late"):
        await asyncio.sleep(rng.uniform(1.0, 4.0))


async def _hold_store_faults(trial: Trial, seconds: float, **faults: Any) -> None:
    async with trial.fault_lock("store"):
        await trial.set_store_faults(**faults)
        try:
            await asyncio.sleep(seconds)
        finally:
            await trial.set_store_faults()


async def store_down(trial: Trial, rng: random.Random) -> None:
    """F5: lets the store close connections, refuse them or never respond."""
    faults = rng.choice([{"down": "close"}, {"down": "refuse"}, {"hang": True}])
    await _hold_store_faults(trial, rng.uniform(2.0, 12.0), **faults)


async def store_slow(trial: Trial, rng: random.Random) -> None:
    """F6: delays each call to the store."""
    await _hold_store_faults(trial, rng.uniform(2.0, 6.0), delay_ms=STORE_DELAY_MS)


async def store_loses(trial: Trial, rng: random.Random) -> None:
    """F7: loses responses of the store to writes that took effect."""
    seed = rng.randrange(10**6)
    await _hold_store_faults(
        trial, 5.0, lose_answer=STORE_LOST_RESPONSE_SHARE, seed=seed
    )


async def store_stale(trial: Trial, rng: random.Random) -> None:
    """F8: lets the store serve stale reads; in half the cases a router restarts then."""
    stale = asyncio.create_task(
        _hold_store_faults(trial, 9.0, stale=STORE_STALE_REVISIONS)
    )
    if rng.random() < 0.5:
        await kill_router(trial, rng)
    await stale


async def go_cold(trial: Trial, rng: random.Random) -> None:
    """F12: makes an engine cold, with an empty cache, without an announcement."""
    server = _choose_backend(trial, rng, plain=False).server
    await trial.set_server_faults(server, {"kind": "go_cold"})
    await trial.set_server_faults(server)


async def cross_answers(trial: Trial, rng: random.Random) -> None:
    """F16: lets an engine swap responses or their ids between requests."""
    server = _choose_backend(trial, rng, plain=False).server
    kind = rng.choice(["swap_id", "swap_answer"])
    await trial.set_server_faults(server, {"kind": kind, "rate": RESPONSE_FAULT_RATE})
    await asyncio.sleep(3.0)
    await trial.set_server_faults(server)


async def break_answers(trial: Trial, rng: random.Random) -> None:
    """F17: lets an engine cut or truncate its responses, or fail."""
    server = _choose_backend(trial, rng, plain=False).server
    kind = rng.choice(["cut", "truncate", "error"])
    await trial.set_server_faults(server, {"kind": kind, "rate": RESPONSE_FAULT_RATE})
    await asyncio.sleep(3.0)
    await trial.set_server_faults(server)


async def terminate(trial: Trial, rng: random.Random) -> None:
    """P9: restarts a router or agent under load with SIGTERM."""
    process = rng.choice(
        [_choose_router(trial, rng), _choose_backend(trial, rng).agent]
    )
    async with trial.fault_lock(process.name):
        await trial.terminate(process)
        await asyncio.sleep(rng.uniform(0.0, 2.0))
        await trial.restart(process, "stopped")


INJECTIONS: dict[str, Injection] = {
    item.__name__: item
    for item in (
        kill_router,
        kill_agent,
        kill_server,
        pause_router,
        pause_agent,
        partition,
        silence,
        lose_answers,
        delay_link,
        store_down,
        store_slow,
        store_loses,
        store_stale,
        go_cold,
        cross_answers,
        break_answers,
        terminate,
    )
}
