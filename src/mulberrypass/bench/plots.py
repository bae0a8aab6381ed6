"""Scatter plots of experiments as SVG, without a library of plots."""

from __future__ import annotations

from dataclasses import dataclass
from html import escape
import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

WIDTH, HEIGHT = 640, 380
LEFT, RIGHT, TOP, BOTTOM = 70, 150, 20, 50
RADIUS = 4
LABEL_GAP = 7
LABEL_WIDTH, LINE = 140, 12
COLOURS = ("#1b6ca8", "#c0392b", "#27813a", "#8e44ad", "#b9770e", "#34495e")


@dataclass(frozen=True, slots=True)
class Point:
    """One point of a plot, with what it is called."""

    label: str
    x: float
    y: float


@dataclass(frozen=True, slots=True)
class Axis:
    """One axis; logarithmic where values lie far apart.

    :param start: pixel of the least value
    :param end: pixel of the greatest
    """

    name: str
    least: float
    most: float
    start: float
    end: float

    @property
    def logarithmic(self) -> bool:
        """Whether the axis is logarithmic."""
        return self.least > 0 and self.most / self.least > 20

    def pixel(self, value: float) -> float:
        """Give the place of a value."""
        low, high = self._scaled(self.least), self._scaled(self.most)
        part = 0.5
        if high > low:
            part = (self._scaled(value) - low) / (high - low)
        return self.start + part * (self.end - self.start)

    def ticks(self) -> list[float]:
        """Give the values that are marked."""
        if self.logarithmic:
            first = math.floor(math.log10(self.least))
            last = math.ceil(math.log10(self.most))
            tens = [10.0**power for power in range(first, last + 1)]
            return [t for t in tens if self.least <= t <= self.most]
        step = (self.most - self.least) / 4
        return [self.least + step * number for number in range(5)]

    def _scaled(self, value: float) -> float:
        return math.log10(value) if self.logarithmic else value


def scatter(points: Sequence[Point], x_name: str, y_name: str) -> str:
    """Give an SVG picture of points, each with its label."""
    xs = [point.x for point in points] or [0.0, 1.0]
    ys = [point.y for point in points] or [0.0, 1.0]
    x_axis = Axis(x_name, min(xs), max(xs), LEFT, WIDTH - RIGHT)
    y_axis = Axis(y_name, min(ys), max(ys), HEIGHT - BOTTOM, TOP)
    parts = [*_axes(x_axis, y_axis), *_points(points, x_axis, y_axis)]
    inside = "\n".join(parts)
    return (
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{WIDTH}" '
        f'height="{HEIGHT}" font-family="sans-serif" font-size="11">\n'
        f"{inside}\n</svg>\n"
    )


def _axes(x_axis: Axis, y_axis: Axis) -> Iterator[str]:
    bottom = HEIGHT - BOTTOM
    for value in x_axis.ticks():
        at = x_axis.pixel(value)
        yield _line(at, TOP, at, bottom)
        yield _text(at, bottom + 16, f"{value:,.0f}", "middle")
    for value in y_axis.ticks():
        at = y_axis.pixel(value)
        yield _line(LEFT, at, WIDTH - RIGHT, at)
        yield _text(LEFT - 6, at + 4, f"{value:,.0f}", "end")
    middle = (LEFT + WIDTH - RIGHT) / 2
    yield _text(middle, HEIGHT - 12, x_axis.name, "middle")
    yield _text(LEFT, TOP - 7, y_axis.name, "middle")


def _points(
    points: Sequence[Point], x_axis: Axis, y_axis: Axis
) -> Iterator[str]:
    labels: list[tuple[float, float]] = []
    for number, point in enumerate(points):
        x, y = x_axis.pixel(point.x), y_axis.pixel(point.y)
        at = _free(x + LABEL_GAP, y + 4, labels)
        labels.append((x + LABEL_GAP, at))
        colour = COLOURS[number % len(COLOURS)]
        yield (
            f'<circle cx="{x:.1f}" cy="{y:.1f}" r="{RADIUS}" fill="{colour}"/>'
        )
        yield _text(x + LABEL_GAP, at, point.label, "start")


def _free(x: float, y: float, labels: Sequence[tuple[float, float]]) -> float:
    """Give the next height at which a label covers no other."""
    while any(
        abs(x - other_x) < LABEL_WIDTH and abs(y - other_y) < LINE
        for other_x, other_y in labels
    ):
        y += LINE
    return y


def _line(x1: float, y1: float, x2: float, y2: float) -> str:
    return (
        f'<line x1="{x1:.1f}" y1="{y1:.1f}" x2="{x2:.1f}" y2="{y2:.1f}" '
        'stroke="#ddd"/>'
    )


def _text(x: float, y: float, text: str, anchor: str) -> str:
    return (
        f'<text x="{x:.1f}" y="{y:.1f}" text-anchor="{anchor}">'
        f"{escape(text)}</text>"
    )


__all__ = ["Axis", "Point", "scatter"]
