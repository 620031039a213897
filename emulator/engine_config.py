"""Settings of the stand-in engine and their options."""

import argparse
from dataclasses import dataclass, field, replace

from emulator.batching import BatchTimes

# Fields of EngineConfig and BatchTimes that have an option of the same name.
LAG_OPTIONS = ("report_lag_s", "event_lag_s", "event_gap_rate")
TIME_OPTIONS = ("step_s", "prefill_per_token_s", "max_batch", "safe_running")


@dataclass(frozen=True, slots=True)
class EngineConfig:
    """Settings of one engine.

    :param cache_blocks: prefix blocks that fit the memory.
    :param report_lag_s: age of the load that ``/metrics`` reports, in seconds.
    :param event_lag_s: age at which a cache event is published, in seconds.
    :param event_gap_rate: share of cache events that are never published.
    """

    model: str = "appraiser"
    version: str = "v1"
    cache_blocks: int = 4096
    report_lag_s: float = 0.5
    event_lag_s: float = 0.5
    event_gap_rate: float = 0.02
    warm: bool = False
    seed: int = 0
    history: str | None = None
    times: BatchTimes = field(default_factory=BatchTimes)


def add_engine_options(parser: argparse.ArgumentParser) -> None:
    """Adds the options of the engine to a parser."""
    defaults, times = EngineConfig(), BatchTimes()
    for name in ("model", "version"):
        parser.add_argument(f"--{name}", default=getattr(defaults, name))
    parser.add_argument("--cache-blocks", type=int, default=defaults.cache_blocks)
    for name in LAG_OPTIONS:
        flag = "--" + name.replace("_", "-")
        parser.add_argument(flag, type=float, default=getattr(defaults, name))
    for name in TIME_OPTIONS:
        flag, value = "--" + name.replace("_", "-"), getattr(times, name)
        parser.add_argument(flag, type=type(value), default=value)
    parser.add_argument("--warm", action="store_true", help="skip the cold start")


def config_from_options(options: argparse.Namespace) -> EngineConfig:
    """Builds the settings from parsed options."""
    times = BatchTimes()
    times = replace(times, **{name: getattr(options, name) for name in TIME_OPTIONS})
    return EngineConfig(
        model=options.model,
        version=options.version,
        cache_blocks=options.cache_blocks,
        report_lag_s=options.report_lag_s,
        event_lag_s=options.event_lag_s,
        event_gap_rate=options.event_gap_rate,
        warm=options.warm,
        seed=options.seed,
        history=options.history,
        times=times,
    )
