"""Ticket gateways in the simulated world, and a mixed run of tickets and native jobs through kills and outages.

Clients crash after they sent a ticket and send it again, through another
gateway; gateways are killed at any request they send.  At the end each run
that was ever accepted must have one final answer, each ticket as many runs as
its class allows, and each step must have started after those it depends on.
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
from kelpjunction.ledger.accounts import ResourceTime, total
from kelpjunction.ledger.reader import read
from kelpjunction.settings import OperatorSettings, Team, load_operator_settings
from kelpjunction.tickets.classes import RerunPolicy, TicketClass, TicketSettings
from kelpjunction.tickets.gateway import Gateway
from kelpjunction.tickets.plan import Plan
from kelpjunction.tickets.records import ENDED_PREFIX, HEAD_PREFIX, PART_PREFIX, TICKET_PREFIX, decode_plan, part_key
from kelpjunction.tickets.users import is_final
from kelpjunction.transport import Reply

BROKEN_IMAGE = "broken"  # a job with this image fails wherever it is put
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
    """A gateway's process ended at this request."""


class TicketWorld(World):
    """The simulated world with ticket gateways; the wire's spellings are the nodes' own."""

    def __init__(self, gateways: int = 2, classes: dict[str, TicketClass] = CLASSES, **world: Any) -> None:
        super().__init__(**world)
        self.classes = classes
        self.gateways: dict[str, Gateway | None] = {}
        self.paused_until: dict[str, timedelta] = {}
        # Whether a gateway ends before or after this request of its is carried out, if at all.
        self.kill_decision = lambda name, path: None
        for number in range(gateways):
            self.start_gateway(f"gate-{number}")

    def start_gateway(self, name: str) -> Gateway:
        links = _KillableLink(self, name)
        settings = TicketSettings(name, "127.0.0.1:0", 20_000, 500_000, self.classes)
        gateway = Gateway(
            self.platform("holdfast-0"), self.operators, settings, links, (links, links), self.clock,
            lambda function, *args: function(*args), lambda duration: None, random.Random(self.random.random()),
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
                if gateway is not None and self._awake(name):
                    self.run_killable(name, lambda gateway=gateway: self._turn(gateway))
            if until is not None and until():
                return True
        return until is None

    def _awake(self, name: str) -> bool:
        return self.paused_until.get(name, self.clock.now) <= self.clock.now

    def _turn(self, gateway: Gateway) -> None:
        # Driving first: one that stood still goes on with what it believed.
        for _ in range(4):
            if not gateway.reconcile():
                break
        gateway.follow(gateway.jobs)
        gateway.follow(gateway.tickets)
        if self._beats % 5 == 0:
            gateway.leadership.run_once()
        if self._beats % 100 == 0:
            gateway.sweep()

    def run_killable(self, name: str, act):
        """What a gateway does; if it is killed over it, it is gone until it is started again."""
        try:
            return act()
        except Killed:
            self.gateways[name] = None
            self.run_after(self.random.uniform(1, 8), lambda: self.gateways[name] or self.start_gateway(name))
            return None

    def ask_gateway(self, what: str, argument: bytes | str, name: str | None = None) -> tuple[int | None, dict]:
        able = [n for n, g in self.gateways.items() if g is not None and n == (name or n) and self._awake(n)]
        if not able:
            return None, {}
        name = self.random.choice(able)
        answer = self.run_killable(name, lambda: getattr(self.gateways[name].ticket_requests, what)(argument))
        return (None, {}) if answer is None else (answer.status, orjson.loads(answer.body))

    def driver_name(self) -> str | None:
        return next(
            (n for n, g in self.gateways.items() if g is not None and g.reconciler.leader_term is not None), None
        )


class _KillableLink:
    """A gateway's transport; its process may end at any request."""

    def __init__(self, world: TicketWorld, name: str) -> None:
        self._world, self._name = world, name

    def request(self, address: str, method: str, path: str, body: bytes | None, timeout: timedelta) -> Reply:
        fate = self._world.kill_decision(self._name, path)
        if fate == "before":
            raise Killed
        try:
            return self._world.deliver(self._name, address, method, path, orjson.loads(body) if body else {})
        finally:
            if fate == "after":
                raise Killed


# -- tickets ------------------------------------------------------------------------------


def ticket(kind: str, klass: str, number: int, run: float = 4.0, tasks: int = 3) -> dict:
    """A submission: a chain, a diamond, a wide or a long one, a single step, one that fails, or a wrong one."""
    script = {"script": {"actions": {"onRun": {"command": "match"}}}}
    space = {"taskParameterDefinitions": [{"name": "F", "type": "INT", "range": f"1-{tasks}"}]}
    names = [f"{random.Random(30 * number + n).getrandbits(240):060x}" for n in range(30)]
    links = {
        "long": dict.fromkeys(names, ""),  # a plan that no single record holds
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


class Verdict(NamedTuple):
    """What a mixed run came to."""

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
    """One user of one ticket, who may crash before he reads an answer."""

    def __init__(self, farm: "TicketSimulation", fields: dict, at: float) -> None:
        self._farm, self._world = farm, farm.world
        self.fields = fields
        self._at = at  # the next thing he does
        self._again = farm.random.randint(0, 2)  # times he comes back with the ticket after its end
        self._run: str | None = None
        self.refused = False

    @property
    def is_finished(self) -> bool:
        return self.refused or (self._run is None and self._again < 0)

    def step(self, now: float) -> None:
        if self.is_finished or now < self._at:
            return
        self._at = now + self._farm.random.uniform(1, 5)
        if self._run is None:
            self._submit()
        elif self._farm.random.random() < 0.05:
            self._farm.check_answer(self._run, self._world.ask_gateway("cancel", self._run))
        else:
            answer = self._world.ask_gateway("show", self._run)
            self._farm.check_answer(self._run, answer)
            if is_final(answer[1]):
                self._run, self._again = None, self._again - 1
                self._at = now + self._farm.random.choice([1.0, 2 * RERUN_PAUSE.total_seconds()])

    def _submit(self) -> None:
        status, answer = self._world.ask_gateway("submit", orjson.dumps(self.fields))
        if self._farm.random.random() < 0.2:
            return  # he crashed, and knows nothing of an answer
        if status in (400, 422):
            self.refused = True
        elif status in (200, 201):
            self._run = answer["ticket"]
            self._farm.check_answer(self._run, (status, answer))


class TicketSimulation:
    """Plays so many tickets beside as many native jobs, through faults, and judges."""

    def __init__(self, seed: int, tickets: int, length: float, machines: int = 12) -> None:
        usual = load_operator_settings(None)
        operators: OperatorSettings = replace(usual, ledger=replace(usual.ledger, enabled=True))
        self.world = TicketWorld(
            seed=seed, machines=machines, capacity=machines, teams=TEAMS, operators=operators,
        )  # fmt: skip
        self.usage_observer = UsageObserver(self.world.store, self.world.clock)
        self._account_set = self.world.store.on_set
        self.world.store.on_set = self._set
        self.random = random.Random(seed)
        self._length = length
        self.final_answers: dict[str, dict] = {}  # final answers
        self.problems: list[str] = []
        self.faults = 0
        self._accepted: dict[str, tuple[Plan, datetime]] = {}
        self._at: dict[str, int] = {}  # the order in which jobs were submitted, and ended
        kinds = ["single", "single", "chain", "chain", "diamond", "diamond", "wide", "long", "failing", "wrong"]
        self.clients = []
        for number in range(tickets):
            kind, klass = self.random.choice(kinds), self.random.choice(list(CLASSES))
            tasks = {"wide": self.random.randint(64, 90), "long": 1}.get(kind) or self.random.randint(1, 6)
            fields = ticket(kind, klass, number, self.random.uniform(1, 4), tasks)
            self.clients.append(Client(self, fields, self.random.uniform(5, length * 0.7)))
        self._natives = {f"j-{n}": self.random.uniform(5, length * 0.7) for n in range(tickets)}
        self.world.kill_decision = self._fate

    def _fate(self, name: str, path: str) -> str | None:
        if self.random.random() < (0.02 if path == "/commit" else 0.001):
            self.faults += 1
            return self.random.choice(["before", "after"])
        return None

    def _set(self, key: str, value: Any) -> None:
        self._account_set(key, value)
        if key.startswith(TICKET_PREFIX) and value is not None:
            run = key.removeprefix(TICKET_PREFIX)
            if run not in self._accepted:
                plan = value["plan"]
                if not isinstance(plan, str):
                    plan = "".join(self.world.store.data[part_key(plan[0], n)][0] for n in range(plan[1]))
                self._accepted[run] = decode_plan(plan), self.world.clock.utc()
        if key.startswith((JOB_PREFIX, END_PREFIX)):
            self._at.setdefault(key, len(self._at))

    def check_answer(self, run: str, answer: tuple[int | None, dict]) -> None:
        """A user was told this: a final answer never changes, and an accepted run is never unknown."""
        status, fields = answer
        if status == 404:
            self.problems.append(f"{run} is unknown")
        if status not in (200, 201):
            return
        if run in self.final_answers and self.final_answers[run] != fields:
            self.problems.append(f"{run} was {self.final_answers[run]}, now {fields}")
        if is_final(fields):
            if fields["state"] == "cancelled" and run not in self.final_answers:
                for step in self._accepted[run][0].jobs:
                    if JOB_PREFIX + step.spec.ref in self._at:
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

    def play(self) -> Verdict:
        """Play it until all tickets and jobs have ended, and judge."""
        world, began = self.world, self.world.clock.now
        open_natives = set(self._natives)
        while True:
            now = (world.clock.now - began).total_seconds()
            for client in self.clients:
                client.step(now)
            job = {"crew": "native", "run_s": 3.0, "expect_s": 3.0, "cpus": 1.0}
            for ref in sorted(r for r in open_natives if self._natives[r] <= now):
                if world.submit(ref, 1 + int(ref[2:]) % 5, **job) in (
                    200,
                    201,
                ):
                    open_natives.discard(ref)
            if now > self._length:
                world.store.outage(False)
                world.kill_decision, world.paused_until = (lambda name, path: None), {}
            elif now > 5 and self.random.random() < 0.04:
                self._fault()
            world.run(0.5)
            live = [k for k in world.store.data if k.startswith((TICKET_PREFIX, JOB_PREFIX))]
            if now > self._length and not live and not open_natives and all(c.is_finished for c in self.clients):
                break
            if now > self._length * 6 + 600:
                self.problems.append(f"{len(live)} tickets and jobs never ended: {live[:3]}")
                break
        world.run(30)
        # What was staged in vain is swept after five minutes.
        world.run(360, lambda: not any(key.startswith(PART_PREFIX) for key in world.store.data))
        return self._judge()

    def _judge(self) -> Verdict:
        world, data = self.world, self.world.store.data
        ends = {k.removeprefix(ENDED_PREFIX): v[0] for k, v in data.items() if k.startswith(ENDED_PREFIX)}
        heads = {k.removeprefix(HEAD_PREFIX): v[0]["run"] for k, v in data.items() if k.startswith(HEAD_PREFIX)}
        say = self.problems.append
        for run in self._accepted.keys() ^ ends.keys():
            say(f"{run} was {'accepted' if run in self._accepted else 'never accepted'}: its end is {ends.get(run)}")
        for run, told in self.final_answers.items():
            if run in ends and told["state"] != ends[run]["end"]:
                say(f"{run}: told {told['state']}, recorded {ends[run]['end']}")
        for run, (plan, _) in self._accepted.items():
            self._judge_steps(run, plan, ends.get(run, {}))
        for client in self.clients:
            name, klass = client.fields["id"], CLASSES[client.fields["class"]]
            if client.refused != name.startswith("wrong") or (client.refused and name in heads):
                say(f"{name}: refused {client.refused}, records {heads.get(name)}")
            self._judge_class(name, klass, heads.get(name, 0), ends)
        if left := [k for k in data if k.startswith(PART_PREFIX)]:
            say(f"parts left: {left}")
        books = read(next(node.store for node in world.nodes.values() if node is not None))
        ledger = {team: amounts for team, amounts in total(books.entries).items() if any(amounts)}
        account = {team: amounts for team, amounts in self.usage_observer.by_team().items() if any(amounts)}
        kinds = Counter(end["end"] for end in ends.values())
        problems = self.problems + world.broken
        return Verdict(len(self.clients), len(self._accepted), kinds, self.faults, problems, ledger, account)

    def _judge_steps(self, run: str, plan: Plan, end: dict) -> None:
        for place, step in enumerate(plan.jobs):
            ref = step.spec.ref
            submitted = self._at.get(JOB_PREFIX + ref)
            for before in step.depends_on:
                ended = self._at.get(END_PREFIX + plan.jobs[before].spec.ref)
                if submitted is not None and (ended is None or ended > submitted):
                    self.problems.append(f"{run}: {step.name} came before a step it depends on was done")
            if end and end["steps"][place] == "d":
                missing = [t for i in range(step.spec.tasks) if (t := f"{ref}/{i}") not in self.world.finished]
                if missing:
                    self.problems.append(f"{run}: {step.name} is called done, {missing[:3]} are not")

    def _judge_class(self, name: str, klass: TicketClass, runs: int, ends: dict[str, dict]) -> None:
        of = [ends.get(f"{name}.{n}", {}) for n in range(1, runs + 1)]
        earlier, wrong = of[:-1], False
        if klass.rerun_policy is RerunPolicy.ONCE:
            wrong = runs > 1
        elif klass.rerun_policy is RerunPolicy.AFTER_FAILURE:
            wrong = runs > klass.max_runs or any(end.get("end") != "failed" for end in earlier)
        elif klass.rerun_policy is RerunPolicy.AFTER_PAUSE:
            starts = [self._accepted[f"{name}.{n}"][1].timestamp() for n in range(2, runs + 1)]
            pause = klass.min_rerun_interval.total_seconds()
            wrong = any(start - end["at"] < pause for start, end in zip(starts, earlier, strict=True))
        if wrong:
            self.problems.append(f"{name}: {runs} runs, {klass.rerun_policy.value}: {of}")
