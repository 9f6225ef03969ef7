"""Draw a load report as SVG: requests per second, and percentiles of the time to first token."""

from collections.abc import Iterator, Sequence
from html import escape
from math import log10

from msgspec import Struct

from lycheefall._load.report import LoadReport, Measure, Slice

_WIDTH = 760
_PANEL_HEIGHT = 220
_MARGIN = 60
_COLOURS = ("#c0392b", "#2471a3", "#1e8449", "#7d3c98", "#b9770e")
_PERCENTILES = ("p50", "p90", "p95", "p99")
_LOWEST_S = 0.001


class Panel(Struct, frozen=True):
    """Position of a chart in pixels, and the upper ends of its axes."""

    top: int
    title: str
    max_x: float
    max_y: float


class Line(Struct, frozen=True):
    """Line of a chart."""

    label: str
    colour: str
    points: Sequence[tuple[float, float]]
    is_dashed: bool = False


def plot_svg(report: LoadReport) -> str:
    """Return the SVG document of a report."""
    height = 2 * (_PANEL_HEIGHT + _MARGIN) + _MARGIN
    parts = [
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{_WIDTH}" height="{height}" '
        'font-family="sans-serif" font-size="11">',
        '<rect width="100%" height="100%" fill="white"/>',
        *_seconds_panel(report),
        *_percentiles_panel(report),
        "</svg>",
    ]
    return "\n".join(parts) + "\n"


def _seconds_panel(report: LoadReport) -> Iterator[str]:
    lines: list[Line] = []
    names = sorted({name for second in report.seconds for name in second.offered})
    for name, colour in zip(names, _colours(len(names)), strict=True):
        offered = [float(each.offered.get(name, 0)) for each in report.seconds]
        good = [float(each.good.get(name, 0)) for each in report.seconds]
        lines.append(Line(f"{name} offered", colour, list(_indexed(offered)), True))
        lines.append(Line(f"{name} good", colour, list(_indexed(good))))
    max_y = max((y for line in lines for _, y in line.points), default=1.0)
    panel = Panel(_MARGIN, "requests by second", max(len(report.seconds) - 1, 1), max(max_y, 1.0))
    yield from _draw_panel(panel, lines, f"{panel.max_y:.0f}", f"{panel.max_x:.0f} s")


def _percentiles_panel(report: LoadReport) -> Iterator[str]:
    slices = [each for each in report.slices if _is_priority_slice(each)]
    lines = [
        Line(each.name.removeprefix("priority:"), colour, list(_percentiles(each)))
        for each, colour in zip(slices, _colours(len(slices)), strict=True)
    ]
    max_y = max((y for line in lines for _, y in line.points), default=1.0)
    title = f"first token, {', '.join(_PERCENTILES)}; logarithmic from {_LOWEST_S} s"
    panel = Panel(2 * _MARGIN + _PANEL_HEIGHT, title, len(_PERCENTILES) - 1, max(max_y, 1.0))
    yield from _draw_panel(panel, lines, f"{_LOWEST_S * 10**panel.max_y:.3g} s", _PERCENTILES[-1])


def _is_priority_slice(each: Slice) -> bool:
    is_aggregate = each.name.startswith("priority:") and "/" not in each.name
    return is_aggregate and Measure.FIRST_TOKEN.value in each.distributions


def _percentiles(each: Slice) -> Iterator[tuple[float, float]]:
    distribution = each.distributions[Measure.FIRST_TOKEN.value]
    values = (distribution.p50_s, distribution.p90_s, distribution.p95_s, distribution.p99_s)
    return _indexed([log10(max(value, _LOWEST_S) / _LOWEST_S) for value in values])


def _indexed(values: Sequence[float]) -> Iterator[tuple[float, float]]:
    return ((float(x), y) for x, y in enumerate(values))


def _colours(count: int) -> list[str]:
    return [_COLOURS[index % len(_COLOURS)] for index in range(count)]


def _draw_panel(panel: Panel, lines: Sequence[Line], max_y: str, max_x: str) -> Iterator[str]:
    bottom = panel.top + _PANEL_HEIGHT
    right = _WIDTH - _MARGIN
    yield f'<text x="{_MARGIN}" y="{panel.top - 8}">{escape(panel.title)}</text>'
    yield (
        f'<path d="M{_MARGIN},{panel.top} V{bottom} H{right}" fill="none" stroke="black"/>'
        f'<text x="8" y="{panel.top + 8}">{max_y}</text>'
        f'<text x="{right - 20}" y="{bottom + 16}">{max_x}</text>'
    )
    for index, line in enumerate(lines):
        yield _polyline(panel, line)
        y = panel.top + 14 * (index + 1)
        label = escape(line.label)
        yield f'<text x="{right - 150}" y="{y}" fill="{line.colour}">{label}</text>'


def _polyline(panel: Panel, line: Line) -> str:
    width = _WIDTH - 2 * _MARGIN
    points = " ".join(
        f"{_MARGIN + x / panel.max_x * width:.1f},"
        f"{panel.top + _PANEL_HEIGHT * (1 - y / panel.max_y):.1f}"
        for x, y in line.points
    )
    dash = ' stroke-dasharray="4 3"' if line.is_dashed else ""
    return f'<polyline points="{points}" fill="none" stroke="{line.colour}"{dash}/>'
