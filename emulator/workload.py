"""Generates arrivals, multi-turn chats and settlements from a fixed seed."""

import random
from collections.abc import Iterator
from dataclasses import dataclass, field

# Words used in generated prompts.
VOCABULARY = tuple(f"term{number}" for number in range(2000))


@dataclass(frozen=True, slots=True)
class WorkloadConfig:
    """Parameters of a workload. Rates are per second, times in seconds.

    :param workspaces: share of the arrivals by workspace, as relative weights.
    :param classes: relative weights of the request classes of chats.
    :param turns: smallest and largest number of turns of a chat.
    :param pause_s: mean pause between a response and the chat's next turn.
    :param system_words: length of the system prompt, which a workspace's chats share.
    :param turn_words: smallest and largest length of a user message.
    :param answer_words: smallest and largest length of a response.
    :param surge_factor: factor of the arrival rate of ``surge_workspace`` between
        ``surge_start_s`` and ``surge_end_s``.
    """

    workspaces: dict[str, float]
    classes: dict[str, float]
    model: str = "appraiser"
    chats_per_s: float = 2.0
    actions_per_s: float = 2.0
    action_paths: tuple[str, ...] = ("/ledger/settle",)
    seconds: float = 15.0
    turns: tuple[int, int] = (2, 4)
    pause_s: float = 0.8
    system_words: int = 60
    turn_words: tuple[int, int] = (40, 160)
    answer_words: tuple[int, int] = (20, 60)
    surge_workspace: str = ""
    surge_factor: float = 1.0
    surge_start_s: float = 0.0
    surge_end_s: float = 0.0
    seed: int = 1


@dataclass(frozen=True, slots=True)
class ChatTurn:
    """One turn of a chat: a pause and a user message.

    :param max_tokens: length of the response.
    """

    pause_s: float
    text: str
    max_tokens: int


@dataclass(frozen=True, slots=True)
class ChatPlan:
    """A chat of one or more turns.

    :param at_s: start in seconds since the start of the workload.
    """

    at_s: float
    chat_id: str
    workspace: str
    request_class: str
    system_prompt: str
    turns: tuple[ChatTurn, ...] = field(default_factory=tuple)


@dataclass(frozen=True, slots=True)
class ActionPlan:
    """A non-idempotent request to the plain service.

    :param at_s: arrival in seconds since the start of the workload.
    :param key: idempotency key.
    """

    at_s: float
    key: str
    workspace: str
    path: str
    amount: int


def poisson_arrivals(
    rng: random.Random,
    rate: float,
    seconds: float,
    surge_factor: float = 1.0,
    surge: tuple[float, float] = (0.0, 0.0),
) -> Iterator[float]:
    """Yields the arrival times of a Poisson process, in seconds from the start.

    :param rate: mean arrivals per second.
    :param seconds: length of the workload.
    :param surge_factor: factor of the rate during the surge.
    :param surge: start and end of the surge, in seconds.
    """
    peak_rate = rate * max(1.0, surge_factor)
    now = 0.0
    while peak_rate > 0:
        now += rng.expovariate(peak_rate)
        if now >= seconds:
            return
        current_rate = rate * surge_factor if surge[0] <= now < surge[1] else rate
        # Thinning: candidates are generated at the peak rate and some are rejected.
        if rng.random() * peak_rate < current_rate:
            yield now


def _choose_weighted(rng: random.Random, weights: dict[str, float]) -> str:
    return rng.choices(list(weights), list(weights.values()))[0]


def _random_text(rng: random.Random, words: int) -> str:
    return " ".join(rng.choices(VOCABULARY, k=words))


def _arrivals(config: WorkloadConfig, rate: float, kind: str):
    """Yields arrival times with their workspaces, one workspace after the other.

    Each workspace has its own random generator, so that a surge of one does not change
    the arrivals of the others.
    """
    total = sum(config.workspaces.values())
    for workspace, weight in config.workspaces.items():
        surging = workspace == config.surge_workspace
        surge_factor = config.surge_factor if surging else 1.0
        workspace_rng = random.Random(f"{config.seed}/{kind}/{workspace}")
        surge = (config.surge_start_s, config.surge_end_s)
        times = poisson_arrivals(
            workspace_rng, rate * weight / total, config.seconds, surge_factor, surge
        )
        for at_s in times:
            yield at_s, workspace


def chat_plans(config: WorkloadConfig) -> list[ChatPlan]:
    """Returns the chats, sorted by start time."""
    rng = random.Random(f"{config.seed}/chats")
    system_prompts = {
        name: _random_text(rng, config.system_words) for name in config.workspaces
    }
    plans = []
    arrivals = sorted(_arrivals(config, config.chats_per_s, "chats"))
    for number, (at_s, workspace) in enumerate(arrivals):
        turns = []
        for turn in range(rng.randint(*config.turns)):
            pause = rng.expovariate(1 / config.pause_s) if turn else 0.0
            text = f"chat {number} " + _random_text(
                rng, rng.randint(*config.turn_words)
            )
            turns.append(ChatTurn(pause, text, rng.randint(*config.answer_words)))
        plans.append(
            ChatPlan(
                at_s,
                f"chat-{config.seed}-{number}",
                workspace,
                _choose_weighted(rng, config.classes),
                system_prompts[workspace],
                tuple(turns),
            )
        )
    return plans


def action_plans(config: WorkloadConfig) -> list[ActionPlan]:
    """Returns the plans of all actions, sorted by start time."""
    rng = random.Random(f"{config.seed}/actions")
    arrivals = sorted(_arrivals(config, config.actions_per_s, "actions"))
    return [
        ActionPlan(
            at_s,
            f"key-{config.seed}-{number}",
            workspace,
            rng.choice(config.action_paths),
            rng.randint(1, 5000),
        )
        for number, (at_s, workspace) in enumerate(arrivals)
    ]
