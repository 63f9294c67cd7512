"""What each role costs as the service grows: `python benchmarks/capacity.py [--sizes N,N,...]`.

Fills worlds of several sizes on the stand-ins (13 tasks a worker, 43 teams),
times a node's calls, counts its records and fits each figure against the
number of workers.  Prints the tables of docs/CAPACITY.md: the slopes, how far
off the fit is at the size that was left out of it, what grows faster than its
count, and each role's needs at the sizes that the page is about.
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
LEFT_OUT = 1000  # of the fit, which is then held against it
TASKS_EACH, TEAMS = 13, 43
TASKS_A_JOB = 9.5
HEADERS = 310  # bytes of a check-in's request and answer beside their bodies, on the wire
REPORT_S, POLL_S = 3.0, 5.0
CHANGES_OF_TASK = 3  # reports that a task brings forward: begun, running, exited
CHANGES_A_START = 0.5  # of the state service (benchmarks/store_changes.py)
COMMANDS_A_START = 2  # a start, and half of the ends are stops
COMMAND_BYTES = 700  # with the answer, which is a report
POLLS_A_COMPARISON = 4  # polls that share one comparison with the state service
WATCHES_A_NODE = 15  # requests a second, with the extensions of its hold
NODES = 3  # of a cell
MEMORY = "a node's memory, MB beside 40"
FASTER = 1.15  # the exponent above which a count grows faster than the fleet
CONSTANT = 0.25  # and above which a call's cost is said to grow with it


@dataclass(frozen=True)
class Size:
    """A size that the page is about."""

    name: str
    workers: int
    starts: float  # a second, at the peak

    @property
    def jobs(self) -> float:
        """Live jobs."""
        return self.workers * TASKS_EACH / TASKS_A_JOB

    @property
    def check_ins(self) -> float:
        """Reports a second, those that changes bring forward included."""
        return self.workers / REPORT_S + min(self.starts * CHANGES_OF_TASK, 2 * self.workers)


ROLES_AT = (Size("today's largest (574)", 574, 30), Size("mean cell", 1215, 271), Size("largest cell", 2125, 475))


def world_of(machines: int):
    """A world whose workers are full, without the rules' checks, which look at every task at every start."""
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
    for n in range(machines * (TASKS_EACH - 1) // 24):
        world.submit(f"j-2{n:05d}", 24, cpus=1.0, ram_gb=1.0, run_s=1e6, crew=f"team-{n % TEAMS:02}")
    for _ in range(40):
        world.run(2)
        if len(world.starts) >= machines * TASKS_EACH * 0.98:
            break
    world.run(4)
    return world


class StoreTimer:
    """Processor time that the stand-in of the state service takes, which is no node's."""

    def __init__(self, world) -> None:
        self.spent = 0.0
        handle = world.store.handle

        def timed(method: str, path: str, body: dict):
            began = time.process_time()
            try:
                return handle(method, path, body)
            finally:
                self.spent += time.process_time() - began

        world.store.handle = timed

    def microseconds(self, call: Callable[[int], object], times: int) -> float:
        """What one of some calls takes beside the stand-in."""
        before, began = self.spent, time.process_time()
        for number in range(times):
            call(number)
        return (time.process_time() - began - (self.spent - before)) / times * 1e6


def measured(machines: int) -> dict[str, float]:
    """All figures at one size."""
    from node_calls import call_costs

    world = world_of(machines)
    found: dict[str, float] = {"tasks running": len(world.starts)}
    live = {k: v[0] for k, v in world.store.data.items() if k.startswith("l/")}
    found["live records"] = len(live)
    found["live KB"] = sum(len(k) + len(orjson.dumps(v)) for k, v in live.items()) / 1024
    found[MEMORY] = _memory(world)
    worker = next(w for w, _ in world.cloud.machines.values() if len(w.tasks) >= TASKS_EACH - 1)
    found["bytes of a check-in"] = len(orjson.dumps(worker.report())) + HEADERS
    stand_in, leader = StoreTimer(world), world.leader()
    fields = dict(world.job("j-200000"))

    def submit(number: int) -> None:
        assert leader.intake.submit(orjson.dumps(fields | {"ref": f"j-4{number:05d}"})).status == 201
        world.clock.now += world.times.report / 50

    found["submission, us"] = stand_in.microseconds(submit, 40)
    leader.leadership.run_once()
    leader.watch_store()
    calls = {"check-in": "us", "poll": "us", "followed change": "us"}
    for name, value in call_costs(world).items():
        found[f"{name}, us" if name in calls else f"{name}, ms"] = value if name in calls else value / 1e3
    return found


def _memory(world) -> float:
    """What a node that starts now allocates for the records, in MB."""
    tracemalloc.start()
    node = world.start_node("holdfast-2")
    node.watch_store()
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return held / 2**20


@dataclass(frozen=True)
class Slope:
    """A figure as a line over the number of workers."""

    name: str
    base: float
    each: float
    off: float | None  # at the size that was left out: measured over fitted, less one
    exponent: float  # of its growth between the smallest and the largest size

    def at(self, workers: float) -> float:
        return max(0.0, self.base + self.each * workers)

    @property
    def flag(self) -> str:
        count = not self.name.endswith(("us", "ms")) and "bytes of" not in self.name
        if count:
            return "FASTER THAN THE FLEET" if self.exponent > FASTER else ""
        return "grows with the fleet" if self.exponent > CONSTANT else ""


def fitted(sizes: tuple[int, ...], figures: dict[int, dict[str, float]]) -> dict[str, Slope]:
    """A line through each figure, without the size that is left out."""
    used = [s for s in sizes if s != LEFT_OUT or len(sizes) < 3]
    slopes = {}
    for name in figures[sizes[0]]:
        rows = numpy.array([[1.0, s] for s in used])
        values = numpy.array([figures[s][name] for s in used])
        (base, each), *_ = numpy.linalg.lstsq(rows, values, rcond=None)
        off = None
        if LEFT_OUT in figures and LEFT_OUT not in used:
            off = figures[LEFT_OUT][name] / max(base + each * LEFT_OUT, 1e-9) - 1
        first, last = max(figures[sizes[0]][name], 1e-9), max(figures[sizes[-1]][name], 1e-9)
        exponent = numpy.log(last / first) / numpy.log(sizes[-1] / sizes[0])
        slopes[name] = Slope(name, float(base), float(each), off, float(exponent))
    return slopes


def exchanges() -> tuple[float, float]:
    """Microseconds that an HTTP exchange costs a node beside its call: a poll, a check-in."""
    from http_exchange import Handler, seconds_per_exchange

    return seconds_per_exchange(Handler, b"", 2000) * 1e6, seconds_per_exchange(Handler, b"x" * 1200, 2000) * 1e6


class Row(NamedTuple):
    """A role at a size."""

    role: str
    state: str
    messages: str  # a second
    cores: float | None
    memory: str

    @property
    def cells(self) -> tuple[str, ...]:
        cores = "" if self.cores is None else f"{self.cores:.3f}"
        return self.role, self.state, self.messages, cores, self.memory


def role_rows(size: Size, slopes: dict[str, Slope], poll_http: float, report_http: float) -> list[Row]:
    """Each role of a cell at a size: state, messages a second with bytes, cores, memory."""

    def at(name: str) -> float:
        return slopes[name].at(size.workers)

    changes = size.starts * CHANGES_A_START
    polls = size.jobs / POLL_S
    submissions = size.starts / TASKS_A_JOB
    follow = changes * at("followed change, us") / 1e6
    user = (polls * (at("poll, us") + poll_http) + submissions * (at("submission, us") + report_http)) / 1e6
    reports = size.check_ins * (at("check-in, us") + report_http) / 1e6
    commands = COMMANDS_A_START * size.starts * report_http / 1e6
    rounds = min(4.0, 1 + submissions) * at("waiting round, ms") / 1e3 + at("leader's idle round, ms") / 1e3
    holder_rounds = 4 * at("holder's idle round, ms") / 1e3
    memory = f"{40 + at(MEMORY):.0f} MB"
    state = f"{at('live records'):.0f} records, {at('live KB') / 1024:.1f} MB"
    report = at("bytes of a check-in")
    reports_each, starts_each = size.check_ins / size.workers, size.starts / size.workers
    bytes_each = reports_each * report + COMMANDS_A_START * starts_each * COMMAND_BYTES
    sent = COMMANDS_A_START * size.starts / NODES
    holder = follow + (reports + commands) / NODES + holder_rounds
    whole = NODES * (follow + holder_rounds) + reports + commands + rounds + user
    requests = changes + polls / POLLS_A_COMPARISON + WATCHES_A_NODE * NODES
    return [
        Row("leader", state, f"{changes:.0f} followed, {submissions:.0f} jobs handed", follow + rounds, memory),
        Row(
            "block holder (a third of the workers)",
            state,
            f"{size.check_ins / NODES:.0f} check-ins of {report:.0f} B, {sent:.0f} commands",
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
            f"{TASKS_EACH} tasks",
            f"{reports_each:.2f} check-ins, {bytes_each:.0f} B",
            None,
            "see the scale run",
        ),
        Row("cell, all controllers", "", "", whole, f"{NODES} x {memory}"),
    ]


def table(columns: tuple[str, ...], rows: list[tuple[str, ...]]) -> None:
    for row in (columns, ("---",) * len(columns), *rows):
        click.echo("| " + " | ".join(row) + " |")


@click.command()
@click.option("--sizes", default=",".join(map(str, SIZES)), show_default=True, help="Numbers of workers.")
@click.option("--only", type=int, help="Measure one size and print JSON.")
def main(sizes: str, only: int | None) -> None:
    """Measure, fit, and print the page's tables."""
    sys.path.insert(0, str(ROOT / "benchmarks"))
    if only is not None:
        sys.stdout.buffer.write(orjson.dumps(measured(only)))
        return
    chosen = tuple(sorted(int(size) for size in sizes.split(",")))
    figures = {}
    for size in chosen:
        command = [sys.executable, __file__, "--only", str(size)]
        figures[size] = orjson.loads(subprocess.run(command, check=True, capture_output=True, cwd=ROOT).stdout)
    revision = subprocess.run(
        ["git", "rev-parse", "--short", "HEAD"], cwd=ROOT, check=True, capture_output=True, text=True
    ).stdout.strip()
    slopes = fitted(chosen, figures)
    poll_http, report_http = exchanges()
    click.echo(f"Measured {datetime.now(UTC):%Y-%m-%d} at {revision}; sizes {', '.join(map(str, chosen))}.\n")
    rows = [
        (
            s.name,
            *(f"{figures[size][s.name]:.4g}" for size in chosen),
            f"{s.base:.4g} + {s.each * 1000:.4g} a thousand",
            "" if s.off is None else f"{s.off:+.0%}",
            s.flag,
        )
        for s in slopes.values()
    ]
    table(("figure", *(f"{size}" for size in chosen), "fit, by workers", f"off at {LEFT_OUT}", ""), rows)
    click.echo(f"\nAn HTTP exchange beside its call: poll {poll_http:.0f} us, check-in {report_http:.0f} us.")
    for size in ROLES_AT:
        click.echo(f"\n{size.name}: {size.workers} workers, {size.starts:.0f} starts a second\n")
        columns = ("role", "state", "messages a second", "cores", "memory")
        table(columns, [row.cells for row in role_rows(size, slopes, poll_http, report_http)])


if __name__ == "__main__":
    main()
