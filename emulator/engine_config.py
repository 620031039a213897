"""Settings of the stand-in engine and their command line options."""

import argparse
from dataclasses import dataclass, field, replace

from emulator.batching import PerformanceModel

# Fields of EngineConfig and PerformanceModel that have an option of the same name.
METRIC_AND_EVENT_OPTIONS = ("report_lag_s", "event_lag_s", "event_gap_rate")
PERFORMANCE_OPTIONS = ("step_s", "prefill_per_token_s", "max_batch", "safe_running")


@dataclass(frozen=True, slots=True)
class EngineConfig:
    """Settings of one engine.

    :param cache_blocks: capacity of the prefix cache in blocks.
    :param report_lag_s: age of the load that ``/metrics`` reports, in seconds.
    :param event_lag_s: age at which a cache event is published, in seconds.
    :param event_gap_rate: share of cache events that are never published.
    :param warm: skips the cold start.
    :param seed: seed of random faults and lost cache events.
    :param history: path of the file that records requests; None records nothing.
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
    performance: PerformanceModel = field(default_factory=PerformanceModel)


def add_engine_options(parser: argparse.ArgumentParser) -> None:
    """Adds the engine's own options; the defaults are those of the settings."""
    defaults, performance = EngineConfig(), PerformanceModel()
    for name in ("model", "version"):
        parser.add_argument(f"--{name}", default=getattr(defaults, name))
    parser.add_argument("--cache-blocks", type=int, default=defaults.cache_blocks)
    for name in METRIC_AND_EVENT_OPTIONS:
        flag = "--" + name.replace("_", "-")
        parser.add_argument(flag, type=float, default=getattr(defaults, name))
    for name in PERFORMANCE_OPTIONS:
        flag, value = "--" + name.replace("_", "-"), getattr(performance, name)
        parser.add_argument(flag, type=type(value), default=value)
    parser.add_argument("--warm", action="store_true", help="skip the cold start")


def config_from_options(options: argparse.Namespace) -> EngineConfig:
    """Returns the settings that the parsed options describe."""
    performance = PerformanceModel()
    performance = replace(
        performance, **{name: getattr(options, name) for name in PERFORMANCE_OPTIONS}
    )
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
        performance=performance,
    )
