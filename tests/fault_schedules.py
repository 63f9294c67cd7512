"""Seeded random schedules of faults on the simulated world."""

import random
from collections.abc import Callable
from datetime import timedelta

from kelpjunction.lab.worker import MessageLoss, WorkerStandIn
from kelpjunction.lab.world import STORE, World, seconds

INVALID_FIELDS = (
    {"crew": "nobody"},
    {"cpus": 9.0},
    {"fronds": 0},
    {"shape": None},
    {"ram_gb": True},
    {"shape": "ensemble"},
)


class CommandCopies:
    """Draws, from a seed of its own, which requests with commands reach their worker again, up to four leases later."""

    def __init__(self, seed: int, lease: timedelta, share: float = 0.3) -> None:
        self._random = random.Random(f"command copies {seed}")
        self._longest_s = 4 * lease.total_seconds()
        self._share = share

    def delays(self, worker: WorkerStandIn) -> list[float]:
        """The delays in seconds of the copies of one request."""
        copies = self._random.choice([1, 1, 3]) if self._random.random() < self._share else 0
        return [self._random.choice([0.1, 0.5, self._random.uniform(1, self._longest_s)]) for _ in range(copies)]


class FaultSchedule:
    """Random jobs, cancellations and faults; the world checks the rules."""

    def __init__(self, seed: int, interleaved: bool = False) -> None:
        self.world = World(seed=seed, machines=6, capacity=9, interleaved=interleaved)
        self.random = self.world.random
        self.refs: list[str] = []
        self.message_loss_rate = self.delayed_commit_rate = self.lost_response_rate = 0.0
        self.store_is_slow = self.poll_all_nodes = False
        self.jobs_to_cancel_at_end: set[str] = set()  # each may be cancelled when its last task ends
        self.world.filter = self._request_fault
        self.pending_pause: tuple[str, float] | None = None  # node, and seconds to pause before one of its requests
        self.world.pause_before_request = self._pause_before_request
        self.world.duplicate_commands = CommandCopies(seed, self.world.times.lease).delays

    def _request_fault(self, source: str, target: str, path: str) -> str | None:
        if path == "/commit" and self.random.random() < self.delayed_commit_rate:
            return "held"
        if path == "/commit" and self.random.random() < self.lost_response_rate:
            return "answer lost"
        if self.random.random() >= self.message_loss_rate:
            return None
        return self.random.choice(["held", "lost", "answer lost"])

    def _pause_before_request(self, source: str, target: str, path: str) -> float:
        if self.store_is_slow and target == STORE and self.random.random() < 0.02:
            return self.random.uniform(0.2, 1.9)
        if self.pending_pause is None or self.pending_pause[0] != source or self.random.random() < 0.7:
            return 0.0
        (_, duration), self.pending_pause = self.pending_pause, None
        return duration

    def play(self, after_step: Callable[[World], None], steps: int = 60) -> World:
        """Play the schedule, calling `after_step` after each step, then let everything recover."""
        world = self.world
        world.run(5)
        for _ in range(steps):
            self.random.choice(self._actions())()
            self._run_world(self.random.uniform(0.2, 4))
            for ref in self.refs:
                if self.random.random() < 0.3 and any(world.nodes.values()):
                    world.poll(ref)
            after_step(world)
        self._recover()
        after_step(world)
        return world

    def _actions(self):
        return [
            self._submit, self._submit, self._submit, self._abort, self._kill_node, self._start_nodes,
            self._cut_store, self._heal, self._outage, self._partition_worker, self._kill_worker, self._lose_messages,
            self._spot_notice, self._schedule_pause, self._lose_one_way, self._duplicate_reports, self._isolate_node,
            self._restart_node, self._restart_worker, self._toggle_slow_store, self._toggle_late_commits,
            self._two_faults, self._two_faults, self._renewal_outage, self._toggle_lost_responses, self._hang_machine,
            self._replay_reports_to_next_leader, self._cancel_running_jobs, self._toggle_cancel_at_end,
            self._toggle_polling_all_nodes, self._invalid_requests, self._kill_leaders,
        ]  # fmt: skip

    def _two_faults(self) -> None:
        """Start two faults a moment apart while users submit and cancel; they last until a later action ends them."""
        faults = [
            self._kill_node, self._cut_store, self._outage, self._partition_worker, self._lose_messages,
            self._schedule_pause, self._lose_one_way, self._duplicate_reports, self._isolate_node, self._restart_node,
            self._restart_worker, self._toggle_slow_store, self._toggle_late_commits, self._toggle_lost_responses,
            self._hang_machine, self._replay_reports_to_next_leader, self._cancel_running_jobs,
            self._toggle_cancel_at_end, self._kill_leaders,
        ]  # fmt: skip
        first_fault, second_fault = self.random.sample(faults, 2)
        first_fault()
        self._run_world(self.random.uniform(0.1, 3))
        self.random.choice([self._submit, self._abort])()
        second_fault()
        self._run_world(self.random.uniform(0.1, 3))
        self._abort()
        self._run_world(self.random.uniform(1, 25))

    def _renewal_outage(self) -> None:
        """The state service refuses one node, then is down for all; a job is cancelled in between."""
        self._cut_store()
        self.world.run(self.random.uniform(0, 6))
        self._abort()
        self._outage()
        self.world.run(self.random.uniform(0, 60))
        if self.random.random() < 0.7:
            self.world.store.outage(False)

    def _toggle_slow_store(self) -> None:
        """Toggle a slow state service: requests take up to their timeout and pause their sender meanwhile."""
        self.store_is_slow = not self.store_is_slow

    def _toggle_late_commits(self) -> None:
        """Toggle late commits: some transactions get no response and are applied after newer ones."""
        self.delayed_commit_rate = 0.0 if self.delayed_commit_rate else 0.2

    def _toggle_lost_responses(self) -> None:
        """Toggle lost responses: some transactions are applied at once, but their responses are lost."""
        self.lost_response_rate = 0.0 if self.lost_response_rate else 0.2

    def _hang_machine(self) -> None:
        """Hang a machine, for less than its lease or for longer."""
        if worker := self._random_worker():
            worker.hang(self.random.choice([3.0, 10.0, 14.0, 30.0, 60.0]))

    def _replay_reports_to_next_leader(self) -> None:
        """Toggle recording of all reports; copies of them reach all nodes once another node leads."""
        self.world.reports_for_next_leader = None if self.world.reports_for_next_leader is not None else []

    def _cancel_running_jobs(self) -> None:
        """Cancel up to three running jobs and hang some of their machines."""
        running = self.world.running()
        refs = sorted({frond.partition("/")[0] for frond, _ in running} & set(self.refs))
        for ref in self.random.sample(refs, min(3, len(refs))):
            self._abort_job(ref)
            for machine in sorted({m for f, m in running if f.partition("/")[0] == ref})[:2]:
                duration = self.random.choice([5.0, 14.0, 45.0])
                if machine in self.world.cloud.machines:  # it may have been returned while the user waited
                    self.world.cloud.machines[machine][0].hang(duration)

    def _toggle_cancel_at_end(self) -> None:
        """Toggle cancellation at the end: some jobs are cancelled at the moment when their last task ends."""
        self.jobs_to_cancel_at_end = set() if self.jobs_to_cancel_at_end else set(self.refs)

    def _cancel_finished_jobs(self) -> bool:
        """Cancel some jobs whose last task has just ended; called at each step of the world."""
        for frond in sorted(self.world.finished):
            ref = frond.partition("/")[0]
            if ref in self.jobs_to_cancel_at_end and not self.world._unfinished(ref):
                self.jobs_to_cancel_at_end.discard(ref)
                if self.random.random() < 0.5:
                    self._abort_job(ref)
        return False

    def _toggle_polling_all_nodes(self) -> None:
        """Toggle polling of all nodes at once about each job that was just accepted or cancelled."""
        self.poll_all_nodes = not self.poll_all_nodes

    def _invalid_requests(self) -> None:
        """Submit a job that every node must refuse, and repeat up to four earlier submissions."""
        if self._no_node_running():
            return
        invalid = self.random.choice(INVALID_FIELDS)
        fields = {"cpus": 2.0, "fronds": 21} | invalid
        status = self.world.submit("j-999999", fields.pop("fronds"), **fields)
        assert status in (400, 422, 503, None), (invalid, status)
        for ref in self.random.sample(self.refs, min(4, len(self.refs))):
            job = self.world.jobs[ref]
            self.world.submit(ref, job["fronds"], **{k: v for k, v in job.items() if k not in ("ref", "fronds")})

    def _kill_leaders(self) -> None:
        """Kill and restart one leader after another, a few seconds apart."""
        for _ in range(self.random.choice([2, 5, 10])):
            name = self.world.leader_name() or self.random.choice(list(self.world.nodes))
            self.world.kill_node(name)
            self._run_world(self.random.uniform(0.1, 8))
            self.world.start_node(name)
            self._run_world(self.random.uniform(0.5, 6))

    def _run_world(self, duration: float) -> None:
        self.world.run(duration, self._cancel_finished_jobs)

    def _no_node_running(self) -> bool:
        return not any(self.world.nodes.values())

    def _abort_job(self, ref: str) -> None:
        if not self._no_node_running() and self.world.abort(ref) == 200 and self.poll_all_nodes:
            self.world.ask_all_nodes(ref)

    def _submit(self) -> None:
        if not any(self.world.nodes.values()):
            return
        ref = f"j-{len(self.refs):04d}"
        shape = self.random.choice(["batch", "batch", "service", "ensemble"])
        fields = {"shape": shape, "crew": self.random.choice(["red", "red", "blue", "guest"])}
        fields["run_s"] = self.random.uniform(1, 20)
        fields["driftwood"] = shape == "batch"
        tasks = self.random.randint(1, 9)
        if shape == "service":
            fields |= {"urgency": "prod", "apart": True}
            tasks = self.random.randint(1, 4)
        if shape == "ensemble":
            fields |= {"mark_s": 5.0, "stow_s": 1.0, "together": self.random.random() < 0.5}
            tasks = self.random.randint(1, 4)
        if shape == "batch" and self.random.random() < 0.2:
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

    def _schedule_pause(self) -> None:
        self.pending_pause = (
            self.random.choice(list(self.world.nodes)),
            self.random.choice([1.0, 3.0, 8.0, 20.0, 45.0]),
        )

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
        self.store_is_slow = False
        self.world.reports_for_next_leader = None
        self.jobs_to_cancel_at_end = set()
        for worker, _ in self.world.cloud.machines.values():
            worker.partitioned, worker.message_loss = False, None

    def _lose_one_way(self) -> None:
        for _ in range(self.random.choice([1, 1, 3])):
            if worker := self._random_worker():
                worker.message_loss = self.random.choice(list(MessageLoss))

    def _duplicate_reports(self) -> None:
        """Let some reports arrive again from now on, two seconds to three leases later, at a random node."""
        lease = self.world.times.lease.total_seconds()
        names, random = list(self.world.nodes), self.random
        self.world.duplicate_reports = lambda worker: (
            [(random.uniform(2, 3 * lease), random.choice(names))] if random.random() < 0.3 else []
        )

    def _isolate_node(self) -> None:
        """Cut a node off from the state service and its siblings, but not from its workers and users."""
        self.world.cut_from_store = self.world.cut_from_peers = {self.random.choice(list(self.world.nodes))}

    def _restart_node(self) -> None:
        """Kill a node and restart it at once, perhaps several times."""
        name = self.random.choice(list(self.world.nodes))
        for _ in range(self.random.choice([1, 1, 4])):
            self.world.kill_node(name)
            self.world.run(self.random.uniform(0.05, 1))
            self.world.start_node(name)
            self.world.run(self.random.uniform(0.05, 1))

    def _restart_worker(self) -> None:
        if worker := self._random_worker():
            worker.restart()

    def _outage(self) -> None:
        self.world.store.outage(True)

    def _random_worker(self):
        machines = list(self.world.cloud.machines.values())
        return self.random.choice(machines)[0] if machines else None

    def _partition_worker(self) -> None:
        if worker := self._random_worker():
            worker.partitioned = True

    def _kill_worker(self) -> None:
        if worker := self._random_worker():
            worker.alive = False
            worker.tasks.clear()

    def _spot_notice(self) -> None:
        if worker := self._random_worker():
            worker.notice_at = self.world.clock.now + seconds(10)

    def _lose_messages(self) -> None:
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
