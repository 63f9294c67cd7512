"""Scenarios: load and faults from a file, run on a simulated or a real site that checks the rules.

Every array and gang must end as `done`. Every service must have all its
replicas running when the scenario ends, and is then cancelled.
"""

import tomllib
from dataclasses import dataclass
from pathlib import Path

import fastjsonschema
import orjson

from kelpjunction.lab.serving import Refused
from kelpjunction.lab.site import FAULTS, Site
from kelpjunction.tickets.users import is_final
from kelpjunction.wire import users

POLL_INTERVAL_S = 0.5
ARRIVAL_SPREAD_S = 1.0  # largest random delay of a submission
CANCEL_TIMEOUT_S = 45.0

_NUMBER = {"type": "number", "minimum": 0}
_check = fastjsonschema.compile(
    {
        "type": "object",
        "required": ["until_s", "job"],
        "additionalProperties": False,
        "properties": {
            "title": {"type": "string"},
            "until_s": {"type": "number", "exclusiveMinimum": 0, "maximum": 86400},
            "machines": {"type": "integer", "minimum": 1, "maximum": 200, "default": 9},
            "job": {
                "type": "array",
                "items": {
                    "type": "object",
                    "required": ["ref", "team"],
                    "additionalProperties": False,
                    "properties": {
                        "at_s": _NUMBER | {"default": 0},
                        "ref": {"type": "string", "pattern": "^j-[0-9]+$"},
                        "team": {"type": "string"},
                        "shape": {"enum": ["array", "gang", "service"], "default": "array"},
                        "tasks": {"type": "integer", "minimum": 1, "maximum": 100_000, "default": 1},
                        "cpus": _NUMBER | {"default": 2},
                        "memory": _NUMBER | {"default": 4},
                        "seconds": _NUMBER | {"default": 10},
                    },
                },
            },
            "ticket": {
                "type": "array",
                "default": [],
                "items": {
                    "type": "object",
                    "required": ["id", "team", "file"],
                    "additionalProperties": False,
                    "properties": {
                        "at_s": _NUMBER | {"default": 0},
                        "id": {"type": "string"},
                        "team": {"type": "string"},
                        "file": {"type": "string"},
                        "class": {"type": "string", "default": "once"},
                        "parameters": {"type": "object", "default": {}},
                        "seconds": _NUMBER | {"default": 10},
                    },
                },
            },
            "fault": {
                "type": "array",
                "default": [],
                "items": {
                    "type": "object",
                    "required": ["at_s", "do"],
                    "additionalProperties": False,
                    "properties": {
                        "at_s": _NUMBER,
                        "do": {"enum": list(FAULTS)},
                        "target": {"type": "string", "default": ""},
                        "seconds": _NUMBER | {"default": 0},
                    },
                },
            },
        },
    }
)


class ScenarioError(Exception):
    """A scenario file is invalid; the text names the field."""


@dataclass(slots=True)
class JobProgress:
    """The progress of a job or a ticket; times are in seconds since the start of the scenario."""

    fields: dict
    submitted: float | None = None
    ended: float | None = None
    state: str = "not accepted"


def load(path: Path) -> dict:
    """Read and validate a scenario file; raises `ScenarioError`."""
    try:
        scenario = _check(tomllib.loads(path.read_text()))
        for ticket in scenario["ticket"]:
            ticket["template"] = (path.parent / ticket["file"]).read_text()
        return scenario
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise ScenarioError(str(error)) from error
    except fastjsonschema.JsonSchemaValueException as error:
        raise ScenarioError(error.message.removeprefix("data.")) from error


