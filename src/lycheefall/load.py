"""Public API of the load generator and its report."""

from lycheefall._load.plot import plot_svg
from lycheefall._load.report import LoadReport, report_json
from lycheefall._load.run import run_load
from lycheefall._load.scenario import Scenario, parse_scenario

__all__ = ["LoadReport", "Scenario", "parse_scenario", "plot_svg", "report_json", "run_load"]
