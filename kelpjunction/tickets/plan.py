"""What a ticket becomes: an array job for each step, started when the steps it depends on are done.  Pure.

A ticket is taken whole or refused whole.  A refusal lists every fault found,
each with its path in the ticket, the value there and the rule it breaks.
"""

import hashlib
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from datetime import timedelta
from decimal import Decimal
from typing import Any, NamedTuple

import orjson

from kelpjunction.clock import ZERO
from kelpjunction.wire import users
from kelpjunction.wire.messages import JobSpec, Priority, Shape

MOST_TASKS = 100_000  # of a job, as PROTOCOL says
MOST_STEPS = 100
REF_DIGITS = 30  # of a job's id, at most
MIB_A_GB = 1024


class Violation(NamedTuple):
    """One thing that is wrong with a ticket."""

    path: str
    value: str
    rule: str

    def __str__(self) -> str:
        where = f"{self.path}: " if self.path else ""
        return f"{where}{self.rule}" + (f" (it is {self.value})" if self.value else "")


class TicketRejected(Exception):
    """A ticket can't be taken; `violations` lists why, all that were found.

    `status` is what HTTP says: 400 for a malformed ticket, 422 for one that can never run.
    """

    def __init__(self, faults: Iterable[Violation], status: int = 400) -> None:
        self.violations = list(faults)
        self.status = status
        super().__init__("; ".join(map(str, self.violations)))


@dataclass(frozen=True, slots=True)
class Amount:
    """An amount that a step asks of its machine."""

    name: str
    least: Decimal | None
    most: Decimal | None


@dataclass(frozen=True, slots=True)
class Attribute:
    """An attribute that a step asks of its machine."""

    name: str
    any_of: tuple[str, ...] = ()
    all_of: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Step:
    """A step as its ticket has it, with its parameters resolved; `parameters` gives those of a task by its index."""

    name: str
    tasks: int
    depends_on: tuple[str, ...] = ()
    amounts: tuple[Amount, ...] = ()
    attributes: tuple[Attribute, ...] = ()
    parameters: Callable[[int], dict[str, str]] = lambda index: {}


@dataclass(frozen=True, slots=True)
class SubmissionOptions:
    """What the format has no place for, given with a ticket: who pays, how urgent, what images and how long."""

    team: str
    klass: str = "ticket"  # the ticket's class, and that of its jobs
    priority: Priority = Priority.NORMAL
    image: str = "none"
    image_gb: float = 0.0
    estimate: timedelta = timedelta(minutes=1)  # of a task's run
    cpus: float = 1.0  # where a step names none
    memory: float = 1.0  # GB, where a step names none
    spot: bool = False


@dataclass(frozen=True, slots=True)
class StepJob:
    """The job that a step becomes."""

    name: str
    depends_on: tuple[int, ...]  # the places in the plan of the jobs that must be done before
    spec: JobSpec


@dataclass(frozen=True, slots=True)
class Plan:
    """A ticket as jobs, each after those it depends on."""

    ticket: str
    name: str
    jobs: tuple[StepJob, ...]

    def record(self) -> dict:
        """All of it, as JSON."""
        jobs = [[j.name, j.depends_on, users.fields_to_keep(users.fields_from_job(j.spec))] for j in self.jobs]
        return {"ticket": self.ticket, "name": self.name, "jobs": jobs}

    @classmethod
    def parse(cls, record: dict) -> "Plan":
        jobs = (StepJob(name, tuple(after), users.job_from_fields(spec)) for name, after, spec in record["jobs"])
        return cls(record["ticket"], record["name"], tuple(jobs))

    @property
    def tasks(self) -> int:
        return sum(job.spec.tasks for job in self.jobs)


def ticket_id(content: Any) -> str:
    """The id of a ticket whose client gives none: the same content, however its keys are ordered, has the same."""
    canonical = orjson.dumps(content, option=orjson.OPT_SORT_KEYS)
    return "t-" + hashlib.blake2b(canonical, digest_size=16).hexdigest()


def job_ref(ticket: str, place: int) -> str:
    """The id of the job at this place of a ticket's plan."""
    digest = hashlib.blake2b(f"{ticket}/{place}".encode(), digest_size=16).digest()
    return f"j-{int.from_bytes(digest) % 10**REF_DIGITS:0{REF_DIGITS}d}"


