"""A simulation of weeks of load by eight teams, with kills, freezes and outages, that checks the ledger at the end.

The time of day passes some hundred times as fast as the steady clock, so that
leases, rounds and closings keep their pace. At the end the ledger's sums are
compared with usage that the lab measured independently. Each priority that a
leader used is compared with the result of replaying the exported entries.
"""

from dataclasses import replace
from datetime import timedelta
from typing import NamedTuple

from kelpjunction.lab.usage_observer import UsageObserver
from kelpjunction.lab.world import STORE, Node, World
from kelpjunction.ledger.accounts import ResourceTime, team_rows, total_by_team
from kelpjunction.ledger.audit import ReplayResult, audit
from kelpjunction.ledger.decay import FIXED_POINT_ONE
from kelpjunction.ledger.reader import LedgerContents, read
from kelpjunction.settings import OperatorSettings, Team, load_operator_settings

SMALL_GUARANTEE_CPUS, USUAL_GUARANTEE_CPUS = 8.0, 16.0
TEAMS = (
    Team("heavy", SMALL_GUARANTEE_CPUS, 0.0, None, None),  # always submits as much as possible
    Team("weekly", USUAL_GUARANTEE_CPUS, 0.0, None, None),  # submits for a deadline at the end of each week
    Team("idle", USUAL_GUARANTEE_CPUS, 0.0, None, None),  # submits nothing from the second to the fifth week
    Team("guest", 0.0, 0.0, None, None),
    Team("late", SMALL_GUARANTEE_CPUS, 0.0, None, None),  # submits from the third week on
    Team("north", USUAL_GUARANTEE_CPUS, 0.0, 40.0, None),
    Team("south", USUAL_GUARANTEE_CPUS, 0.0, 40.0, None),
    Team("pages", SMALL_GUARANTEE_CPUS, 0.0, None, None),  # services
)
MAX_LIVE_JOBS = 3  # per team; doubled for the teams "heavy" and "weekly"
LOAD_INTERVAL_S = 2.0  # mean time between two checks of the load
REQUEST_LOSS_RATE = 0.002  # share of the nodes' requests to the state service that are lost or lose their reply


class FactorUse(NamedTuple):
    """A priority factor that a leader used for a team, with the last ledger entry that the leader knew."""

    entry: int
    team: str
    factor: float


class LedgerCheck(NamedTuple):
    """The result of a simulation."""

    contents: LedgerContents
    replayed: ReplayResult
    ledger: dict[str, ResourceTime]
    observed_usage: dict[str, ResourceTime]
    priorities_compared: int
    problems: list[FactorUse]  # priorities that differ from the replay
    faults: int
    starts: int
    broken: list[str]

    @property
    def passed(self) -> bool:
        return not (self.replayed.fault or self.problems or self.broken) and self.ledger == self.observed_usage


