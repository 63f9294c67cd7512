"""A simulation of ticket gateways: tickets and native jobs run together through kills and outages.

Clients crash after they have sent a ticket and send it again through another
gateway. Gateways are killed at any request that they send. At the end, each
accepted run must have exactly one final answer, each ticket must have had no
more runs than its class allows, and each step must have started after the steps
that it depends on.
"""

import random
from collections import Counter
from dataclasses import replace
from datetime import datetime, timedelta
from typing import Any, NamedTuple

import orjson

from kelpjunction.clock import seconds
from kelpjunction.jobs.job_index import END_PREFIX, JOB_PREFIX
from kelpjunction.lab.usage_observer import UsageObserver
from kelpjunction.lab.world import World
from kelpjunction.ledger.accounts import ResourceTime, total_by_team
from kelpjunction.ledger.reader import read
from kelpjunction.settings import OperatorSettings, Team, load_operator_settings
from kelpjunction.tickets.classes import RerunPolicy, TicketClass, TicketSettings
from kelpjunction.tickets.gateway import Gateway
from kelpjunction.tickets.plan import Plan
from kelpjunction.tickets.records import ENDED_PREFIX, HEAD_PREFIX, PART_PREFIX, TICKET_PREFIX, decode_plan, part_key
from kelpjunction.tickets.users import is_final
from kelpjunction.transport import Reply

BROKEN_IMAGE = "broken"  # a job with this image fails on every machine
TEAMS = (Team("farm", 16.0, 0.0, None, None), Team("native", 16.0, 0.0, 40.0, None))
RERUN_PAUSE = seconds(20)


def ticket_class(
    name: str, runs: RerunPolicy, finish: bool = False, remember: timedelta = timedelta(days=31)
) -> TicketClass:
    return TicketClass(
        name,
        runs,
        max_runs=2,
        min_rerun_interval=RERUN_PAUSE,
        retention=remember,
        failure_limit=3,
        continue_on_failure=finish,
    )


CLASSES = {runs.value: ticket_class(runs.value, runs) for runs in RerunPolicy} | {
    "finish": ticket_class("finish", RerunPolicy.ONCE, finish=True)
}


class Killed(Exception):
    """A gateway's process was killed at this request."""


class TicketWorld(World):
    """The simulated site with ticket gateways, which use the field names of the nodes' wire format."""

    def __init__(self, gateways: int = 2, classes: dict[str, TicketClass] = CLASSES, **world: Any) -> None:
        super().__init__(**world)
        self.classes = classes
        self.gateways: dict[str, Gateway | None] = {}
        self.paused_until: dict[str, timedelta] = {}
        # Whether a gateway is killed at this request: "before" or "after" it is carried out, or None.
        self.kill_decision = lambda name, path: None
        for number in range(gateways):
            self.start_gateway(f"gate-{number}")

    def start_gateway(self, name: str) -> Gateway:
        transport = _KillableTransport(self, name)
        settings = TicketSettings(name, "127.0.0.1:0", 20_000, 500_000, self.classes)
        gateway = Gateway(
            self.platform("holdfast-0"), self.operators, settings, transport, (transport, transport), self.clock,
            lambda function, *args: function(*args), lambda duration: None, random.Random(self.random.random()),
            lambda duration: self.run(duration.total_seconds()),
        )  # fmt: skip
        self.gateways[name] = gateway
        return gateway

    def job(self, ref: str) -> dict:
        job = super().job(ref)
        return job | {"wrong": True} if job["bundle"] == BROKEN_IMAGE else job

    def run(self, duration: float, until=None) -> bool:
        end = self.clock.now + seconds(duration)
        while self.clock.now < end:
            super().run(0.1)
            for name, gateway in list(self.gateways.items()):
                if gateway is not None and self._is_unpaused(name):
                    self.run_killable(name, lambda gateway=gateway: self._step_gateway(gateway))
            if until is not None and until():
                return True
        return until is None

    def _is_unpaused(self, name: str) -> bool:
        return self.paused_until.get(name, self.clock.now) <= self.clock.now

    def _step_gateway(self, gateway: Gateway) -> None:
        # Reconcile first: a gateway that was paused must continue with its old state.
        for _ in range(4):
            if not gateway.reconcile():
                break
        gateway.follow(gateway.jobs)
        gateway.follow(gateway.tickets)
        if self._step_count % 5 == 0:
            gateway.leadership.run_once()
        if self._step_count % 10 == 0:
            gateway.store_access.check()
        if self._step_count % 100 == 0:
            gateway.sweep()

    def run_killable(self, name: str, act):
        """Run an action of a gateway; if it is killed in the action, start it again 1 to 8 seconds later.

        Returns the result of `act`, or None if the gateway was killed.
        """
        try:
            return act()
        except Killed:
            self.gateways[name] = None
            self.run_after(self.random.uniform(1, 8), lambda: self.gateways[name] or self.start_gateway(name))
            return None

    def ask_gateway(self, action: str, argument: bytes | str, name: str | None = None) -> tuple[int | None, dict]:
        candidates = [
            n for n, g in self.gateways.items() if g is not None and n == (name or n) and self._is_unpaused(n)
        ]
        if not candidates:
            return None, {}
        name = self.random.choice(candidates)
        answer = self.run_killable(name, lambda: getattr(self.gateways[name].ticket_requests, action)(argument))
        return (None, {}) if answer is None else (answer.status, orjson.loads(answer.body))

    def driver_name(self) -> str | None:
        return next(
            (n for n, g in self.gateways.items() if g is not None and g.reconciler.leader_term is not None), None
        )


