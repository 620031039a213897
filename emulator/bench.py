"""Runs the benches, and the tables, CSV files and plots that they share.

``python -m emulator.bench`` runs every known bench with its defaults;
``python -m emulator.bench reuse --seed 2`` runs one of them with arguments.
"""

import csv
import importlib
import sys
from collections.abc import Mapping, Sequence
from pathlib import Path

# Module by name of the bench. Each has ``main(arguments) -> exit code``.
BENCHES = {"reuse": "emulator.bench_reuse"}

Row = Mapping[str, object]


def format_cell(value: object) -> str:
    """Returns a value as a table shows it."""
    return f"{value:.3f}" if isinstance(value, float) else str(value)


def table(rows: Sequence[Row]) -> list[str]:
    """Returns the lines of a table whose columns are those of the first row."""
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
    """Writes rows with a header line; the directory is made if needed."""
    path.parent.mkdir(parents=True, exist_ok=True)
    with open(path, "w", newline="") as file:
        writer = csv.DictWriter(file, list(rows[0]))
        writer.writeheader()
        writer.writerows(rows)


def plot_groups(
    path: Path, groups: Sequence[str], series: Mapping[str, Sequence[float]], label: str
) -> None:
    """Draws bars in groups and saves them in the format of the path's suffix.

    :param groups: names on the horizontal axis.
    :param series: values by name, one for each group.
    :param label: of the vertical axis.
    """
    # Only plots need this dev dependency, which takes a while to import.
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(9, 4.5))
    width = 0.8 / len(series)
    for number, (name, values) in enumerate(series.items()):
        places = [i + number * width for i in range(len(groups))]
        axes.bar(places, values, width, label=name)
    middle = width * (len(series) - 1) / 2
    axes.set_xticks([i + middle for i in range(len(groups))], groups)
    axes.set_ylabel(label)
    axes.legend(ncols=len(series), fontsize="small")
    figure.tight_layout()
    path.parent.mkdir(parents=True, exist_ok=True)
    figure.savefig(path)
    pyplot.close(figure)


def main(arguments: Sequence[str]) -> int:
    """Runs the named bench, or all; returns the highest exit code."""
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
