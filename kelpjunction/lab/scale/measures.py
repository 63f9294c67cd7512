"""The measurements of a scale run: histograms of times, processor time and memory of each role, and bytes."""

from collections.abc import Iterable
from dataclasses import dataclass, field

import psutil
from hdrh.histogram import HdrHistogram

MAX_TIME_MS = 3_600_000
PERCENTILES = (50.0, 95.0, 99.0, 100.0)
MB = 1024 * 1024


def histogram() -> HdrHistogram:
    """An empty histogram of times in milliseconds, precise to two significant digits."""
    return HdrHistogram(1, MAX_TIME_MS, 2)


def summary(times: HdrHistogram) -> dict[str, float]:
    """The count and some percentiles (in milliseconds) of a histogram, as the report has them."""
    values = {f"p{percentile:g}": times.get_value_at_percentile(percentile) for percentile in PERCENTILES}
    return {"count": times.total_count} | (values if times.total_count else {})


@dataclass
class RoleUse:
    """Processor time and memory of the processes of one role."""

    processes: int = 0
    cpu_s: float = 0.0
    busiest_cpu_s: float = 0.0
    peak_memory_mb: float = 0.0

    def to_dict(self, lasted_s: float) -> dict[str, float]:
        """The figures of the report; processor time as a number of cores over `lasted_s` seconds."""
        return {
            "processes": self.processes,
            "cores": round(self.cpu_s / lasted_s, 3),
            "busiest_core_share": round(self.busiest_cpu_s / lasted_s, 3),
            "most_memory_mb": round(self.peak_memory_mb, 1),
        }


class ProcessMeter:
    """Reads processor time and memory of the run's own processes."""

    def __init__(self) -> None:
        self._processes: dict[int, tuple[str, psutil.Process]] = {}
        self._cpu_s: dict[int, float] = {}
        self._cpu_s_before: dict[int, float] = {}
        self._peak_memory_mb: dict[str, float] = {}

    def watch(self, role: str, pid: int) -> None:
        """Include a process in the readings from now on."""
        self._processes[pid] = (role, psutil.Process(pid))

    def read(self) -> float:
        """Read all processes that are still running; returns their total memory in MB."""
        total = 0.0
        for pid, (role, process) in self._processes.items():
            try:
                times = process.cpu_times()
                memory = process.memory_info().rss / MB
            except psutil.NoSuchProcess:
                continue
            self._cpu_s[pid] = times.user + times.system
            self._peak_memory_mb[role] = max(self._peak_memory_mb.get(role, 0.0), memory)
            total += memory
        return total

    def begin(self) -> None:
        """Count processor time from now on, without the time that the processes used to start."""
        self.read()
        self._cpu_s_before = dict(self._cpu_s)

    def use(self) -> dict[str, RoleUse]:
        """Processor time of each role since `begin`, and its peak memory."""
        roles: dict[str, RoleUse] = {}
        for pid, (role, _) in self._processes.items():
            used = self._cpu_s.get(pid, 0.0) - self._cpu_s_before.get(pid, 0.0)
            entry = roles.setdefault(role, RoleUse(peak_memory_mb=self._peak_memory_mb.get(role, 0.0)))
            entry.processes += 1
            entry.cpu_s += used
            entry.busiest_cpu_s = max(entry.busiest_cpu_s, used)
        return roles


@dataclass
class Measures:
    """All counts and histograms that the run collects."""

    submit: HdrHistogram = field(default_factory=histogram)
    urgent_start: HdrHistogram = field(default_factory=histogram)
    first_urgent_start: HdrHistogram = field(default_factory=histogram)  # of the initial jobs, which arrive at once
    poll: HdrHistogram = field(default_factory=histogram)
    check_in: HdrHistogram = field(default_factory=histogram)
    refused_submissions: int = 0
    failed_polls: int = 0
    failed_check_ins: int = 0
    worker_bytes: int = 0
    starts_in_second: dict[int, int] = field(default_factory=dict)

    def started(self, at: float) -> None:
        """Count a task start at a time of the monotonic clock, in seconds."""
        second = int(at)
        self.starts_in_second[second] = self.starts_in_second.get(second, 0) + 1

    def record_check_ins(self, times_ms: Iterable[int], failed: int, bytes_moved: int) -> None:
        """Add the check-in times, failures and bytes that a process of workers sent."""
        for time_ms in times_ms:
            self.check_in.record_value(max(1, time_ms))
        self.failed_check_ins += failed
        self.worker_bytes += bytes_moved

    def busiest_starts_per_second(self, length: int = 60) -> float:
        """The highest rate of starts per second over `length` consecutive seconds."""
        if not self.starts_in_second:
            return 0.0
        first, last = min(self.starts_in_second), max(self.starts_in_second)
        length = min(length, last - first + 1)
        windows = range(first, max(first, last - length + 1) + 1)
        return max(sum(self.starts_in_second.get(start + n, 0) for n in range(length)) for start in windows) / length
