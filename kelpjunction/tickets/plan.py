"""Turns a ticket into jobs: one array job for each step, started when the steps it depends on are done.

The functions here have no side effects.  A ticket is accepted or rejected as a
whole.  A rejection lists every violation found, each with its path in the
ticket, the value there and the rule that it breaks.
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

MAX_TASKS_PER_STEP = 100_000  # of a job, as PROTOCOL says
MAX_STEPS = 100
MAX_REF_DIGITS = 30  # the largest number of digits in a job's id
MIB_PER_GB = 1024


class Violation(NamedTuple):
    """One rule that a ticket breaks."""

    path: str
    value: str
    rule: str

    def __str__(self) -> str:
        where = f"{self.path}: " if self.path else ""
        return f"{where}{self.rule}" + (f" (it is {self.value})" if self.value else "")


class TicketRejected(Exception):
    """A ticket was rejected; `violations` lists every reason found.

    `status` is the HTTP status: 400 for a malformed ticket, 422 for one that can never run.
    """

    def __init__(self, violations: Iterable[Violation], status: int = 400) -> None:
        self.violations = list(violations)
        self.status = status
        super().__init__("; ".join(map(str, self.violations)))


@dataclass(frozen=True, slots=True)
class Amount:
    """An amount that a step requires of its machine."""

    name: str
    least: Decimal | None
    most: Decimal | None


@dataclass(frozen=True, slots=True)
class Attribute:
    """An attribute that a step requires of its machine."""

    name: str
    any_of: tuple[str, ...] = ()
    all_of: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Step:
    """A step of a ticket with its parameters resolved; `parameters` returns those of one task by its index."""

    name: str
    tasks: int
    depends_on: tuple[str, ...] = ()
    amounts: tuple[Amount, ...] = ()
    attributes: tuple[Attribute, ...] = ()
    parameters: Callable[[int], dict[str, str]] = lambda index: {}


@dataclass(frozen=True, slots=True)
class SubmissionOptions:
    """Options sent with a ticket because its format has no field for them: team, class, priority, image, run time."""

    team: str
    klass: str = "ticket"  # the ticket's class, and that of its jobs
    priority: Priority = Priority.NORMAL
    image: str = "none"
    image_gb: float = 0.0
    estimate: timedelta = timedelta(minutes=1)  # how long a task runs
    cpus: float = 1.0  # for steps that name no amount
    memory: float = 1.0  # in GB, for steps that name no amount
    spot: bool = False


@dataclass(frozen=True, slots=True)
class StepJob:
    """The job that a step becomes."""

    name: str
    depends_on: tuple[int, ...]  # indexes in the plan of the jobs that must be done first
    spec: JobSpec


@dataclass(frozen=True, slots=True)
class Plan:
    """A ticket's jobs, ordered so that each follows the jobs it depends on."""

    ticket: str
    name: str
    jobs: tuple[StepJob, ...]

    def record(self) -> dict:
        """The whole plan as a JSON object; `parse` reads it back."""
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
    """The id of a ticket sent without one: a digest of its content that does not depend on the order of keys."""
    canonical = orjson.dumps(content, option=orjson.OPT_SORT_KEYS)
    return "t-" + hashlib.blake2b(canonical, digest_size=16).hexdigest()


def job_ref(ticket: str, index: int) -> str:
    """The id of the job at this index of a ticket's plan."""
    digest = hashlib.blake2b(f"{ticket}/{index}".encode(), digest_size=16).digest()
    return f"j-{int.from_bytes(digest) % 10**MAX_REF_DIGITS:0{MAX_REF_DIGITS}d}"