class LedgerSimulation:
    """Runs six weeks of load, compressed into `length` of the time of day."""

    def __init__(self, seed: int, length: timedelta, day_speed: int = 720, form: str = "hyperbolic") -> None:
        defaults = load_operator_settings(None)
        settings = replace(defaults.ledger, enabled=True, half_life=length / 6, form=form)
        self.operators: OperatorSettings = replace(defaults, ledger=settings)
        self.world = World(
            seed=seed, machines=12, capacity=12, teams=TEAMS, operators=self.operators, day_speed=day_speed
        )
        self._length = length
        self._random = self.world.random
        self._began = self.world.clock.utc()
        self._refs: dict[str, list[str]] = {t.name: [] for t in TEAMS}
        self._number = 0
        self._used_factors: set[FactorUse] = set()
        self.faults = 0
        self.usage_observer = UsageObserver(self.world.store, self.world.clock)
        self.world.filter = self._random_loss
        self._hooked_nodes: set[int] = set()

    def _random_loss(self, source: str, target: str, path: str) -> str | None:
        # No request to the state service is delayed: the usage observer uses the time at which changes are applied.
        if target != STORE or path.startswith("/follow") or self._random.random() >= REQUEST_LOSS_RATE:
            return None
        return self._random.choice(["lost", "answer lost"])

    def play(self) -> LedgerCheck:
        """Run the load, end all jobs, let the ledger close and compare."""
        world = self.world
        world.run(5)
        while world.clock.utc() - self._began < self._length:
            self._hook_new_nodes()
            self._load()
            if self._random.random() < 0.08:
                self._fault()
            world.run(LOAD_INTERVAL_S * self._random.uniform(0.5, 1.5))
        world.filter = lambda source, target, path: None
        world.store.outage(False)
        for name in world.node_names:
            if not world.runs(name):
                world.start_node(name)
        world.run(60)
        for ref in [r for refs in self._refs.values() for r in refs]:
            world.abort(ref)
        assert world.run(200, lambda: not world.running() and not any(k.startswith("l/job/") for k in world.store.data))
        world.run(60)
        return self._check_ledger()

    # -- load -------------------------------------------------------------------

    def _active(self, team: str, at: float) -> bool:
        """Whether a team submits now; `at` is the elapsed fraction of the run, which stands for six weeks."""
        week = at * 6
        if team == "idle":
            return week < 1 or week >= 5
        if team == "late":
            return week >= 2
        if team == "weekly":
            return week % 1 > 0.6
        return self._random.random() < (0.9 if team == "heavy" else 0.15)

    def _load(self) -> None:
        at = (self.world.clock.utc() - self._began) / self._length
        for team, refs in self._refs.items():
            refs[:] = [ref for ref in refs if f"l/job/{ref}" in self.world.store.data]
            if len(refs) < (2 * MAX_LIVE_JOBS if team in ("heavy", "weekly") else MAX_LIVE_JOBS) and self._active(
                team, at
            ):
                self._submit(team, refs)
            elif refs and team == "pages" and self._random.random() < 0.1:
                self.world.abort(refs[0])

    def _submit(self, team: str, refs: list[str]) -> None:
        self._number += 1
        ref = f"j-{self._number:06d}"
        kind = "service" if team == "pages" else self._random.choice(["batch", "batch", "batch", "ensemble"])
        tasks = self._random.randint(1, 4) if kind != "batch" else self._random.randint(1, 90)
        run = self._random.uniform(5, 40)
        status = self.world.submit(
            ref, tasks, crew=team, shape=kind, cpus=self._random.choice([1.0, 2.0, 3.5]),
            run_s=run, expect_s=run, mark_s=10.0 if kind == "ensemble" else 0.0,
        )  # fmt: skip
        if status == 201:
            refs.append(ref)

    # -- faults -------------------------------------------------------------------

    def _fault(self) -> None:
        world, leader = self.world, self.world.leader_name()
        kind = self._random.choice(["leader", "leader", "node", "freeze", "outage", "all"])
        running = [n for n in world.node_names if world.runs(n) and n not in world.frozen]
        if world.store.is_down or not running or (leader is None and kind == "leader"):
            return
        self.faults += 1
        back = self._random.uniform(1, 12)
        if kind == "outage":
            world.fault("outage", "", self._random.uniform(2, 25))
        elif kind == "freeze":
            world.fault("freeze", self._random.choice(running), back)
        else:
            target = {"leader": leader, "all": "all"}.get(kind) or self._random.choice(running)
            world.fault("kill", target, back)

    # -- priorities -----------------------------------------------------------------

    def _hook_new_nodes(self) -> None:
        """Hook each new node, so that the factors it uses as leader are recorded with the last entry that it knows."""
        for node in self.world.nodes.values():
            if node is not None and id(node) not in self._hooked_nodes:
                self._hooked_nodes.add(id(node))
                node.leader_scheduler.team_weight_factor = self._recording_factor(node)

    def _recording_factor(self, node: Node):
        def factor(team: str) -> float:
            value = node.ledger_writer.factor(team)
            self._used_factors.add(FactorUse(node.ledger_writer.last_entry_number, team, value))
            return value

        return factor

    # -- result ---------------------------------------------------------------------

    def _check_ledger(self) -> LedgerCheck:
        world = self.world
        contents = read(next(node.store for node in world.nodes.values() if node is not None))
        sums = {team: amounts for team, amounts in total_by_team(contents.entries).items() if any(amounts)}
        factors = {0: {}}
        for entry in contents.entries:
            now = dict(factors[entry["n"] - 1])
            if entry["kind"] == "closing":
                now |= {team: row.factor / FIXED_POINT_ONE for team, row in team_rows(entry).items()}
            factors[entry["n"]] = now
        problems = [u for u in self._used_factors if factors[u.entry].get(u.team, 1.0) != u.factor]
        observed = {team: amounts for team, amounts in self.usage_observer.by_team().items() if any(amounts)}
        return LedgerCheck(
            contents,
            audit(contents),
            sums,
            observed,
            len(self._used_factors),
            problems,
            self.faults,
            len(world.starts),
            world.broken,
        )
