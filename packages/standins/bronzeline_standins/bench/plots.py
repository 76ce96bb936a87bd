"""Plot recorded figures: resume gaps, waits in a demand swing, slow-engine tails."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

import matplotlib as mpl
import msgspec

from bronzeline_standins.bench.figure import Figure

mpl.use("Agg")

from matplotlib import pyplot as plt

__all__ = ["Figures", "draw_plots", "read_figures"]

PERCENTILES = ("p50", "p95", "p99")
RESUME_PERCENTILES = ("p50", "p95", "max")
SIZE_INCHES = (9.0, 4.5)
DPI = 110
TARGET_RESUME_MS = 4_000.0
TARGET_FIRST_TOKEN_MS = 910.0
Figures = dict[tuple[str, str], Figure]


@dataclass(frozen=True)
class Bars:
    """Hold one labelled series of bars."""

    label: str
    values: Sequence[float]


def read_figures(path: Path) -> Figures:
    """Read figures from a results file; a later figure replaces an earlier one."""
    decoder = msgspec.json.Decoder(Figure)
    figures = map(decoder.decode, path.read_bytes().splitlines())
    return {(item.scenario, item.measure): item for item in figures}


def draw_plots(figures: Figures, folder: Path) -> list[Path]:
    """Write every plot that has recorded figures into the folder; return the files."""
    folder.mkdir(parents=True, exist_ok=True)
    drawn = [
        _draw_resumes(figures, folder / "resume-latency.png"),
        _draw_waits(figures, "crest", folder / "waits-over-a-swing.png"),
        _draw_waits(figures, "slow", folder / "tails-under-slow-upstreams.png"),
    ]
    return [path for path in drawn if path is not None]


def _draw_resumes(figures: Figures, path: Path) -> Path | None:
    suffix = "_p95"
    faults = [
        measure.removesuffix(suffix)
        for scenario, measure in figures
        if scenario == "resume" and measure.endswith(suffix)
    ]
    faults = [item for item in faults if not item.startswith("part_")]
    if not faults:
        return None
    bars = [
        Bars(name, [_value(figures, "resume", f"{item}_{name}") for item in faults])
        for name in RESUME_PERCENTILES
    ]
    labels = [item.replace("_", "\n") for item in faults]
    title = "Gap in the output after a loss"
    return _draw(bars, labels, title, TARGET_RESUME_MS, path)


def _draw_waits(figures: Figures, scenario: str, path: Path) -> Path | None:
    classes = ("short", "large", "small")
    measures = [
        f"{kind}_first_token_{name}_ms" for kind in classes for name in PERCENTILES
    ]
    recorded = [item for item in measures if (scenario, item) in figures]
    if not recorded:
        return None
    rows = [figures[scenario, item] for item in recorded]
    bars = [
        Bars("bronzeline", [row.value for row in rows]),
        Bars("round robin", [row.baseline or 0.0 for row in rows]),
    ]
    labels = [
        item.removesuffix("_ms").replace("_first_token_", "\n") for item in recorded
    ]
    title = f"First token by class and workspace size: {scenario}"
    return _draw(bars, labels, title, TARGET_FIRST_TOKEN_MS, path)


def _value(figures: Figures, scenario: str, measure: str) -> float:
    figure = figures.get((scenario, measure))
    return 0.0 if figure is None else figure.value


def _draw(
    bars: Sequence[Bars],
    labels: Sequence[str],
    title: str,
    target_ms: float,
    path: Path,
) -> Path:
    figure, axes = plt.subplots(figsize=SIZE_INCHES, layout="constrained")
    width = 0.8 / len(bars)
    for number, series in enumerate(bars):
        positions = [index + number * width for index in range(len(labels))]
        axes.bar(positions, series.values, width, label=series.label)
    axes.axhline(target_ms, color="black", linestyle="--", label="target for p95")
    centre = width * (len(bars) - 1) / 2
    axes.set_xticks([index + centre for index in range(len(labels))], labels)
    axes.set_ylabel("ms")
    axes.set_title(title)
    axes.legend()
    figure.savefig(path, dpi=DPI)
    plt.close(figure)
    return path
