"""Faults that a soak injects, each as a coroutine that also ends its fault."""

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

# A pause of this length outlasts the lease of the move owner (5 s) and the time
# after which a silent member is suspect (2.5 s).
PAST_LEASE_S = 7.0
# Answers that a backend server swaps between requests.
SWAP_RATE = 0.3
STORE_DELAY_MS = 300
STORE_LOST_SHARE = 0.3
STALE_REVISIONS = 5

Injection = Callable[[Trial, random.Random], Awaitable[None]]


def _router(trial: Trial, rng: random.Random) -> ManagedProcess:
    return rng.choice(trial.launch.routers)


def _backend(trial: Trial, rng: random.Random, plain: bool | None = None) -> Backend:
    deployment = trial.launch.deployment
    backends = [
        item
        for item in trial.launch.backends
        if plain is None or plain == (item.service is deployment.plain)
    ]
    return rng.choice(backends)


async def _kill(trial: Trial, rng: random.Random, process: ManagedProcess) -> None:
    async with trial.hold(process.name):
        await trial.kill(process)
        await asyncio.sleep(rng.uniform(0.5, 6.0))
        await trial.restart(process)


async def kill_router(trial: Trial, rng: random.Random) -> None:
    """F1: a router, which may own the moves."""
    await _kill(trial, rng, _router(trial, rng))


async def kill_agent(trial: Trial, rng: random.Random) -> None:
    """F1: an agent, which may own claim partitions."""
    await _kill(trial, rng, _backend(trial, rng).agent)


async def kill_server(trial: Trial, rng: random.Random) -> None:
    """F1: a backend server."""
    await _kill(trial, rng, _backend(trial, rng).server)


async def _pause(trial: Trial, process: ManagedProcess, seconds: float) -> None:
    async with trial.hold(process.name):
        trial.pause(process)
        try:
            await asyncio.sleep(seconds)
        finally:
            trial.resume(process)


async def pause_router(trial: Trial, rng: random.Random) -> None:
    """F2: a router is paused past its lease."""
    await _pause(trial, _router(trial, rng), PAST_LEASE_S)


async def pause_agent(trial: Trial, rng: random.Random) -> None:
    """F2: an agent is paused, in half the cases past its removal."""
    seconds = rng.choice([PAST_LEASE_S, 12.0])
    await _pause(trial, _backend(trial, rng, plain=True).agent, seconds)


@asynccontextmanager
async def broken_link(trial: Trial, link: str, faults: dict[str, Any], kind: str):
    """Keeps faults on a link while the block runs."""
    async with trial.hold(link):
        trial.cut(link, faults, kind)
        try:
            yield
        finally:
            trial.heal(link, kind)


def _link(trial: Trial, rng: random.Random, kinds: str) -> str:
    names = [name for name in trial.launch.links.names if re.match(kinds, name)]
    return rng.choice(names)


async def partition(trial: Trial, rng: random.Random) -> None:
    """F3: a link carries nothing in one or both directions."""
    link = _link(trial, rng, "agent:|backend:|peer:|store:")
    ways = [links.PARTITION, links.DROP_TO_CLIENT, links.DROP_TO_TARGET]
    async with broken_link(trial, link, rng.choice(ways), "partition"):
        await asyncio.sleep(rng.uniform(1.0, 8.0))


async def silence(trial: Trial, rng: random.Random) -> None:
    """F4: the open connections of a link go silent for good; new ones work."""
    link = _link(trial, rng, "agent:|backend:|peer:|store:")
    async with broken_link(trial, link, links.DROP_EXISTING, "silent"):
        await asyncio.sleep(6.0)


async def lose_answers(trial: Trial, rng: random.Random) -> None:
    """F3 and F16: connections break once a request was delivered."""
    link = _link(trial, rng, "agent:|backend:|caller:")
    async with broken_link(trial, link, links.LOSE_RESPONSES, "answers lost"):
        await asyncio.sleep(rng.uniform(0.5, 2.0))


async def delay_link(trial: Trial, rng: random.Random) -> None:
    """F16: answers arrive late."""
    link = _link(trial, rng, "agent:|backend:")
    faults = {"to_client": {"delay_s": 0.3}}
    async with broken_link(trial, link, faults, "late"):
        await asyncio.sleep(rng.uniform(1.0, 4.0))


async def _store(trial: Trial, seconds: float, **faults: Any) -> None:
    async with trial.hold("store"):
        await trial.store_faults(**faults)
        try:
            await asyncio.sleep(seconds)
        finally:
            await trial.store_faults()


async def store_down(trial: Trial, rng: random.Random) -> None:
    """F5: the store closes connections, refuses them, or hangs."""
    faults = rng.choice([{"down": "close"}, {"down": "refuse"}, {"hang": True}])
    await _store(trial, rng.uniform(2.0, 12.0), **faults)


async def store_slow(trial: Trial, rng: random.Random) -> None:
    """F6: each call of the store takes longer."""
    await _store(trial, rng.uniform(2.0, 6.0), delay_ms=STORE_DELAY_MS)


async def store_loses(trial: Trial, rng: random.Random) -> None:
    """F7: answers to writes are lost after the write took effect."""
    seed = rng.randrange(10**6)
    await _store(trial, 5.0, lose_answer=STORE_LOST_SHARE, seed=seed)


async def store_stale(trial: Trial, rng: random.Random) -> None:
    """F8: the store answers from the past, in half the cases to a new process."""
    stale = asyncio.create_task(_store(trial, 9.0, stale=STALE_REVISIONS))
    if rng.random() < 0.5:
        await kill_router(trial, rng)
    await stale


async def go_cold(trial: Trial, rng: random.Random) -> None:
    """F12: an engine becomes cold without a sign."""
    server = _backend(trial, rng, plain=False).server
    await trial.server_faults(server, {"kind": "go_cold"})
    await trial.server_faults(server)


async def cross_answers(trial: Trial, rng: random.Random) -> None:
    """F16: an engine swaps answers between requests."""
    server = _backend(trial, rng, plain=False).server
    kind = rng.choice(["swap_id", "swap_answer"])
    await trial.server_faults(server, {"kind": kind, "rate": SWAP_RATE})
    await asyncio.sleep(3.0)
    await trial.server_faults(server)


async def break_answers(trial: Trial, rng: random.Random) -> None:
    """F17: an engine cuts or truncates its answers."""
    server = _backend(trial, rng, plain=False).server
    kind = rng.choice(["cut", "truncate", "error"])
    await trial.server_faults(server, {"kind": kind, "rate": SWAP_RATE})
    await asyncio.sleep(3.0)
    await trial.server_faults(server)


async def terminate(trial: Trial, rng: random.Random) -> None:
    """P9: a planned restart of a router or agent under load."""
    process = rng.choice([_router(trial, rng), _backend(trial, rng).agent])
    async with trial.hold(process.name):
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
