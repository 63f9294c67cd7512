"""Cost of each role as the number of workers grows: `python benchmarks/capacity.py [--sizes N,N,...]`.

Fills simulated worlds of several sizes (13 tasks a worker, 43 teams), times a
node's calls, counts its records and fits each figure as a line over the number
of workers.  Prints the tables of docs/CAPACITY.md: the slopes, the error of the
fit at the size that was left out of it, the figures that grow faster than the
number of workers, and each role's needs at the reference sizes of that page.
"""

import subprocess
import sys
import time
import tracemalloc
from collections.abc import Callable
from dataclasses import dataclass
from datetime import UTC, datetime
from pathlib import Path
from typing import NamedTuple

import click
import numpy
import orjson

ROOT = Path(__file__).resolve().parent.parent
SIZES = (250, 500, 1000, 2000)
HELD_OUT_SIZE = 1000  # workers; left out of the fit, whose prediction is compared with the measurement there
TASKS_PER_WORKER, TEAMS = 13, 43
TASKS_PER_JOB = 9.5
HEADER_BYTES = 310  # of a report and its response on the wire, without their bodies
REPORT_INTERVAL_S, POLL_INTERVAL_S = 3.0, 5.0
REPORTED_CHANGES_PER_TASK = 3  # state changes that make a worker report early: begun, running, exited
STORE_CHANGES_PER_START = 0.5  # in the state service, measured by benchmarks/store_changes.py
COMMANDS_PER_START = 2  # the start command; half of the ends are stop commands
COMMAND_BYTES = 700  # with the answer, which is a report
POLLS_PER_COMPARISON = 4  # polls that share one comparison with the state service
STORE_REQUESTS_PER_NODE_PER_S = 15  # watch requests, and renewals of the store lease
NODES = 3  # controllers of a cell
MEMORY_FIGURE = "a node's memory, MB beside 40"
SUPERLINEAR_EXPONENT = 1.15  # a count with a larger exponent is flagged as growing faster than the fleet
CONSTANT_COST_MAX_EXPONENT = 0.25  # a call's cost with a larger exponent is flagged as growing with the fleet


@dataclass(frozen=True)
class Size:
    """A cell size for which the needs of each role are printed."""

    name: str
    workers: int
    starts: float  # a second, at peak load

    @property
    def jobs(self) -> float:
        """Number of live jobs."""
        return self.workers * TASKS_PER_WORKER / TASKS_PER_JOB

    @property
    def reports_per_s(self) -> float:
        """Reports a second, including the early ones that state changes cause."""
        return self.workers / REPORT_INTERVAL_S + min(self.starts * REPORTED_CHANGES_PER_TASK, 2 * self.workers)


REFERENCE_SIZES = (
    Size("today's largest (574)", 574, 30),
    Size("mean cell", 1215, 271),
    Size("largest cell", 2125, 475),
)