def build_plan(ticket: str, name: str, steps: list[Step], options: SubmissionOptions) -> Plan:
    """Build a ticket's jobs; raises `TicketRejected` with everything that can't be mapped to a job."""
    violations: list[Violation] = []
    if len(steps) > MAX_STEPS:
        violations.append(Violation("steps", str(len(steps)), f"a ticket has at most {MAX_STEPS} steps"))
    indexes = {step.name: index for index, step in enumerate(_dependency_order(steps))}
    jobs: dict[str, StepJob] = {}
    for number, step in enumerate(steps):
        path = f"steps[{number}]"
        requirements = _Requirements(f"{path}.hostRequirements", violations)
        requirements.read(step)
        if not 1 <= step.tasks <= MAX_TASKS_PER_STEP:
            rule = f"a step has 1 to {MAX_TASKS_PER_STEP} tasks"
            violations.append(Violation(f"{path}.parameterSpace", str(step.tasks), rule))
        spec = JobSpec(
            ref=job_ref(ticket, indexes[step.name]), klass=options.klass, team=options.team, shape=Shape.ARRAY,
            priority=options.priority, tasks=step.tasks,
            cpus=options.cpus if requirements.cpus is None else requirements.cpus, gpus=requirements.gpus,
            memory=options.memory if requirements.memory is None else requirements.memory, image=options.image,
            image_gb=options.image_gb, types=requirements.types, zone=requirements.zone, one_zone=False, spread=False,
            spot=options.spot, estimate=options.estimate, checkpoint=ZERO, save=ZERO, deadline=None,
        )  # fmt: skip
        jobs[step.name] = StepJob(step.name, tuple(sorted(indexes[d] for d in step.depends_on)), spec)
    if violations:
        raise TicketRejected(violations)
    return Plan(ticket, name, tuple(jobs[step.name] for step in sorted(steps, key=lambda s: indexes[s.name])))


def _dependency_order(steps: list[Step]) -> list[Step]:
    """Sort steps after those they depend on, else in the ticket's order; the validator has ruled out cycles."""
    remaining, done, ordered = list(steps), set(), []
    while remaining:
        ready = next(step for step in remaining if done.issuperset(step.depends_on))
        remaining.remove(ready)
        done.add(ready.name)
        ordered.append(ready)
    return ordered


class _Requirements:
    """Maps a step's host requirements to a job's fields; what can't be mapped becomes a violation."""

    def __init__(self, path: str, violations: list[Violation]) -> None:
        self._path = path
        self._violations = violations
        self.cpus: float | None = None
        self.memory: float | None = None
        self.gpus = 0.0
        self.zone: str | None = None
        self.types: tuple[str, ...] | None = None

    def read(self, step: Step) -> None:
        for number, amount in enumerate(step.amounts):
            self._read_amount(f"{self._path}.amounts[{number}]", amount)
        for number, attribute in enumerate(step.attributes):
            self._read_attribute(f"{self._path}.attributes[{number}]", attribute)

    def _add_violation(self, path: str, value: object, rule: str) -> None:
        self._violations.append(Violation(path, str(value), rule))

    def _read_amount(self, path: str, amount: Amount) -> None:
        if amount.most is not None:
            self._add_violation(
                f"{path}.max",
                amount.most,
                "a maximum is not supported: machines with more than a step needs are accepted",
            )
        least = float(amount.least or 0)
        if amount.name == "amount.worker.vcpu":
            self.cpus = least or None
        elif amount.name == "amount.worker.memory":
            self.memory = least / MIB_PER_GB or None
        elif amount.name == "amount.worker.gpu":
            self.gpus = least
        else:
            rule = "only amount.worker.vcpu, amount.worker.memory and amount.worker.gpu are supported"
            self._add_violation(f"{path}.name", amount.name, rule)

    def _read_attribute(self, path: str, attribute: Attribute) -> None:
        if attribute.name in ("attr.worker.os.family", "attr.worker.cpu.arch"):
            provided = "linux" if attribute.name.endswith("family") else "x86_64"
            requested = [value.lower() for value in (*attribute.any_of, *attribute.all_of)]
            ruled_out = (attribute.any_of and provided not in requested) or any(
                v.lower() != provided for v in attribute.all_of
            )
            if ruled_out:
                self._add_violation(path, ", ".join(requested), f"all machines are {provided}")
        elif attribute.name == "attr.zone":
            values = attribute.any_of or attribute.all_of
            if len(values) != 1:
                self._add_violation(
                    path,
                    ", ".join(values),
                    "name exactly one zone: a step runs in one zone, or in any zone if it names none",
                )
            else:
                self.zone = values[0]
        elif attribute.name == "attr.machine_type" and not attribute.all_of:
            self.types = attribute.any_of
        else:
            rule = (
                "only attr.worker.os.family, attr.worker.cpu.arch, attr.zone "
                "and anyOf of attr.machine_type are supported"
            )
            self._add_violation(f"{path}.name", attribute.name, rule)
