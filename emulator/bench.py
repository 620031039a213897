"""Runs benchmarks, and writes their tables, CSV files and plots.

``python -m emulator.bench`` runs all listed benchmarks with their defaults;
``python -m emulator.bench reuse --seed 2`` runs one of them with arguments.
"""

import csv
import importlib
import sys
from collections.abc import Mapping, Sequence
from pathlib import Path

# Modules of the benchmarks. Each has a function ``main(arguments) -> exit code``.
BENCHES = {"reuse": "emulator.bench_reuse"}

Row = Mapping[str, object]


def format_cell(value: object) -> str:
    """Formats a value for a table, with three decimals for floats."""
    return f"{value:.3f}" if isinstance(value, float) else str(value)


def format_table(rows: Sequence[Row]) -> list[str]:
    """Returns the lines of a table with the columns of the first row."""
    if not rows:
        return []
    names = list(rows[0])
    cells = [names, *([format_cell(row[name]) for name in names] for row in rows)]
    widths = [max(len(line[i]) for line in cells) for i in range(len(names))]
    return [
        "  ".join(
            cell.ljust(width) if i == 0 else cell.rjust(width)
            for i, (cell, width) in enumerate(zip(line, widths, strict=True))
        ).rstrip()
        for line in cells
    ]


def write_csv(path: Path, rows: Sequence[Row]) -> None:
    """Writes rows with a header line; creates the directory if needed."""
    path.parent.mkdir(parents=True, exist_ok=True)
    with open(path, "w", newline="") as file:
        writer = csv.DictWriter(file, list(rows[0]))
        writer.writeheader()
        writer.writerows(rows)


def plot_grouped_bars(
    path: Path, groups: Sequence[str], series: Mapping[str, Sequence[float]], label: str
) -> None:
    """Saves a grouped bar chart in the format given by the path's suffix.

    :param groups: labels on the horizontal axis.
    :param series: values by name of the series, one for each group.
    :param label: label of the vertical axis.
    """
    # Imported late, because only plots need this slow development dependency.
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(9, 4.5))
    width = 0.8 / len(series)
    for number, (name, values) in enumerate(series.items()):
        positions = [i + number * width for i in range(len(groups))]
        axes.bar(positions, values, width, label=name)
    tick_offset = width * (len(series) - 1) / 2
    axes.set_xticks([i + tick_offset for i in range(len(groups))], groups)
    axes.set_ylabel(label)
    axes.legend(ncols=len(series), fontsize="small")
    figure.tight_layout()
    path.parent.mkdir(parents=True, exist_ok=True)
    figure.savefig(path)
    pyplot.close(figure)


def main(arguments: Sequence[str]) -> int:
    """Runs the named benchmark, or all, and returns the highest exit code."""
    names = list(BENCHES)
    if arguments and arguments[0] in BENCHES:
        names, arguments = [arguments[0]], arguments[1:]
    elif arguments:
        print(f"bench: the first argument must be one of {', '.join(BENCHES)}")
        return 2
    codes = []
    for name in names:
        print(f"== {name}", flush=True)
        codes.append(importlib.import_module(BENCHES[name]).main(arguments))
    return max(codes)


if __name__ == "__main__":
    raise SystemExit(main(sys.argv[1:]))