class Player:
    """Runs a scenario on a site; `tell` receives each line of progress.

    Raises `ScenarioError` if a fault names a target that the site does not have.
    """

    def __init__(self, site: Site, scenario: dict, tell=lambda line: None) -> None:
        self._site = site
        self._scenario = scenario
        self._report_progress = tell
        self._began = site.clock.now
        self.jobs: dict[str, JobProgress] = {}
        self.tickets: dict[str, JobProgress] = {}
        self._refused_faults: list[str] = []  # faults that were impossible when they were due
        for number, fault in enumerate(scenario["fault"]):
            try:
                site.check_fault(fault["do"], fault["target"])
            except Refused as error:
                raise ScenarioError(f"fault[{number}].target: {error}") from error

    @property
    def _now(self) -> float:
        return (self._site.clock.now - self._began).total_seconds()

    def play(self) -> bool:
        """Run the whole scenario; returns whether every job ended as required and no rule was broken."""
        max_delay = ARRIVAL_SPREAD_S if self._site.varied else 0.0
        events = [
            (job["at_s"] + self._site.random.uniform(0, max_delay), self._submit, job) for job in self._scenario["job"]
        ]
        events += [(ticket["at_s"], self._add_ticket, ticket) for ticket in self._scenario.get("ticket", ())]
        events += [(fault["at_s"], self._fault, fault) for fault in self._scenario["fault"]]
        for at, act, item in sorted(events, key=lambda event: event[0]):
            self._advance(until=at)
            act(item)
        self._advance(until=self._scenario["until_s"], stop=self._is_complete)
        self._cancel_services()
        return not self.problems()

    def _submit(self, job: dict) -> None:
        run = (job["team"], job["shape"], job["tasks"], job["cpus"], job["memory"], job["seconds"])
        progress = self.jobs[job["ref"]] = JobProgress(users.job_fields(job["ref"], *run))
        self._try_submit(progress)

    def _try_submit(self, progress: JobProgress) -> None:
        status = self._site.submit(progress.fields["ref"], **{k: v for k, v in progress.fields.items() if k != "ref"})
        if status in (200, 201):
            progress.submitted, progress.state = self._now, "accepted"
            self._report_progress(f"{self._now:6.1f} s  {progress.fields['ref']} accepted")

    def _add_ticket(self, ticket: dict) -> None:
        fields = {name: ticket[name] for name in ("id", "class", "team", "template", "parameters")}
        fields |= {"estimate_s": ticket["seconds"]}
        self.tickets[ticket["id"]] = JobProgress(fields)

    def _poll_ticket(self, progress: JobProgress) -> None:
        """Submit a ticket until it is accepted; after that, ask for its state until the state is final."""
        name = progress.fields["id"]
        if progress.submitted is None:
            status, answer = self._site.ask_gateway("submit", orjson.dumps(progress.fields))
        else:
            status, answer = self._site.ask_gateway("show", name)
        if status not in (200, 201):
            progress.state = answer.get("error", progress.state)
            return
        if progress.submitted is None:
            progress.submitted = self._now
        if answer["state"] != progress.state:
            progress.state = answer["state"]
            self._report_progress(f"{self._now:6.1f} s  {name} {progress.state}")
        if is_final(answer):
            progress.ended = self._now

    def _fault(self, fault: dict) -> None:
        label = f"{fault['do']} {fault['target']}".rstrip()
        self._report_progress(f"{self._now:6.1f} s  {label}")
        try:
            self._site.fault(fault["do"], fault["target"], fault["seconds"])
        except Refused as error:
            self._refused_faults.append(f"fault at {fault['at_s']:g} s, {label}: {error}")

    def _advance(self, until: float, stop=lambda: False) -> None:
        while self._now < until and not stop():
            self._site.run(min(POLL_INTERVAL_S, max(0.1, until - self._now)))
            for progress in self.jobs.values():
                if progress.submitted is None:
                    self._try_submit(progress)
                elif progress.ended is None:
                    self._poll(progress)
            for progress in self.tickets.values():
                if progress.ended is None:
                    self._poll_ticket(progress)

    def _poll(self, progress: JobProgress) -> None:
        ref = progress.fields["ref"]
        state = self._site.poll(ref)
        if state is not None and state != progress.state:
            progress.state = state
            self._report_progress(f"{self._now:6.1f} s  {ref} {state}")
        if users.is_final({"tide": state}):
            progress.ended = self._now

    def _all_replicas_running(self, progress: JobProgress) -> bool:
        return len(self._site.running(progress.fields["ref"] + "/")) == progress.fields["fronds"]

    def _services(self) -> list[JobProgress]:
        return [p for p in self.jobs.values() if p.fields["shape"] == "service"]

    def _is_complete(self) -> bool:
        left = [p for p in self.jobs.values() if p.ended is None]
        tickets = all(p.ended is not None for p in self.tickets.values())
        return tickets and all(p.fields["shape"] == "service" and self._all_replicas_running(p) for p in left)

    def _cancel_services(self) -> None:
        """Cancel the services; all of their replicas must stop."""
        for progress in self._services():
            if not self._all_replicas_running(progress):
                progress.state = "not up"
                continue
            ref = progress.fields["ref"]
            self._site.run(CANCEL_TIMEOUT_S, lambda ref=ref: self._site.abort(ref) == 200)
            if self._site.run(CANCEL_TIMEOUT_S, lambda ref=ref: not self._site.running(ref + "/")):
                self._poll(progress)

    def problems(self) -> list[str]:
        """Jobs and tickets that did not end as required, refused faults and broken rules."""
        left = [f"{ref}: {p.state}" for ref, p in (self.jobs | self.tickets).items() if p.ended is None]
        left += [f"{name}: {p.state}" for name, p in self.tickets.items() if p.state in ("failed", "cancelled")]
        return left + self._refused_faults + list(dict.fromkeys(self._site.broken))

    def summary(self) -> dict:
        """The result of the run, as `lab run --json` prints it."""
        times = {
            ref: None if p.ended is None or p.submitted is None else round(p.ended - p.submitted, 1)
            for ref, p in (self.jobs | self.tickets).items()
        }
        return {
            "title": self._scenario.get("title", ""),
            "lasted_s": round(self._now, 1),
            "jobs": {ref: {"state": p.state, "took_s": times[ref]} for ref, p in self.jobs.items()},
            "tickets": {name: {"state": p.state, "took_s": times[name]} for name, p in self.tickets.items()},
            "starts": len(self._site.starts),
            "problems": self.problems(),
        }
