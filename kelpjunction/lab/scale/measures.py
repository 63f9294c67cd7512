"""What a scale run measures: histograms of times, and each role's processor time, memory and bytes."""

from collections.abc import Iterable
from dataclasses import dataclass, field

import psutil
from hdrh.histogram import HdrHistogram

LONGEST_MS = 3_600_000
PERCENTILES = (50.0, 95.0, 99.0, 100.0)
MB = 1024 * 1024


def histogram() -> HdrHistogram:
    """Times in milliseconds, to two digits."""
    return HdrHistogram(1, LONGEST_MS, 2)


def summary(times: HdrHistogram) -> dict[str, float]:
    """A histogram as it is written down: how many, and some percentiles in milliseconds."""
    told = {f"p{percentile:g}": times.get_value_at_percentile(percentile) for percentile in PERCENTILES}
    return {"count": times.total_count} | (told if times.total_count else {})


@dataclass
class RoleUse:
    """Processor time and memory of the processes of one role."""

    processes: int = 0
    cpu_s: float = 0.0
    busiest_cpu_s: float = 0.0
    most_memory_mb: float = 0.0

    def to_dict(self, lasted_s: float) -> dict[str, float]:
        """This as shares of a core over the run."""
        return {
            "processes": self.processes,
            "cores": round(self.cpu_s / lasted_s, 3),
            "busiest_core_share": round(self.busiest_cpu_s / lasted_s, 3),
            "most_memory_mb": round(self.most_memory_mb, 1),
        }


class ProcessMeter:
    """Reads processor time and memory of the run's own processes."""

    def __init__(self) -> None:
        self._processes: dict[int, tuple[str, psutil.Process]] = {}
        self._cpu: dict[int, float] = {}
        self._before: dict[int, float] = {}
        self._peak: dict[str, float] = {}

    def watch(self, role: str, pid: int) -> None:
        """Read this process from now on."""
        self._processes[pid] = (role, psutil.Process(pid))

    def read(self) -> float:
        """Read all processes that live; returns the memory they hold together, in MB."""
        total = 0.0
        for pid, (role, process) in self._processes.items():
            try:
                times = process.cpu_times()
                memory = process.memory_info().rss / MB
            except psutil.NoSuchProcess:
                continue
            self._cpu[pid] = times.user + times.system
            self._peak[role] = max(self._peak.get(role, 0.0), memory)
            total += memory
        return total

    def begin(self) -> None:
        """Count processor time from now on; what the processes used to start is left out."""
        self.read()
        self._before = dict(self._cpu)

    def use(self) -> dict[str, RoleUse]:
        """What each role has used since `begin`."""
        roles: dict[str, RoleUse] = {}
        for pid, (role, _) in self._processes.items():
            used = self._cpu.get(pid, 0.0) - self._before.get(pid, 0.0)
            entry = roles.setdefault(role, RoleUse(most_memory_mb=self._peak.get(role, 0.0)))
            entry.processes += 1
            entry.cpu_s += used
            entry.busiest_cpu_s = max(entry.busiest_cpu_s, used)
        return roles


@dataclass
class Measures:
    """All that the run counts while it plays."""

    submit: HdrHistogram = field(default_factory=histogram)
    urgent_start: HdrHistogram = field(default_factory=histogram)
    first_urgent_start: HdrHistogram = field(default_factory=histogram)  # of what all comes at once at the start
    poll: HdrHistogram = field(default_factory=histogram)
    check_in: HdrHistogram = field(default_factory=histogram)
    refused_submissions: int = 0
    failed_polls: int = 0
    failed_check_ins: int = 0
    worker_bytes: int = 0
    starts_in_second: dict[int, int] = field(default_factory=dict)

    def started(self, at: float) -> None:
        """Count a start in its second."""
        second = int(at)
        self.starts_in_second[second] = self.starts_in_second.get(second, 0) + 1

    def checked_in(self, times_ms: Iterable[int], failed: int, moved: int) -> None:
        """Take in what a process of workers told."""
        for time_ms in times_ms:
            self.check_in.record_value(max(1, time_ms))
        self.failed_check_ins += failed
        self.worker_bytes += moved

    def busiest_seconds(self, length: int = 60) -> float:
        """The most starts a second over so many seconds in turn."""
        if not self.starts_in_second:
            return 0.0
        first, last = min(self.starts_in_second), max(self.starts_in_second)
        length = min(length, last - first + 1)
        windows = range(first, max(first, last - length + 1) + 1)
        return max(sum(self.starts_in_second.get(w + n, 0) for n in range(length)) for w in windows) / length
