"""Run a load scenario and write its report."""

from pathlib import Path

import aiomisc

from lycheefall._core.ids import Address
from lycheefall._load.plot import plot_svg
from lycheefall._load.report import LoadReport, Slice, report_json
from lycheefall._load.run import run_load
from lycheefall._load.scenario import parse_scenario

MS_PER_S = 1_000


def run_and_report(
    text: str, entries: tuple[Address, ...], report: Path | None, plot: Path | None
) -> str:
    """Run a scenario, write the requested files and return a summary."""
    load_report = aiomisc.run(run_load(parse_scenario(text), entries), log_config=False)
    if report is not None:
        report.write_bytes(report_json(load_report))
    if plot is not None:
        plot.write_text(plot_svg(load_report), encoding="utf-8")
    return format_report(load_report)


def format_report(report: LoadReport) -> str:
    """Return a text with the counts of a report and one line for each slice."""
    lines = [
        f"{report.requests} requests in {report.duration_s:g} s, {report.good} in time, "
        f"{report.retries} retries",
        f"codes {report.codes}, run {report.runs}, endings {report.endings}",
    ]
    return "\n".join(lines + [_format_slice(load_slice) for load_slice in report.slices])


def _format_slice(load_slice: Slice) -> str:
    times = " ".join(
        f"{name} p50 {value.p50_s * MS_PER_S:.1f} ms p95 {value.p95_s * MS_PER_S:.1f} ms"
        for name, value in load_slice.distributions.items()
    )
    return f"{load_slice.name}: {load_slice.good}/{load_slice.requests} in time, {times}"