class _KillableTransport:
    """A gateway's transport; the gateway may be killed at any request."""

    def __init__(self, world: TicketWorld, name: str) -> None:
        self._world, self._name = world, name

    def request(self, address: str, method: str, path: str, body: bytes | None, timeout: timedelta) -> Reply:
        kill_time = self._world.kill_decision(self._name, path)
        if kill_time == "before":
            raise Killed
        try:
            fields = orjson.loads(body) if body else {}
            return self._world.deliver(self._name, address, method, path, fields, self._world.clock.now)
        finally:
            if kill_time == "after":
                raise Killed


# -- tickets ------------------------------------------------------------------------------


def ticket(kind: str, klass: str, number: int, run: float = 4.0, tasks: int = 3) -> dict:
    """The fields of a submission; `kind` is one of the keys of `links`, `run` is in seconds."""
    script = {"script": {"actions": {"onRun": {"command": "match"}}}}
    space = {"taskParameterDefinitions": [{"name": "F", "type": "INT", "range": f"1-{tasks}"}]}
    names = [f"{random.Random(30 * number + n).getrandbits(240):060x}" for n in range(30)]
    links = {
        "long": dict.fromkeys(names, ""),  # a plan that is too large for a single record
        "single": {"a": ""},
        "wide": {"a": ""},
        "chain": {"a": "", "b": "a", "c": "b"},
        "diamond": {"a": "", "b": "a", "c": "a", "d": "bc"},
        "failing": {"a": "", "b": "a"},
        "wrong": {"a": "", "b": "nobody"},
    }[kind]
    steps = [
        {"name": name, "parameterSpace": space} | script
        | ({"dependencies": [{"dependsOn": d} for d in ([after] if kind == "wrong" else after)]} if after else {})
        for name, after in links.items()
    ]  # fmt: skip
    if kind == "long":
        noise = random.Random(number)
        for step in steps[:8]:
            types = ["box", *(f"m{noise.getrandbits(236):059x}" for _ in range(40))]
            step["hostRequirements"] = {"attributes": [{"name": "attr.machine_type", "anyOf": types}]}
    template = {"specificationVersion": "jobtemplate-2023-09", "name": f"{kind} {number}", "steps": steps}
    image = BROKEN_IMAGE if kind == "failing" else "img"
    return {
        "id": f"{kind}-{number}", "class": klass, "team": "farm", "template": template, "image": image,
        "image_gb": 1.0, "estimate_s": run, "cpus": 1.0, "memory_gb": 1.0,
    }  # fmt: skip


