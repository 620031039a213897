"""Generated work: arrivals, returning chats and settlements, by a fixed seed."""

import random
from collections.abc import Iterator
from dataclasses import dataclass, field

# Words that prompts are made of.
VOCABULARY = tuple(f"term{number}" for number in range(2000))


@dataclass(frozen=True, slots=True)
class WorkloadConfig:
    """Shape of the work. Rates are per second, times in seconds.

    :param workspaces: weight by workspace.
    :param classes: weight of a chat's class by name.
    :param surge_factor: factor of the arrival rate of ``surge_workspace`` between
        ``surge_start_s`` and ``surge_end_s``.
    :param pause_s: mean pause between an answer and the chat's next turn.
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
    """One turn of a chat: a pause, then a question."""

    pause_s: float
    text: str
    max_tokens: int


@dataclass(frozen=True, slots=True)
class ChatPlan:
    """A chat that starts at a time and returns after pauses."""

    at_s: float
    chat_id: str
    workspace: str
    request_class: str
    system: str
    turns: tuple[ChatTurn, ...] = field(default_factory=tuple)


@dataclass(frozen=True, slots=True)
class ActionPlan:
    """A non-idempotent request to the plain service."""

    at_s: float
    key: str
    workspace: str
    path: str
    amount: int


def poisson_arrivals(
    rng: random.Random,
    rate: float,
    seconds: float,
    factor: float = 1.0,
    surge: tuple[float, float] = (0.0, 0.0),
) -> Iterator[float]:
    """Yields arrival times of an open loop, in seconds from the start.

    :param rate: mean arrivals per second.
    :param factor: factor of the rate between the two times of ``surge``.
    """
    peak = rate * max(1.0, factor)
    now = 0.0
    while peak > 0:
        now += rng.expovariate(peak)
        if now >= seconds:
            return
        here = rate * factor if surge[0] <= now < surge[1] else rate
        # Thinning: the candidates come at the peak rate.
        if rng.random() * peak < here:
            yield now


def _pick(rng: random.Random, weights: dict[str, float]) -> str:
    return rng.choices(list(weights), list(weights.values()))[0]


def _text(rng: random.Random, words: int) -> str:
    return " ".join(rng.choices(VOCABULARY, k=words))


def _arrivals(config: WorkloadConfig, rate: float, stream: str):
    """Yields time and workspace; each workspace has its own arrivals."""
    total = sum(config.workspaces.values())
    for workspace, weight in config.workspaces.items():
        surging = workspace == config.surge_workspace
        factor = config.surge_factor if surging else 1.0
        own = random.Random(f"{config.seed}/{stream}/{workspace}")
        surge = (config.surge_start_s, config.surge_end_s)
        times = poisson_arrivals(
            own, rate * weight / total, config.seconds, factor, surge
        )
        for at_s in times:
            yield at_s, workspace


def chat_plans(config: WorkloadConfig) -> list[ChatPlan]:
    """Returns the chats in the order of their start."""
    rng = random.Random(f"{config.seed}/chats")
    systems = {name: _text(rng, config.system_words) for name in config.workspaces}
    plans = []
    arrivals = sorted(_arrivals(config, config.chats_per_s, "chats"))
    for number, (at_s, workspace) in enumerate(arrivals):
        turns = []
        for turn in range(rng.randint(*config.turns)):
            pause = rng.expovariate(1 / config.pause_s) if turn else 0.0
            text = f"chat {number} " + _text(rng, rng.randint(*config.turn_words))
            turns.append(ChatTurn(pause, text, rng.randint(*config.answer_words)))
        plans.append(
            ChatPlan(
                at_s,
                f"chat-{config.seed}-{number}",
                workspace,
                _pick(rng, config.classes),
                systems[workspace],
                tuple(turns),
            )
        )
    return plans


def action_plans(config: WorkloadConfig) -> list[ActionPlan]:
    """Returns the settlements in the order of their start."""
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
