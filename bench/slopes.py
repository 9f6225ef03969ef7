"""Fit least-squares lines and read CPU time and memory of processes for the capacity benchmarks."""

import os
import statistics
import subprocess
import sys
import time
from collections.abc import Sequence
from pathlib import Path

from msgspec import Struct

ROOT = Path(__file__).resolve().parents[1]
ROUNDS = 3
_NS_PER_S = 1e9


class Point(Struct, frozen=True):
    """Hold the measurements of all rounds at one size."""

    x: float
    ys: tuple[float, ...]


class Fit(Struct, frozen=True):
    """Hold a straight line and the standard deviation of its residuals."""

    slope: float
    intercept: float
    residual: float

    def at(self, x: float) -> float:
        """Return the value of the line at a size."""
        return self.intercept + self.slope * x


def fit(points: Sequence[Point]) -> Fit:
    """Return the least-squares line through the medians, with residuals over all rounds."""
    xs = [point.x for point in points]
    slope, intercept = statistics.linear_regression(xs, [statistics.median(p.ys) for p in points])
    residuals = [y - intercept - slope * point.x for point in points for y in point.ys]
    return Fit(slope, intercept, statistics.pstdev(residuals))


def print_fit(name: str, x_unit: str, y_unit: str, points: Sequence[Point]) -> Fit:
    """Print the points, the fitted line and the standard deviation of its residuals."""
    print(f"{name} [{y_unit}] against {x_unit}")
    for point in points:
        rounds = ", ".join(f"{y:.4g}" for y in point.ys)
        print(f"  {point.x:g}: median {statistics.median(point.ys):.4g} of {rounds}")
    line = fit(points)
    print(
        f"  slope {line.slope:.4g} {y_unit} per unit, intercept {line.intercept:.4g}, "
        f"residuals {line.residual:.3g}",
        flush=True,
    )
    return line


def cpu_time_s(pid: int) -> float:
    """Return the CPU time in seconds of all live threads of a process."""
    tasks = Path(f"/proc/{pid}/task").iterdir()
    return sum(int((task / "schedstat").read_text().split()[0]) for task in tasks) / _NS_PER_S


def resident_mb(pid: int) -> float:
    """Return the resident memory of a running process in MB."""
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 1e6


def cpu_usage(pids: Sequence[int], window_s: float = 2.0) -> list[tuple[float, ...]]:
    """Return, for each process, the CPU cores that it used in each of `ROUNDS` windows."""
    rounds = []
    for _ in range(ROUNDS):
        window_start_s, before = time.perf_counter(), [cpu_time_s(pid) for pid in pids]
        time.sleep(window_s)
        after, elapsed_s = [cpu_time_s(pid) for pid in pids], time.perf_counter() - window_start_s
        rounds.append(
            [(later - earlier) / elapsed_s for earlier, later in zip(before, after, strict=True)]
        )
    return list(zip(*rounds, strict=True))


def start_module(module: str, *arguments: str) -> subprocess.Popen[bytes]:
    """Start a module of this repository as a process with piped stdin and stdout."""
    path = os.pathsep.join(str(ROOT / folder) for folder in ("src", "tests", "."))
    return subprocess.Popen(
        [sys.executable, "-m", module, *arguments],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        stderr=subprocess.DEVNULL,
        env=os.environ | {"PYTHONPATH": path},
    )


def kill_process(process: subprocess.Popen[bytes]) -> None:
    """Kill a process and wait for its exit."""
    process.kill()
    process.communicate()