class TicketSimulationResult(NamedTuple):
    """The result of a simulation."""

    tickets: int
    runs: int
    ends: Counter
    faults: int
    problems: list[str]
    ledger: dict[str, ResourceTime]
    observed_usage: dict[str, ResourceTime]

    @property
    def passed(self) -> bool:
        return not self.problems and self.ledger == self.observed_usage


class Client:
    """A user of one ticket, who may crash before reading an answer."""

    def __init__(self, simulation: "TicketSimulation", fields: dict, at: float) -> None:
        self._simulation, self._world = simulation, simulation.world
        self.fields = fields
        self._next_action_at = at  # seconds since the start of the simulation
        self._resubmissions_left = simulation.random.randint(0, 2)  # after the end of a run
        self._run_id: str | None = None
        self.refused = False

    @property
    def is_finished(self) -> bool:
        return self.refused or (self._run_id is None and self._resubmissions_left < 0)

    def step(self, now: float) -> None:
        if self.is_finished or now < self._next_action_at:
            return
        self._next_action_at = now + self._simulation.random.uniform(1, 5)
        if self._run_id is None:
            self._submit()
        elif self._simulation.random.random() < 0.05:
            self._simulation.check_answer(self._run_id, self._world.ask_gateway("cancel", self._run_id))
        else:
            answer = self._world.ask_gateway("show", self._run_id)
            self._simulation.check_answer(self._run_id, answer)
            if is_final(answer[1]):
                self._run_id, self._resubmissions_left = None, self._resubmissions_left - 1
                self._next_action_at = now + self._simulation.random.choice([1.0, 2 * RERUN_PAUSE.total_seconds()])

    def _submit(self) -> None:
        status, answer = self._world.ask_gateway("submit", orjson.dumps(self.fields))
        if self._simulation.random.random() < 0.2:
            return  # the client crashed before it read the answer
        if status in (400, 422):
            self.refused = True
        elif status in (200, 201):
            self._run_id = answer["ticket"]
            self._simulation.check_answer(self._run_id, (status, answer))


