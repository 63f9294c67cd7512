"""Seeded random schedules of faults on the simulated world."""

from collections.abc import Callable

from kelpjunction.lab.worker import MessageLoss
from kelpjunction.lab.world import STORE, World, seconds

INVALID_FIELDS = (
    {"crew": "nobody"},
    {"cpus": 9.0},
    {"fronds": 0},
    {"shape": None},
    {"ram_gb": True},
    {"shape": "ensemble"},
)


class FaultSchedule:
    """Random jobs, cancellations and faults; the world checks the rules."""

    def __init__(self, seed: int, interleaved: bool = False) -> None:
        self.world = World(seed=seed, machines=6, capacity=9, interleaved=interleaved)
        self.random = self.world.random
        self.refs: list[str] = []
        self.message_loss_rate = self.delayed_commit_rate = self.lost_response_rate = 0.0
        self.slow = self.poll_all_nodes = False
        self.jobs_to_cancel_at_end: set[str] = set()  # tasks of which each that ends may be called off at that moment
        self.world.filter = self._fate
        self.pause: tuple[str, float] | None = None  # a node that stands still at a request it sends soon
        self.world.pause_before_request = self._pause

    def _fate(self, source: str, target: str, path: str) -> str | None:
        if path == "/commit" and self.random.random() < self.delayed_commit_rate:
            return "held"
        if path == "/commit" and self.random.random() < self.lost_response_rate:
            return "answer lost"
        if self.random.random() >= self.message_loss_rate:
            return None
        return self.random.choice(["held", "lost", "answer lost"])

    def _pause(self, source: str, target: str, path: str) -> float:
        if self.slow and target == STORE and self.random.random() < 0.02:
            return self.random.uniform(0.2, 1.9)
        if self.pause is None or self.pause[0] != source or self.random.random() < 0.7:
            return 0.0
        (_, duration), self.pause = self.pause, None
        return duration

    def play(self, after_step: Callable[[World], None], steps: int = 60) -> World:
        """Play the schedule, with a look at the world after each step, then let everything recover."""
        world = self.world
        world.run(5)
        for _ in range(steps):
            self.random.choice(self._acts())()
            self._pass(self.random.uniform(0.2, 4))
            for ref in self.refs:
                if self.random.random() < 0.3 and any(world.nodes.values()):
                    world.poll(ref)
            after_step(world)
        self._recover()
        after_step(world)
        return world

    def _acts(self):
        return [
            self._submit, self._submit, self._submit, self._abort, self._kill_node, self._start_nodes,
            self._cut_store, self._heal, self._outage, self._worker_cut, self._worker_dies, self._noise, self._spot,
            self._freeze, self._one_way, self._copies, self._alone, self._node_blinks, self._worker_blinks,
            self._slow, self._late_writes, self._meet, self._meet, self._gap, self._unheard, self._hang,
            self._for_next, self._cancel_now, self._cancel_at_end, self._close_looks, self._odd, self._leaders,
        ]  # fmt: skip

    def _meet(self) -> None:
        """Two troubles at once, a moment apart, while users submit and cancel; they last until something heals them."""
        troubles = [
            self._kill_node, self._cut_store, self._outage, self._worker_cut, self._noise, self._freeze, self._one_way,
            self._copies, self._alone, self._node_blinks, self._worker_blinks, self._slow, self._late_writes,
            self._unheard, self._hang, self._for_next, self._cancel_now, self._cancel_at_end, self._leaders,
        ]  # fmt: skip
        one, other = self.random.sample(troubles, 2)
        one()
        self._pass(self.random.uniform(0.1, 3))
        self.random.choice([self._submit, self._abort])()
        other()
        self._pass(self.random.uniform(0.1, 3))
        self._abort()
        self._pass(self.random.uniform(1, 25))

    def _gap(self) -> None:
        """The state service refuses a node, then is down for all; what is cancelled between the two stays told."""
        self._cut_store()
        self.world.run(self.random.uniform(0, 6))
        self._abort()
        self._outage()
        self.world.run(self.random.uniform(0, 60))
        if self.random.random() < 0.7:
            self.world.store.outage(False)

    def _slow(self) -> None:
        """The state service takes up to its callers' patience; who asks stands still meanwhile."""
        self.slow = not self.slow

    def _late_writes(self) -> None:
        """Some transactions get no answer and are carried out after newer ones."""
        self.delayed_commit_rate = 0.0 if self.delayed_commit_rate else 0.2

    def _unheard(self) -> None:
        """Some transactions are carried out at once, and only their answers are lost."""
        self.lost_response_rate = 0.0 if self.lost_response_rate else 0.2

    def _hang(self) -> None:
        """A machine stands still, for less than its lease or for longer."""
        if worker := self._worker():
            worker.hang(self.random.choice([3.0, 10.0, 14.0, 30.0, 60.0]))

    def _for_next(self) -> None:
        """Copies of all reports from now on come in everywhere once another leads."""
        self.world.reports_for_next_leader = None if self.world.reports_for_next_leader is not None else []

    def _cancel_now(self) -> None:
        """Jobs that run are called off at once, and some of their machines hang."""
        on = self.world.running()
        refs = sorted({frond.partition("/")[0] for frond, _ in on} & set(self.refs))
        for ref in self.random.sample(refs, min(3, len(refs))):
            self._abort_job(ref)
            for machine in sorted({m for f, m in on if f.partition("/")[0] == ref})[:2]:
                self.world.cloud.machines[machine][0].hang(self.random.choice([5.0, 14.0, 45.0]))

    def _cancel_at_end(self) -> None:
        """Of the tasks that end from now on, some jobs are called off at that very moment."""
        self.jobs_to_cancel_at_end = set() if self.jobs_to_cancel_at_end else set(self.refs)

    def _at_ends(self) -> bool:
        """Called each moment: call off what has just ended its last task."""
        for frond in sorted(self.world.finished):
            ref = frond.partition("/")[0]
            if ref in self.jobs_to_cancel_at_end and not self.world._unfinished(ref):
                self.jobs_to_cancel_at_end.discard(ref)
                if self.random.random() < 0.5:
                    self._abort_job(ref)
        return False

    def _close_looks(self) -> None:
        """From now on all nodes are asked at once about each job that was accepted or called off."""
        self.poll_all_nodes = not self.poll_all_nodes

    def _odd(self) -> None:
        """Submissions that can never be taken, repeats of all that is known, and an end that is called off."""
        if self._deaf_to_users():
            return
        odd = self.random.choice(INVALID_FIELDS)
        fields = {"cpus": 2.0, "fronds": 21} | odd
        status = self.world.submit("j-999999", fields.pop("fronds"), **fields)
        assert status in (400, 422, 503, None), (odd, status)
        for ref in self.random.sample(self.refs, min(4, len(self.refs))):
            job = self.world.jobs[ref]
            self.world.submit(ref, job["fronds"], **{k: v for k, v in job.items() if k not in ("ref", "fronds")})

    def _leaders(self) -> None:
        """Leaders end one after the other, a few seconds apart."""
        for _ in range(self.random.choice([2, 5, 10])):
            name = self.world.leader_name() or self.random.choice(list(self.world.nodes))
            self.world.kill_node(name)
            self._pass(self.random.uniform(0.1, 8))
            self.world.start_node(name)
            self._pass(self.random.uniform(0.5, 6))

    def _pass(self, duration: float) -> None:
        self.world.run(duration, self._at_ends)

    def _deaf_to_users(self) -> bool:
        return not any(self.world.nodes.values())

    def _abort_job(self, ref: str) -> None:
        if not self._deaf_to_users() and self.world.abort(ref) == 200 and self.poll_all_nodes:
            self.world.ask_all_nodes(ref)

    def _submit(self) -> None:
        if not any(self.world.nodes.values()):
            return
        ref = f"j-{len(self.refs):04d}"
        kind = self.random.choice(["batch", "batch", "service", "ensemble"])
        fields = {"shape": kind, "crew": self.random.choice(["red", "red", "blue", "guest"])}
        fields["run_s"] = self.random.uniform(1, 20)
        fields["driftwood"] = kind == "batch"
        tasks = self.random.randint(1, 9)
        if kind == "service":
            fields |= {"urgency": "prod", "apart": True}
            tasks = self.random.randint(1, 4)
        if kind == "ensemble":
            fields |= {"mark_s": 5.0, "stow_s": 1.0, "together": self.random.random() < 0.5}
            tasks = self.random.randint(1, 4)
        if kind == "batch" and self.random.random() < 0.2:
            fields["bay"] = self.random.choice("abc")
        status = self.world.submit(ref, tasks, **fields)
        if status in (200, 201, 503):
            self.refs.append(ref)
        if status == 201 and self.poll_all_nodes:
            self.world.ask_all_nodes(ref)

    def _abort(self) -> None:
        if self.refs:
            self._abort_job(self.random.choice(self.refs))

    def _kill_node(self) -> None:
        self.world.kill_node(self.random.choice(list(self.world.nodes)))

    def _freeze(self) -> None:
        self.pause = (self.random.choice(list(self.world.nodes)), self.random.choice([1.0, 3.0, 8.0, 20.0, 45.0]))

    def _start_nodes(self) -> None:
        for name, node in self.world.nodes.items():
            if node is None:
                self.world.start_node(name)

    def _cut_store(self) -> None:
        self.world.cut_from_store = {self.random.choice(list(self.world.nodes))}

    def _heal(self) -> None:
        self.world.cut_from_store = self.world.cut_from_peers = set()
        self.world.duplicate_reports = lambda worker: []
        self.world.store.outage(False)
        self.message_loss_rate = self.delayed_commit_rate = self.lost_response_rate = 0.0
        self.slow = False
        self.world.reports_for_next_leader = None
        self.jobs_to_cancel_at_end = set()
        for worker, _ in self.world.cloud.machines.values():
            worker.partitioned, worker.message_loss = False, None

    def _one_way(self) -> None:
        for _ in range(self.random.choice([1, 1, 3])):
            if worker := self._worker():
                worker.message_loss = self.random.choice(list(MessageLoss))

    def _copies(self) -> None:
        """From now on some reports come again, seconds to three leases later, to whatever node."""
        lease = self.world.times.lease.total_seconds()
        names, random = list(self.world.nodes), self.random
        self.world.duplicate_reports = lambda worker: (
            [(random.uniform(2, 3 * lease), random.choice(names))] if random.random() < 0.3 else []
        )

    def _alone(self) -> None:
        """A node loses the state service and its siblings, but not its workers and users."""
        self.world.cut_from_store = self.world.cut_from_peers = {self.random.choice(list(self.world.nodes))}

    def _node_blinks(self) -> None:
        """A process ends and is back at once, perhaps several times."""
        name = self.random.choice(list(self.world.nodes))
        for _ in range(self.random.choice([1, 1, 4])):
            self.world.kill_node(name)
            self.world.run(self.random.uniform(0.05, 1))
            self.world.start_node(name)
            self.world.run(self.random.uniform(0.05, 1))

    def _worker_blinks(self) -> None:
        if worker := self._worker():
            worker.restart()

    def _outage(self) -> None:
        self.world.store.outage(True)

    def _worker(self):
        machines = list(self.world.cloud.machines.values())
        return self.random.choice(machines)[0] if machines else None

    def _worker_cut(self) -> None:
        if worker := self._worker():
            worker.partitioned = True

    def _worker_dies(self) -> None:
        if worker := self._worker():
            worker.alive = False
            worker.tasks.clear()

    def _spot(self) -> None:
        if worker := self._worker():
            worker.notice_at = self.world.clock.now + seconds(10)

    def _noise(self) -> None:
        self.message_loss_rate = 0.15

    def _recover(self) -> None:
        self._heal()
        self._start_nodes()
        self.world.service_level_tracker.on_faults_ended(self.world.clock.now)
        self.world.starvation_check.enabled = True
        for _ in range(24):
            self.world.run(5)
            for ref in self.refs:
                if self.world.last_told_state.get(ref) == "accepted":
                    self.world.poll(ref)
