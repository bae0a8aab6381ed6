"""Scatter plots as SVG, without a plotting library."""

from __future__ import annotations

from html import escape
import math
from typing import TYPE_CHECKING

from mulberrypass.model.value_class import value_class

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

WIDTH, HEIGHT = 640, 380
LEFT, RIGHT, TOP, BOTTOM = 70, 150, 20, 50
RADIUS = 4
LABEL_GAP = 7
LABEL_WIDTH, LINE_HEIGHT = 140, 12
COLOURS = ("#1b6ca8", "#c0392b", "#27813a", "#8e44ad", "#b9770e", "#34495e")


@value_class
class Point:
    """A point of a plot and its label."""

    label: str
    x: float
    y: float


@value_class
class Axis:
    """One axis; logarithmic if its values span a wide range.

    :param start: pixel of the minimum
    :param end: pixel of the maximum
    """

    name: str
    minimum: float
    maximum: float
    start: float
    end: float

    @property
    def logarithmic(self) -> bool:
        """Whether the axis is logarithmic."""
        return self.minimum > 0 and self.maximum / self.minimum > 20

    def pixel(self, value: float) -> float:
        """Return the pixel of a value."""
        low, high = self._scaled(self.minimum), self._scaled(self.maximum)
        fraction = 0.5
        if high > low:
            fraction = (self._scaled(value) - low) / (high - low)
        return self.start + fraction * (self.end - self.start)

    def ticks(self) -> list[float]:
        """Return the values of the grid lines."""
        if self.logarithmic:
            first = math.floor(math.log10(self.minimum))
            last = math.ceil(math.log10(self.maximum))
            tens = [10.0**power for power in range(first, last + 1)]
            return [t for t in tens if self.minimum <= t <= self.maximum]
        step = (self.maximum - self.minimum) / 4
        return [self.minimum + step * number for number in range(5)]

    def _scaled(self, value: float) -> float:
        return math.log10(value) if self.logarithmic else value


def scatter(points: Sequence[Point], x_name: str, y_name: str) -> str:
    """Return an SVG image of points, each with its label."""
    xs = [point.x for point in points] or [0.0, 1.0]
    ys = [point.y for point in points] or [0.0, 1.0]
    x_axis = Axis(x_name, min(xs), max(xs), LEFT, WIDTH - RIGHT)
    y_axis = Axis(y_name, min(ys), max(ys), HEIGHT - BOTTOM, TOP)
    parts = [*_axes(x_axis, y_axis), *_points(points, x_axis, y_axis)]
    body = "\n".join(parts)
    return (
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{WIDTH}" '
        f'height="{HEIGHT}" font-family="sans-serif" font-size="11">\n'
        f"{body}\n</svg>\n"
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
        label_y = _free_label_y(x + LABEL_GAP, y + 4, labels)
        labels.append((x + LABEL_GAP, label_y))
        colour = COLOURS[number % len(COLOURS)]
        yield (
            f'<circle cx="{x:.1f}" cy="{y:.1f}" r="{RADIUS}" fill="{colour}"/>'
        )
        yield _text(x + LABEL_GAP, label_y, point.label, "start")


def _free_label_y(
    x: float, y: float, labels: Sequence[tuple[float, float]]
) -> float:
    """Return the first y at or below this one where a label fits."""
    while any(
        abs(x - other_x) < LABEL_WIDTH and abs(y - other_y) < LINE_HEIGHT
        for other_x, other_y in labels
    ):
        y += LINE_HEIGHT
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