class TicketSimulation:
    """Runs `tickets` tickets and as many native jobs through faults, and checks the outcome.

    `length` is the time in seconds during which work arrives and faults occur.
    """

    def __init__(self, seed: int, tickets: int, length: float, machines: int = 12) -> None:
        defaults = load_operator_settings(None)
        operators: OperatorSettings = replace(defaults, ledger=replace(defaults.ledger, enabled=True))
        self.world = TicketWorld(
            seed=seed, machines=machines, capacity=machines, teams=TEAMS, operators=operators,
        )  # fmt: skip
        self.usage_observer = UsageObserver(self.world.store, self.world.clock)
        self._observe_set = self.world.store.on_set
        self.world.store.on_set = self._on_set
        self.random = random.Random(seed)
        self._length = length
        self.final_answers: dict[str, dict] = {}
        self.problems: list[str] = []
        self.faults = 0
        self._accepted_runs: dict[str, tuple[Plan, datetime]] = {}
        self._event_order: dict[str, int] = {}  # by key of a job or an end: its rank in the order of first writes
        kinds = ["single", "single", "chain", "chain", "diamond", "diamond", "wide", "long", "failing", "wrong"]
        self.clients = []
        for number in range(tickets):
            kind, klass = self.random.choice(kinds), self.random.choice(list(CLASSES))
            tasks = {"wide": self.random.randint(64, 90), "long": 1}.get(kind) or self.random.randint(1, 6)
            fields = ticket(kind, klass, number, self.random.uniform(1, 4), tasks)
            self.clients.append(Client(self, fields, self.random.uniform(5, length * 0.7)))
        self._native_jobs = {f"j-{n}": self.random.uniform(5, length * 0.7) for n in range(tickets)}
        self.world.kill_decision = self._random_kill

    def _random_kill(self, name: str, path: str) -> str | None:
        if self.random.random() < (0.02 if path == "/commit" else 0.001):
            self.faults += 1
            return self.random.choice(["before", "after"])
        return None

    def _on_set(self, key: str, value: Any) -> None:
        self._observe_set(key, value)
        if key.startswith(TICKET_PREFIX) and value is not None:
            run = key.removeprefix(TICKET_PREFIX)
            if run not in self._accepted_runs:
                plan = value["plan"]
                if not isinstance(plan, str):
                    plan = "".join(self.world.store.data[part_key(plan[0], n)][0] for n in range(plan[1]))
                self._accepted_runs[run] = decode_plan(plan), self.world.clock.utc()
        if key.startswith((JOB_PREFIX, END_PREFIX)):
            self._event_order.setdefault(key, len(self._event_order))

    def check_answer(self, run: str, answer: tuple[int | None, dict]) -> None:
        """Check an answer to a user: a final answer must not change, and an accepted run must be known."""
        status, fields = answer
        if status == 404:
            self.problems.append(f"{run} is unknown")
        if status not in (200, 201):
            return
        if run in self.final_answers and self.final_answers[run] != fields:
            self.problems.append(f"{run} was {self.final_answers[run]}, now {fields}")
        if is_final(fields):
            if fields["state"] == "cancelled" and run not in self.final_answers:
                for step in self._accepted_runs[run][0].jobs:
                    if JOB_PREFIX + step.spec.ref in self._event_order:
                        self.world.told_cancelled.setdefault(step.spec.ref, self.world.clock.now)
            self.final_answers[run] = fields

    def _fault(self) -> None:
        world = self.world
        self.faults += 1
        kind = self.random.choice(["leader", "node", "freeze", "outage", "gateway", "asleep", "all"])
        running = [n for n in world.node_names if world.runs(n) and n not in world.frozen]
        gateways = [n for n, g in world.gateways.items() if g is not None]
        back = self.random.uniform(1, 12)
        leader = world.leader_name()
        if kind == "outage" and not world.store.is_down:
            world.fault("outage", "", back)
        elif kind == "gateway" and gateways:
            name = world.driver_name() or gateways[0]
            world.gateways[name] = None
            world.run_after(back, lambda: world.gateways[name] or world.start_gateway(name))
        elif kind == "asleep" and gateways:
            name = world.driver_name() or gateways[0]
            world.paused_until[name] = world.clock.now + seconds(back)
        elif running and kind in ("node", "freeze"):
            world.fault("kill" if kind == "node" else "freeze", self.random.choice(running), back)
        elif leader in running and kind == "leader":
            world.fault("kill", leader, back)
        elif running and kind == "all" and self.random.random() < 0.3:
            world.fault("kill", "all", back)

    def play(self) -> TicketSimulationResult:
        """Run until all tickets and jobs have ended, and check the outcome."""
        world, began = self.world, self.world.clock.now
        unsubmitted_jobs = set(self._native_jobs)
        while True:
            now = (world.clock.now - began).total_seconds()
            for client in self.clients:
                client.step(now)
            job = {"crew": "native", "run_s": 3.0, "expect_s": 3.0, "cpus": 1.0}
            for ref in sorted(r for r in unsubmitted_jobs if self._native_jobs[r] <= now):
                if world.submit(ref, 1 + int(ref[2:]) % 5, **job) in (
                    200,
                    201,
                ):
                    unsubmitted_jobs.discard(ref)
            if now > self._length:
                world.store.outage(False)
                world.kill_decision, world.paused_until = (lambda name, path: None), {}
            elif now > 5 and self.random.random() < 0.04:
                self._fault()
            world.run(0.5)
            live = [k for k in world.store.data if k.startswith((TICKET_PREFIX, JOB_PREFIX))]
            if now > self._length and not live and not unsubmitted_jobs and all(c.is_finished for c in self.clients):
                break
            if now > self._length * 6 + 600:
                self.problems.append(f"{len(live)} tickets and jobs never ended: {live[:3]}")
                break
        world.run(30)
        # Stored parts of plans that were never accepted are deleted after five minutes.
        world.run(360, lambda: not any(key.startswith(PART_PREFIX) for key in world.store.data))
        return self._check_outcome()

    def _check_outcome(self) -> TicketSimulationResult:
        world, data = self.world, self.world.store.data
        ends = {k.removeprefix(ENDED_PREFIX): v[0] for k, v in data.items() if k.startswith(ENDED_PREFIX)}
        heads = {k.removeprefix(HEAD_PREFIX): v[0]["run"] for k, v in data.items() if k.startswith(HEAD_PREFIX)}
        add_problem = self.problems.append
        for run in self._accepted_runs.keys() ^ ends.keys():
            add_problem(
                f"{run} was {'accepted' if run in self._accepted_runs else 'never accepted'}: its end: {ends.get(run)}"
            )
        for run, told in self.final_answers.items():
            if run in ends and told["state"] != ends[run]["end"]:
                add_problem(f"{run}: told {told['state']}, recorded {ends[run]['end']}")
        for run, (plan, _) in self._accepted_runs.items():
            self._check_steps(run, plan, ends.get(run, {}))
        for client in self.clients:
            name, klass = client.fields["id"], CLASSES[client.fields["class"]]
            if client.refused != name.startswith("wrong") or (client.refused and name in heads):
                add_problem(f"{name}: refused {client.refused}, records {heads.get(name)}")
            self._check_class(name, klass, heads.get(name, 0), ends)
        if left := [k for k in data if k.startswith(PART_PREFIX)]:
            add_problem(f"parts left: {left}")
        ledger_contents = read(next(node.store for node in world.nodes.values() if node is not None))
        ledger = {team: amounts for team, amounts in total_by_team(ledger_contents.entries).items() if any(amounts)}
        observed = {team: amounts for team, amounts in self.usage_observer.by_team().items() if any(amounts)}
        kinds = Counter(end["end"] for end in ends.values())
        problems = self.problems + world.broken
        return TicketSimulationResult(
            len(self.clients), len(self._accepted_runs), kinds, self.faults, problems, ledger, observed
        )

    def _check_steps(self, run: str, plan: Plan, end: dict) -> None:
        for place, step in enumerate(plan.jobs):
            ref = step.spec.ref
            submitted = self._event_order.get(JOB_PREFIX + ref)
            for before in step.depends_on:
                ended = self._event_order.get(END_PREFIX + plan.jobs[before].spec.ref)
                if submitted is not None and (ended is None or ended > submitted):
                    self.problems.append(f"{run}: {step.name} was submitted before a step that it depends on had ended")
            if end and end["steps"][place] == "d":
                missing = [t for i in range(step.spec.tasks) if (t := f"{ref}/{i}") not in self.world.finished]
                if missing:
                    self.problems.append(f"{run}: {step.name} is recorded as done, but {missing[:3]} did not finish")

    def _check_class(self, name: str, klass: TicketClass, runs: int, ends: dict[str, dict]) -> None:
        run_ends = [ends.get(f"{name}.{n}", {}) for n in range(1, runs + 1)]
        earlier, wrong = run_ends[:-1], False
        if klass.rerun_policy is RerunPolicy.ONCE:
            wrong = runs > 1
        elif klass.rerun_policy is RerunPolicy.AFTER_FAILURE:
            wrong = runs > klass.max_runs or any(end.get("end") != "failed" for end in earlier)
        elif klass.rerun_policy is RerunPolicy.AFTER_PAUSE:
            starts = [self._accepted_runs[f"{name}.{n}"][1].timestamp() for n in range(2, runs + 1)]
            pause = klass.min_rerun_interval.total_seconds()
            wrong = any(start - end["at"] < pause for start, end in zip(starts, earlier, strict=True))
        if wrong:
            self.problems.append(f"{name}: {runs} runs, {klass.rerun_policy.value}: {run_ends}")
