"""A scenario: load and faults from a file, played on a simulated or a real site, with the rules checked.

Every job must end as it should: arrays and gangs `done`; a service with all
its replicas running when the scenario ends, and then cancelled.
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

POLL_EVERY = 0.5  # seconds
ARRIVAL_SPREAD = 1.0  # seconds that the seed may move a submission by
CANCEL_WITHIN = 45.0

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
    """A scenario file can't be used; the text names the field."""


@dataclass(slots=True)
class Played:
    """How a job went, in seconds since the scenario began."""

    fields: dict
    submitted: float | None = None
    ended: float | None = None
    state: str = "not accepted"


def load(path: Path) -> dict:
    """Read and check a scenario; raises `ScenarioError`."""
    try:
        what = _check(tomllib.loads(path.read_text()))
        for ticket in what["ticket"]:
            ticket["template"] = (path.parent / ticket["file"]).read_text()
        return what
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise ScenarioError(str(error)) from error
    except fastjsonschema.JsonSchemaValueException as error:
        raise ScenarioError(error.message.removeprefix("data.")) from error


class Player:
    """Plays a scenario on a site."""

    def __init__(self, site: Site, scenario: dict, tell=lambda line: None) -> None:
        self._site = site
        self._scenario = scenario
        self._tell = tell
        self._began = site.clock.now
        self.jobs: dict[str, Played] = {}
        self.tickets: dict[str, Played] = {}
        self._refused: list[str] = []  # faults that could not be
        for number, fault in enumerate(scenario["fault"]):
            try:
                site.check_fault(fault["do"], fault["target"])
            except Refused as error:
                raise ScenarioError(f"fault[{number}].target: {error}") from error

    @property
    def _now(self) -> float:
        return (self._site.clock.now - self._began).total_seconds()

    def play(self) -> bool:
        """Play it all; whether every job ended as it should and no rule was broken."""
        late = ARRIVAL_SPREAD if self._site.varied else 0.0
        events = [
            (job["at_s"] + self._site.random.uniform(0, late), self._submit, job) for job in self._scenario["job"]
        ]
        events += [(ticket["at_s"], self._bring, ticket) for ticket in self._scenario.get("ticket", ())]
        events += [(fault["at_s"], self._fault, fault) for fault in self._scenario["fault"]]
        for at, act, what in sorted(events, key=lambda event: event[0]):
            self._pass(until=at)
            act(what)
        self._pass(until=self._scenario["until_s"], early=self._all_well)
        self._end_services()
        return not self.problems()

    def _submit(self, job: dict) -> None:
        run = (job["team"], job["shape"], job["tasks"], job["cpus"], job["memory"], job["seconds"])
        played = self.jobs[job["ref"]] = Played(users.job_fields(job["ref"], *run))
        self._offer(played)

    def _offer(self, played: Played) -> None:
        status = self._site.submit(played.fields["ref"], **{k: v for k, v in played.fields.items() if k != "ref"})
        if status in (200, 201):
            played.submitted, played.state = self._now, "accepted"
            self._tell(f"{self._now:6.1f} s  {played.fields['ref']} accepted")

    def _bring(self, ticket: dict) -> None:
        fields = {name: ticket[name] for name in ("id", "class", "team", "template", "parameters")}
        fields |= {"estimate_s": ticket["seconds"]}
        self.tickets[ticket["id"]] = Played(fields)

    def _ask_ticket(self, played: Played) -> None:
        """Submit a ticket until it is accepted, then ask how it stands until its one answer."""
        name = played.fields["id"]
        if played.submitted is None:
            status, answer = self._site.ask_gateway("submit", orjson.dumps(played.fields))
        else:
            status, answer = self._site.ask_gateway("show", name)
        if status not in (200, 201):
            played.state = answer.get("error", played.state)
            return
        if played.submitted is None:
            played.submitted = self._now
        if answer["state"] != played.state:
            played.state = answer["state"]
            self._tell(f"{self._now:6.1f} s  {name} {played.state}")
        if is_final(answer):
            played.ended = self._now

    def _fault(self, fault: dict) -> None:
        what = f"{fault['do']} {fault['target']}".rstrip()
        self._tell(f"{self._now:6.1f} s  {what}")
        try:
            self._site.fault(fault["do"], fault["target"], fault["seconds"])
        except Refused as error:
            self._refused.append(f"fault at {fault['at_s']:g} s, {what}: {error}")

    def _pass(self, until: float, early=lambda: False) -> None:
        while self._now < until and not early():
            self._site.run(min(POLL_EVERY, max(0.1, until - self._now)))
            for played in self.jobs.values():
                if played.submitted is None:
                    self._offer(played)
                elif played.ended is None:
                    self._poll(played)
            for played in self.tickets.values():
                if played.ended is None:
                    self._ask_ticket(played)

    def _poll(self, played: Played) -> None:
        ref = played.fields["ref"]
        state = self._site.poll(ref)
        if state is not None and state != played.state:
            played.state = state
            self._tell(f"{self._now:6.1f} s  {ref} {state}")
        if users.is_final({"tide": state}):
            played.ended = self._now

    def _up(self, played: Played) -> bool:
        return len(self._site.running(played.fields["ref"] + "/")) == played.fields["fronds"]

    def _services(self) -> list[Played]:
        return [p for p in self.jobs.values() if p.fields["shape"] == "service"]

    def _all_well(self) -> bool:
        left = [p for p in self.jobs.values() if p.ended is None]
        tickets = all(p.ended is not None for p in self.tickets.values())
        return tickets and all(p.fields["shape"] == "service" and self._up(p) for p in left)

    def _end_services(self) -> None:
        """Cancel the services; all of their replicas must go."""
        for played in self._services():
            if not self._up(played):
                played.state = "not up"
                continue
            ref = played.fields["ref"]
            self._site.run(CANCEL_WITHIN, lambda ref=ref: self._site.abort(ref) == 200)
            if self._site.run(CANCEL_WITHIN, lambda ref=ref: not self._site.running(ref + "/")):
                self._poll(played)

    def problems(self) -> list[str]:
        """What did not go as it should."""
        left = [f"{ref}: {p.state}" for ref, p in (self.jobs | self.tickets).items() if p.ended is None]
        left += [f"{name}: {p.state}" for name, p in self.tickets.items() if p.state in ("failed", "cancelled")]
        return left + self._refused + list(dict.fromkeys(self._site.broken))

    def summary(self) -> dict:
        """The figures of the run, as `lab run --json` prints them."""
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