def build_plan(ticket: str, name: str, steps: list[Step], order: SubmissionOptions) -> Plan:
    """The jobs of a ticket; raises `TicketRejected` with everything that can't be mapped."""
    faults: list[Violation] = []
    if len(steps) > MOST_STEPS:
        faults.append(Violation("steps", str(len(steps)), f"a ticket has at most {MOST_STEPS} steps"))
    places = {step.name: place for place, step in enumerate(_in_turn(steps))}
    jobs: dict[str, StepJob] = {}
    for number, step in enumerate(steps):
        path = f"steps[{number}]"
        needs = _Needs(f"{path}.hostRequirements", faults)
        needs.read(step)
        if not 1 <= step.tasks <= MOST_TASKS:
            rule = f"a step has 1 to {MOST_TASKS} tasks"
            faults.append(Violation(f"{path}.parameterSpace", str(step.tasks), rule))
        spec = JobSpec(
            ref=job_ref(ticket, places[step.name]), klass=order.klass, team=order.team, shape=Shape.ARRAY,
            priority=order.priority,
            tasks=step.tasks, cpus=order.cpus if needs.cpus is None else needs.cpus, gpus=needs.gpus,
            memory=order.memory if needs.memory is None else needs.memory, image=order.image,
            image_gb=order.image_gb, types=needs.types, zone=needs.zone, one_zone=False, spread=False,
            spot=order.spot, estimate=order.estimate, checkpoint=ZERO, save=ZERO, deadline=None,
        )  # fmt: skip
        jobs[step.name] = StepJob(step.name, tuple(sorted(places[d] for d in step.depends_on)), spec)
    if faults:
        raise TicketRejected(faults)
    return Plan(ticket, name, tuple(jobs[step.name] for step in sorted(steps, key=lambda s: places[s.name])))


def _in_turn(steps: list[Step]) -> list[Step]:
    """The steps, each after those it depends on, else in the ticket's order; the validator has ruled out circles."""
    left, done, turn = list(steps), set(), []
    while left:
        ready = next(step for step in left if done.issuperset(step.depends_on))
        left.remove(ready)
        done.add(ready.name)
        turn.append(ready)
    return turn


class _Needs:
    """What a step's host requirements come to; what can't be mapped is a fault."""

    def __init__(self, path: str, faults: list[Violation]) -> None:
        self._path = path
        self._faults = faults
        self.cpus: float | None = None
        self.memory: float | None = None
        self.gpus = 0.0
        self.zone: str | None = None
        self.types: tuple[str, ...] | None = None

    def read(self, step: Step) -> None:
        for number, amount in enumerate(step.amounts):
            self._amount(f"{self._path}.amounts[{number}]", amount)
        for number, attribute in enumerate(step.attributes):
            self._attribute(f"{self._path}.attributes[{number}]", attribute)

    def _fault(self, path: str, value: object, rule: str) -> None:
        self._faults.append(Violation(path, str(value), rule))

    def _amount(self, path: str, amount: Amount) -> None:
        if amount.most is not None:
            self._fault(f"{path}.max", amount.most, "machines are never refused for having more than a step needs")
        least = float(amount.least or 0)
        if amount.name == "amount.worker.vcpu":
            self.cpus = least or None
        elif amount.name == "amount.worker.memory":
            self.memory = least / MIB_A_GB or None
        elif amount.name == "amount.worker.gpu":
            self.gpus = least
        else:
            known = "amount.worker.vcpu, amount.worker.memory and amount.worker.gpu are known"
            self._fault(f"{path}.name", amount.name, known)

    def _attribute(self, path: str, attribute: Attribute) -> None:
        if attribute.name in ("attr.worker.os.family", "attr.worker.cpu.arch"):
            have = "linux" if attribute.name.endswith("family") else "x86_64"
            said = [value.lower() for value in (*attribute.any_of, *attribute.all_of)]
            ruled_out = (attribute.any_of and have not in said) or any(v.lower() != have for v in attribute.all_of)
            if ruled_out:
                self._fault(path, ", ".join(said), f"all machines are {have}")
        elif attribute.name == "attr.zone":
            values = attribute.any_of or attribute.all_of
            if len(values) != 1:
                self._fault(path, ", ".join(values), "a step runs in one zone or in any: name one")
            else:
                self.zone = values[0]
        elif attribute.name == "attr.machine_type" and not attribute.all_of:
            self.types = attribute.any_of
        else:
            known = "attr.worker.os.family, attr.worker.cpu.arch, attr.zone and anyOf of attr.machine_type are known"
            self._fault(f"{path}.name", attribute.name, known)
