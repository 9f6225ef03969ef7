"""Points, least-squares slopes and processor time of processes, for the benches of capacity."""

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
    """What the rounds of one size gave."""

    x: float
    ys: tuple[float, ...]


class Fit(Struct, frozen=True):
    """A straight line and the standard deviation of what it leaves."""

    slope: float
    intercept: float
    residual: float

    def at(self, x: float) -> float:
        """Return the value of the line."""
        return self.intercept + self.slope * x


def fit(points: Sequence[Point]) -> Fit:
    """Return the least-squares line through the medians; residuals are of all rounds."""
    xs = [point.x for point in points]
    slope, intercept = statistics.linear_regression(xs, [statistics.median(p.ys) for p in points])
    residuals = [y - intercept - slope * point.x for point in points for y in point.ys]
    return Fit(slope, intercept, statistics.pstdev(residuals))


def show(name: str, x_unit: str, y_unit: str, points: Sequence[Point]) -> Fit:
    """Print points, slope and spread of residuals."""
    print(f"{name} [{y_unit}] against {x_unit}")
    for point in points:
        rounds = ", ".join(f"{y:.4g}" for y in point.ys)
        print(f"  {point.x:g}: median {statistics.median(point.ys):.4g} of {rounds}")
    line = fit(points)
    print(
        f"  slope {line.slope:.4g} {y_unit} for one, intercept {line.intercept:.4g}, "
        f"residuals {line.residual:.3g}",
        flush=True,
    )
    return line


def processor_s(pid: int) -> float:
    """Return the processor time of all threads of a running process."""
    tasks = Path(f"/proc/{pid}/task").iterdir()
    return sum(int((task / "schedstat").read_text().split()[0]) for task in tasks) / _NS_PER_S


def resident_mb(pid: int) -> float:
    """Return the resident memory of a running process."""
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 1e6


def shares(pids: Sequence[int], window_s: float = 2.0) -> list[tuple[float, ...]]:
    """Return, for each process, its processor time a second in each of three windows."""
    rounds = []
    for _ in range(ROUNDS):
        start_s, before = time.perf_counter(), [processor_s(pid) for pid in pids]
        time.sleep(window_s)
        after, length_s = [processor_s(pid) for pid in pids], time.perf_counter() - start_s
        rounds.append([(b - a) / length_s for a, b in zip(before, after, strict=True)])
    return list(zip(*rounds, strict=True))


def start(module: str, *arguments: str) -> subprocess.Popen[bytes]:
    """Start a module of this repository as a process; its input and output are pipes."""
    path = os.pathsep.join(str(ROOT / each) for each in ("src", "tests", "."))
    return subprocess.Popen(
        [sys.executable, "-m", module, *arguments],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        stderr=subprocess.DEVNULL,
        env=os.environ | {"PYTHONPATH": path},
    )


def end(process: subprocess.Popen[bytes]) -> None:
    """Kill a process that was started here."""
    process.kill()
    process.communicate()
