"""Run a load scenario and write its report."""

from pathlib import Path

import aiomisc

from lycheefall._core.ids import Address
from lycheefall._load.plot import plot_svg
from lycheefall._load.report import LoadReport, Slice, report_json
from lycheefall._load.run import run_load
from lycheefall._load.scenario import parse_scenario

MS_PER_S = 1_000


def load_and_report(
    text: str, entries: tuple[Address, ...], report: Path | None, plot: Path | None
) -> str:
    """Run a scenario, write the files that are asked for and return a summary."""
    result = aiomisc.run(run_load(parse_scenario(text), entries), log_config=False)
    if report is not None:
        report.write_bytes(report_json(result))
    if plot is not None:
        plot.write_text(plot_svg(result), encoding="utf-8")
    return describe(result)


def describe(report: LoadReport) -> str:
    """Return the counts of a report and one line for each slice."""
    lines = [
        f"{report.requests} requests in {report.duration_s:g} s, {report.good} in time, "
        f"{report.retries} retries",
        f"codes {report.codes}, run {report.runs}, endings {report.endings}",
    ]
    return "\n".join(lines + [_line(each) for each in report.slices])


def _line(each: Slice) -> str:
    times = " ".join(
        f"{name} p50 {value.p50_s * MS_PER_S:.1f} ms p95 {value.p95_s * MS_PER_S:.1f} ms"
        for name, value in each.distributions.items()
    )
    return f"{each.name}: {each.good}/{each.requests} in time, {times}"