def full_world(machines: int):
    """Build a world whose workers are full.

    It skips the simulation's invariant checks, because they examine every task at every start.
    """
    from kelpjunction.lab.world import Team, World

    class Unchecked(World):
        def start(self, worker, frond: str, attempt: int) -> dict:
            self.starts.append(frond)
            now = self.clock.now
            return {"tide": "pulling", "ready": now, "ends": None, "job": self.job(frond.partition("/")[0])}

        def running(self, ref: str = "") -> list:
            return []

    teams = tuple(Team(f"team-{n:02}", 0.0, 0.0, None, None) for n in range(TEAMS))
    world = Unchecked(machines=machines, capacity=machines, teams=(*teams, Team("red", 0.0, 0.0, None, None)))
    world.cloud.cpus = 16.0
    world.run(4)
    for n in range(machines // 3):
        crew = f"team-{n % TEAMS:02}"
        world.submit(f"j-1{n:05d}", 3, shape="service", urgency="prod", apart=True, cpus=1.0, ram_gb=1.0, crew=crew)
    world.run(4)
    for n in range(machines * (TASKS_PER_WORKER - 1) // 24):
        world.submit(f"j-2{n:05d}", 24, cpus=1.0, ram_gb=1.0, run_s=1e6, crew=f"team-{n % TEAMS:02}")
    for _ in range(40):
        world.run(2)
        if len(world.starts) >= machines * TASKS_PER_WORKER * 0.98:
            break
    world.run(4)
    return world


class StoreTimer:
    """Measures the processor time of the simulated state service, to subtract it from that of a node."""

    def __init__(self, world) -> None:
        self.spent_s = 0.0
        handle = world.store.handle

        def timed_handle(method: str, path: str, body: dict):
            began = time.process_time()
            try:
                return handle(method, path, body)
            finally:
                self.spent_s += time.process_time() - began

        world.store.handle = timed_handle

    def microseconds(self, call: Callable[[int], object], times: int) -> float:
        """Processor time of one of `times` calls, without the simulated state service's share."""
        before, began = self.spent_s, time.process_time()
        for number in range(times):
            call(number)
        return (time.process_time() - began - (self.spent_s - before)) / times * 1e6


def measure_size(machines: int) -> dict[str, float]:
    """Measure all figures with this many machines."""
    from node_calls import call_costs

    world = full_world(machines)
    found: dict[str, float] = {"tasks running": len(world.starts)}
    live = {k: v[0] for k, v in world.store.data.items() if k.startswith("l/")}
    found["live records"] = len(live)
    found["live KB"] = sum(len(k) + len(orjson.dumps(v)) for k, v in live.items()) / 1024
    found[MEMORY_FIGURE] = _memory(world)
    worker = next(w for w, _ in world.cloud.machines.values() if len(w.tasks) >= TASKS_PER_WORKER - 1)
    found["bytes of a check-in"] = len(orjson.dumps(worker.report())) + HEADER_BYTES
    store_timer, leader = StoreTimer(world), world.leader()
    fields = dict(world.job("j-200000"))

    def submit(number: int) -> None:
        assert leader.intake.submit(orjson.dumps(fields | {"ref": f"j-4{number:05d}"})).status == 201
        world.clock.now += world.times.report / 50

    found["submission, us"] = store_timer.microseconds(submit, 40)
    leader.leadership.run_once()
    leader.watch_store()
    calls = {"check-in": "us", "poll": "us", "followed change": "us"}
    for name, value in call_costs(world).items():
        found[f"{name}, us" if name in calls else f"{name}, ms"] = value if name in calls else value / 1e3
    return found


def _memory(world) -> float:
    """Memory in MB that a starting node allocates for the records."""
    tracemalloc.start()
    node = world.start_node("holdfast-2")
    node.watch_store()
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return held / 2**20


@dataclass(frozen=True)
class Slope:
    """A figure fitted as a line over the number of workers."""

    name: str
    base: float
    per_worker: float
    held_out_error: float | None  # relative error at the size left out of the fit: measured / fitted - 1
    exponent: float  # of the growth between the smallest and the largest size

    def at(self, workers: float) -> float:
        return max(0.0, self.base + self.per_worker * workers)

    @property
    def flag(self) -> str:
        count = not self.name.endswith(("us", "ms")) and "bytes of" not in self.name
        if count:
            return "FASTER THAN THE FLEET" if self.exponent > SUPERLINEAR_EXPONENT else ""
        return "grows with the fleet" if self.exponent > CONSTANT_COST_MAX_EXPONENT else ""


def fit_slopes(sizes: tuple[int, ...], figures: dict[int, dict[str, float]]) -> dict[str, Slope]:
    """Fit a line to each figure, without the held-out size if there are at least three sizes."""
    used = [s for s in sizes if s != HELD_OUT_SIZE or len(sizes) < 3]
    slopes = {}
    for name in figures[sizes[0]]:
        rows = numpy.array([[1.0, s] for s in used])
        values = numpy.array([figures[s][name] for s in used])
        (base, per_worker), *_ = numpy.linalg.lstsq(rows, values, rcond=None)
        held_out_error = None
        if HELD_OUT_SIZE in figures and HELD_OUT_SIZE not in used:
            held_out_error = figures[HELD_OUT_SIZE][name] / max(base + per_worker * HELD_OUT_SIZE, 1e-9) - 1
        first, last = max(figures[sizes[0]][name], 1e-9), max(figures[sizes[-1]][name], 1e-9)
        exponent = numpy.log(last / first) / numpy.log(sizes[-1] / sizes[0])
        slopes[name] = Slope(name, float(base), float(per_worker), held_out_error, float(exponent))
    return slopes


def http_costs_us() -> tuple[float, float]:
    """Microseconds that HTTP adds to the call itself, for a poll and for a report."""
    from http_exchange import Handler, seconds_per_exchange

    return seconds_per_exchange(Handler, b"", 2000) * 1e6, seconds_per_exchange(Handler, b"x" * 1200, 2000) * 1e6


class Row(NamedTuple):
    """The needs of one role at one size."""

    role: str
    state: str
    messages: str  # rates per second
    cores: float | None
    memory: str

    @property
    def cells(self) -> tuple[str, ...]:
        cores = "" if self.cores is None else f"{self.cores:.3f}"
        return self.role, self.state, self.messages, cores, self.memory


def role_rows(size: Size, slopes: dict[str, Slope], poll_http: float, report_http: float) -> list[Row]:
    """Compute each role's state, message rates with bytes, cores and memory at a size."""

    def at(name: str) -> float:
        return slopes[name].at(size.workers)

    changes = size.starts * STORE_CHANGES_PER_START
    polls = size.jobs / POLL_INTERVAL_S
    submissions = size.starts / TASKS_PER_JOB
    follow = changes * at("followed change, us") / 1e6
    user = (polls * (at("poll, us") + poll_http) + submissions * (at("submission, us") + report_http)) / 1e6
    reports = size.reports_per_s * (at("check-in, us") + report_http) / 1e6
    commands = COMMANDS_PER_START * size.starts * report_http / 1e6
    rounds = min(4.0, 1 + submissions) * at("waiting round, ms") / 1e3 + at("leader's idle round, ms") / 1e3
    holder_rounds = 4 * at("holder's idle round, ms") / 1e3
    memory = f"{40 + at(MEMORY_FIGURE):.0f} MB"
    state = f"{at('live records'):.0f} records, {at('live KB') / 1024:.1f} MB"
    report = at("bytes of a check-in")
    reports_per_worker, starts_per_worker = size.reports_per_s / size.workers, size.starts / size.workers
    bytes_per_worker = reports_per_worker * report + COMMANDS_PER_START * starts_per_worker * COMMAND_BYTES
    sent = COMMANDS_PER_START * size.starts / NODES
    holder = follow + (reports + commands) / NODES + holder_rounds
    total = NODES * (follow + holder_rounds) + reports + commands + rounds + user
    requests = changes + polls / POLLS_PER_COMPARISON + STORE_REQUESTS_PER_NODE_PER_S * NODES
    return [
        Row("leader", state, f"{changes:.0f} followed, {submissions:.0f} jobs handed", follow + rounds, memory),
        Row(
            "block holder (a third of the workers)",
            state,
            f"{size.reports_per_s / NODES:.0f} check-ins of {report:.0f} B, {sent:.0f} commands",
            holder,
            memory,
        ),
        Row("other controller", state, f"{changes:.0f} followed", follow, memory),
        Row(
            "users' path, on all controllers",
            f"{size.jobs:.0f} live jobs",
            f"{polls:.0f} polls, {submissions:.0f} submissions",
            user,
            "in the above",
        ),
        Row("state service", state, f"{changes:.0f} changes, {requests:.0f} requests", None, "not ours"),
        Row(
            "worker",
            f"{TASKS_PER_WORKER} tasks",
            f"{reports_per_worker:.2f} check-ins, {bytes_per_worker:.0f} B",
            None,
            "see the scale run",
        ),
        Row("cell, all controllers", "", "", total, f"{NODES} x {memory}"),
    ]


def table(columns: tuple[str, ...], rows: list[tuple[str, ...]]) -> None:
    for row in (columns, ("---",) * len(columns), *rows):
        click.echo("| " + " | ".join(row) + " |")


@click.command()
@click.option("--sizes", default=",".join(map(str, SIZES)), show_default=True, help="Numbers of workers.")
@click.option("--only", type=int, help="Measure one size and print JSON.")
def main(sizes: str, only: int | None) -> None:
    """Measure and fit the figures, and print the tables of docs/CAPACITY.md."""
    sys.path.insert(0, str(ROOT / "benchmarks"))
    if only is not None:
        sys.stdout.buffer.write(orjson.dumps(measure_size(only)))
        return
    chosen = tuple(sorted(int(size) for size in sizes.split(",")))
    figures = {}
    for size in chosen:
        command = [sys.executable, __file__, "--only", str(size)]
        figures[size] = orjson.loads(subprocess.run(command, check=True, capture_output=True, cwd=ROOT).stdout)
    revision = subprocess.run(
        ["git", "rev-parse", "--short", "HEAD"], cwd=ROOT, check=True, capture_output=True, text=True
    ).stdout.strip()
    slopes = fit_slopes(chosen, figures)
    poll_http, report_http = http_costs_us()
    click.echo(f"Measured {datetime.now(UTC):%Y-%m-%d} at {revision}; sizes {', '.join(map(str, chosen))}.\n")
    rows = [
        (
            s.name,
            *(f"{figures[size][s.name]:.4g}" for size in chosen),
            f"{s.base:.4g} + {s.per_worker * 1000:.4g} a thousand",
            "" if s.held_out_error is None else f"{s.held_out_error:+.0%}",
            s.flag,
        )
        for s in slopes.values()
    ]
    table(("figure", *(f"{size}" for size in chosen), "fit, by workers", f"off at {HELD_OUT_SIZE}", ""), rows)
    click.echo(f"\nAn HTTP exchange beside its call: poll {poll_http:.0f} us, check-in {report_http:.0f} us.")
    for size in REFERENCE_SIZES:
        click.echo(f"\n{size.name}: {size.workers} workers, {size.starts:.0f} starts a second\n")
        columns = ("role", "state", "messages a second", "cores", "memory")
        table(columns, [row.cells for row in role_rows(size, slopes, poll_http, report_http)])


if __name__ == "__main__":
    main()
