"""The workers of the blocks that this node holds."""

import logging
from collections import Counter
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from datetime import timedelta

from kelpjunction.blocks import Blocks
from kelpjunction.changes import ChangeTracker
from kelpjunction.clock import ZERO, Clock, seconds
from kelpjunction.jobs.job_index import JobIndex, Phase, Placement
from kelpjunction.leadership import Leadership
from kelpjunction.recorder import Recorder
from kelpjunction.renewal import DRIFT
from kelpjunction.settings import WorkerTimes
from kelpjunction.transport import NoResponse, Transport
from kelpjunction.wire import workers as wire
from kelpjunction.wire.messages import Command, ExitCause, Report, TaskId, TaskReport, TaskState, Verb
from kelpjunction.wire.users import MalformedMessage
from kelpjunction.workers.answers import (
    BlockAuthority,
    WorkerStatus,
    assess_report,
    build_response,
    refuse_block,
    refuse_report,
)
from kelpjunction.workers.decisions import DecisionLog
from kelpjunction.workers.events import Ground, Way
from kelpjunction.workers.reachability import (
    REPORT_RESPONSE_TIMEOUT,
    Evidence,
    MessageNumber,
    Reachability,
    ReachabilityTracker,
)

log = logging.getLogger("workers")

DIRECT_TIMEOUT = timedelta(seconds=2)
PROBE_TIMEOUT = timedelta(seconds=1)
_PHASE_OF = {
    TaskState.FETCHING: Phase.FETCHING,
    TaskState.WAITING: Phase.WAITING,
    TaskState.RUNNING: Phase.RUNNING,
    TaskState.SAVING: Phase.STOPPING,
}


@dataclass(slots=True)
class Worker:
    """One worker as its block's holder knows it from its reports."""

    machine: str
    address: str
    zone: str
    reachability_tracker: ReachabilityTracker
    session: int = 0
    token: int = 0
    last_report_at: timedelta = ZERO
    lease_renewed_at: timedelta | None = None  # when its lease was last renewed, at the latest
    reclaim_at: timedelta | None = None  # when the cloud takes the machine, as announced
    uncertain_token: int = 0  # commands under tokens up to this one may still arrive
    unanswered_commands: Counter[tuple[TaskId, int]] = field(
        default_factory=Counter
    )  # attempts of commands without an answer yet
    tasks: dict[TaskId, list[TaskReport]] = field(default_factory=dict)
    images: dict[str, float] = field(default_factory=dict)  # most recently used last

    def reported_tasks(self) -> Iterator[TaskReport]:
        """What it has, by its newest message."""
        for attempts in self.tasks.values():
            yield from attempts


class WorkerRegistry:
    """All workers, and every dealing with them."""

    def __init__(
        self,
        times: WorkerTimes,
        job_index: JobIndex,
        blocks: Blocks,
        leadership: Leadership,
        transport: Transport,
        clock: Clock,
        spawn: Callable,
        wake: Callable[[], None],
        changes: ChangeTracker,
        recorder: Recorder,
    ) -> None:
        self.decisions = DecisionLog(recorder, job_index)
        self._times = times
        self._job_index = job_index
        self._blocks = blocks
        self._leadership = leadership
        self._transport = transport
        self._clock = clock
        self._spawn = spawn
        self._wake = wake
        self._changes = changes
        self.workers: dict[str, Worker] = {}
        self.starts = self.stops = 0  # sent straight to workers since this process began
        self.zones_needing_new_token: set[str] = set()
        # Blocks of which a worker has seen a higher token than the one here:
        # they are another's, though no news of it has come in.  All their
        # workers are sent away, so that they find that one in time.
        self._higher_token_seen: dict[str, int] = {}
        self._probes_in_flight: set[str] = set()  # machines that are being asked how they stand
        self.on_seen: Callable[[Report], None] = lambda report: None
        self.images_of: Callable[[str], list[str]] = lambda machine: []
        self.is_gone: Callable[[str], bool] = lambda machine: False  # whether the cloud confirmed its return
        self.on_exit: Callable[[Placement], None] = lambda placement: None

    def clear(self, zone: str) -> None:
        """A block came or went: what was known of its workers before does not count."""
        for machine in [n for n, w in self.workers.items() if w.zone == zone]:
            self._drop(machine)
        self.zones_needing_new_token.discard(zone)
        self.decisions.clear(zone)

    # -- check-ins ----------------------------------------------------------

    def check_in(self, report: Report) -> tuple[int, bytes]:
        """Answer a worker's report: status and body."""
        token = self._blocks.own_token(report.zone)
        if token is not None and report.token > token and not self._is_overtaken(report.zone):
            self._higher_token_seen[report.zone] = token
            self._blocks.note_overtaken(report.zone)
        entitlement = BlockAuthority(token, self._is_overtaken(report.zone), self._leadership.can_renew_leases())
        refusal = refuse_block(entitlement)
        if refusal is not None:
            self.decisions.refused(report, 0, refusal)
            return 503, b"{}"
        now = self._clock.steady()
        number = (report.session, report.sequence)
        worker = self._worker(report)
        evidence = worker.reachability_tracker.on_report(number, now)
        ask = self._apply_report(worker, report, evidence, now)
        may_wait = worker.reachability_tracker.may_wait(number, now)
        if (ask or worker.reachability_tracker.needs_probe(now)) and may_wait:
            self._spawn(self.probe, worker.machine, worker.address)
        refusal = refuse_report(
            report, WorkerStatus(worker.session, worker.reachability_tracker.presumed_unreachable, may_wait)
        )
        if refusal is not None:
            self.decisions.refused(report, worker.session, refusal)
            return 503, b"{}"
        worker.lease_renewed_at = now
        told = build_response(
            report.session,
            worker.reported_tasks(),
            self._job_index.placements_on(worker.machine),
            worker.unanswered_commands,
            token > worker.uncertain_token,
        )
        for placement in told.starts:
            placement.advance(Phase.STARTED, now)
            placement.start_sent_at = now
            self.decisions.started(placement, token, Way.ANSWER, report.sequence)
        return 200, wire.check_in_answer(token, told.commands)

    def _is_overtaken(self, zone: str) -> bool:
        token = self._blocks.own_token(zone)
        return token is not None and self._higher_token_seen.get(zone) == token

    @property
    def higher_token_seen(self) -> bool:
        """Whether a worker proves that others have been granted a block of this node's: they hear the state service."""
        return any(map(self._is_overtaken, self._blocks.held_zones()))

    def _worker(self, report: Report) -> Worker:
        """The worker that a message tells of, known from now on if it was not."""
        worker = self.workers.get(report.machine)
        if worker is None:
            # Commands of earlier holders may still be under way, under any
            # token below ours.
            worker = Worker(report.machine, report.address, report.zone, ReachabilityTracker(self._times.report))
            worker.uncertain_token = (self._blocks.own_token(report.zone) or 1) - 1
            worker.images = dict.fromkeys(self.images_of(report.machine), 0.0)
            self.workers[report.machine] = worker
            self._changes.mark_changed(report.machine)
        return worker

    def _apply_report(self, worker: Worker, report: Report, evidence: Evidence, now: timedelta) -> bool:
        """Take in a message for what it is worth; whether the worker should be asked about what it said."""
        reading = assess_report(report, evidence, worker.session, self._job_index.placements_on(worker.machine))
        if not reading.believed:
            return reading.needs_probe
        new_session = report.session != worker.session
        if new_session:
            self.decisions.believed(report, worker.session, evidence, worker.uncertain_token)
        worker.session = report.session
        ours = self._blocks.own_token(worker.zone) or 0
        if new_session or worker.token < ours <= report.token:
            # A new session's lease runs from its beginning, not from what was
            # reckoned for the one before; and until the worker saw our token,
            # an earlier holder may have renewed its lease up to this moment.
            worker.lease_renewed_at = now
        worker.token = max(worker.token, report.token)
        worker.last_report_at, worker.address = now, report.address
        worker.reclaim_at = None if report.termination_notice is None else now + report.termination_notice
        worker.tasks = {}
        for told in report.tasks:
            worker.tasks.setdefault(told.task, []).append(told)
        if worker.reachability_tracker.reachability is Reachability.REACHABLE:
            self.on_seen(report)
        for placement, told in reading.listed:
            self._on_listed(worker, placement, told, now)
        for placement in reading.ended:
            # The worker killed everything of that session when it ended.
            self.settle(placement, ExitCause.MACHINE_LOST, Ground.SESSION_ENDED, now)
        for placement in reading.from_later_session:
            self._on_process_restart(worker, placement, now)
        for placement in reading.missing:
            self._on_unlisted(worker, placement, now)
        if evidence is Evidence.PROOF:
            for told in reading.unexpected:
                self.decisions.check_possible(report, told)
        if new_session:
            self._wake()
        return reading.needs_probe

    def _on_process_restart(self, worker: Worker, placement: Placement, now: timedelta) -> None:
        """The worker proved a lower session than the placement's: its process was started again meanwhile.

        Nothing of before is there any more; but it will come to that session
        again, and must not find a start for it then that is still under way.
        """
        if self._no_command_in_flight(worker):
            self.settle(placement, ExitCause.MACHINE_LOST, Ground.PROCESS_RESTARTED, now)

    def _no_command_in_flight(self, worker: Worker) -> bool:
        """Whether no command of before can reach the worker any more; if it can for ever, a higher token ends that."""
        if worker.uncertain_token >= (self._blocks.own_token(worker.zone) or 0):
            self.zones_needing_new_token.add(worker.zone)
        return worker.token > worker.uncertain_token

    def _on_numbering_restart(self, worker: Worker, report: Report) -> None:
        """The worker's process was started again: all it had is gone, and starts sent to it before may still arrive."""
        log.info("worker %s counts from the beginning again", worker.machine)
        worker.token = report.token
        worker.uncertain_token = max(worker.uncertain_token, self._blocks.own_token(worker.zone) or 0)

    def _on_listed(self, worker: Worker, placement: Placement, task_report: TaskReport, now: timedelta) -> None:
        placement.was_reported = True
        if task_report.state is TaskState.EXITED:
            self.settle(placement, task_report.cause, Ground.REPORTED_EXIT, now, task_report.saved)
            return
        phase = _PHASE_OF[task_report.state]
        if phase is not Phase.FETCHING:
            self._use_image(worker, placement)
        if phase is Phase.RUNNING and placement.phase not in (Phase.RUNNING, Phase.STOPPING):
            self._wake()
        placement.advance(phase, now)

    def _use_image(self, worker: Worker, placement: Placement) -> None:
        image = placement.spec.image
        if next(reversed(worker.images), None) != image or not worker.images[image]:
            worker.images.pop(image, None)
            worker.images[image] = placement.spec.image_gb
            self._changes.mark_changed(worker.machine)

    def _on_unlisted(self, worker: Worker, placement: Placement, now: timedelta) -> None:
        """A check-in of this very session does not list the placement.

        That settles it only if no start command can still be on its way: one
        sent straight to the worker without an answer may arrive minutes
        later, unless the worker has seen a higher token since.
        """
        # Nor does an answer to a question settle it while the answer to a
        # report, which says to start it, may still come: the two overtake each other.
        gone = (placement.was_reported or not placement.is_active) and (
            placement.start_sent_at is None or now - placement.start_sent_at >= REPORT_RESPONSE_TIMEOUT
        )
        if (
            gone
            and not worker.unanswered_commands[placement.task, placement.attempt]
            and self._no_command_in_flight(worker)
        ):
            cause = ExitCause.MACHINE_LOST if placement.is_active else ExitCause.STOPPED
            self.settle(placement, cause, Ground.ABSENT, now)

    def settle(
        self, placement: Placement, cause: ExitCause, ground: Ground, now: timedelta, saved: bool = False
    ) -> None:
        """The placement is surely off its machine: the next round writes that down."""
        if placement.phase is Phase.SETTLED:
            return
        placement.cause, placement.saved = cause, saved
        placement.advance(Phase.SETTLED, now)
        self._job_index.settled[placement.task] = placement
        worker = self.workers.get(placement.machine)
        self.decisions.settled(placement, ground, worker.reachability_tracker.newest if worker else (0, 0))
        self.on_exit(placement)
        self._wake()

    # -- commands -----------------------------------------------------------

    def stop(self, placement: Placement, grace: timedelta, reason: str) -> None:
        """Decide to stop a placement, or to let it save no longer; `send` or the next check-in tells the worker."""
        if not placement.is_active and grace >= placement.grace:
            return
        placement.grace, placement.reason = grace, reason
        placement.advance(Phase.STOPPING, self._clock.steady())
        self.decisions.stopped(placement)

    def command_of(self, placement: Placement) -> Command:
        if placement.is_active:
            return Command(Verb.START, placement.task, placement.attempt)
        return Command(Verb.STOP, placement.task, placement.attempt, placement.grace)

    def send(self, placements: list[Placement]) -> None:
        """Tell workers at once to start or stop these."""
        groups: dict[tuple[str, int], list[Placement]] = {}
        for placement in placements:
            # A command holds for one session: in another, a start of before would be a second one.
            groups.setdefault((placement.machine, placement.session), []).append(placement)
        for (machine, _), group in groups.items():
            worker = self.workers.get(machine)
            token = self._blocks.own_token(worker.zone) if worker else None
            if token is None or self._is_overtaken(worker.zone) or not self._leadership.can_renew_leases():
                continue
            now = self._clock.steady()
            worker.unanswered_commands.update((p.task, p.attempt) for p in group)
            for placement in group:
                if placement.is_active:
                    self.starts += 1
                    placement.advance(Phase.STARTED, now)
                    self.decisions.started(placement, token, Way.DIRECT, worker.reachability_tracker.newest[1])
                else:
                    self.stops += 1
            self._spawn(self._send, worker, token, group)

    def _send(self, worker: Worker, token: int, group: list[Placement]) -> None:
        # Made only now: by its turn a start may be one that is to be stopped.
        commands = [self.command_of(p) for p in group]
        answered = False
        try:
            answered = self._post(worker, token, group[0].session, commands)
        finally:
            worker.unanswered_commands.subtract((p.task, p.attempt) for p in group)
            worker.unanswered_commands = +worker.unanswered_commands
            if not answered:
                worker.uncertain_token = max(worker.uncertain_token, token)
                self.zones_needing_new_token.add(worker.zone)

    def _post(self, worker: Worker, token: int, session: int, commands: list[Command]) -> bool:
        body = wire.commands_body(token, session, commands)
        return self._request(worker.machine, worker.address, "POST", wire.COMMANDS_PATH, body, DIRECT_TIMEOUT)

    def show_token(self, machine: str) -> None:
        """Show a worker this node's token: whoever had its block before learns of it from its reports."""
        worker = self.workers.get(machine)
        token = self._blocks.own_token(worker.zone) if worker else None
        if token is not None and worker.token < token:
            self._post(worker, token, worker.session, [])

    def probe(self, machine: str, address: str) -> bool | None:
        """Ask a machine's worker how it stands, without waiting for its report.

        Whether it answered; None if it is being asked already, which is no answer yet.
        """
        if machine in self._probes_in_flight:
            return None
        self._probes_in_flight.add(machine)
        try:
            return self._request(machine, address, "GET", wire.STATUS_PATH, None, PROBE_TIMEOUT)
        finally:
            self._probes_in_flight.discard(machine)

    def _request(
        self, machine: str, address: str, method: str, path: str, body: bytes | None, timeout: timedelta
    ) -> bool:
        """One exchange with a machine's worker, whose answer is its report; whether it came."""
        asked = self.workers[machine].reachability_tracker.newest if machine in self.workers else (0, 0)
        try:
            reply = self._transport.request(address, method, path, body, timeout)
            if reply.status not in (200, 409):
                raise NoResponse(f"status {reply.status}")
        except NoResponse as error:
            if path == wire.COMMANDS_PATH:
                log.info("commands to %s: no answer (%s)", machine, error)
            if worker := self.workers.get(machine):
                before = worker.reachability_tracker.reachability
                worker.reachability_tracker.on_no_response()
                self._note_reachability(worker, before)
            return False
        try:
            report = wire.report_from_fields(reply.fields)
        except MalformedMessage as error:
            log.error("odd report from a worker: %s", error)
            return False
        if self.is_gone(report.machine):
            return False  # returned while its answer was under way: it must not be known, nor used, again
        if self._blocks.own_grant(report.zone) is not None:
            self._take_reply(report, asked if report.machine == machine else (0, 0))
        return True

    def _take_reply(self, report: Report, newest_when_sent: MessageNumber) -> None:
        """Take in a worker's answer; `newest_when_sent` is the newest that was known of it when it was asked."""
        worker, now = self._worker(report), self._clock.steady()
        before = worker.reachability_tracker.reachability
        evidence, began_anew = worker.reachability_tracker.on_response(
            (report.session, report.sequence), newest_when_sent, now
        )
        if began_anew:
            self._on_numbering_restart(worker, report)
        self._note_reachability(worker, before)
        self._apply_report(worker, report, evidence, now)

    def _note_reachability(self, worker: Worker, before: Reachability) -> None:
        """Log a worker that is not reached any more, or is again, and have it judged anew."""
        reachability = worker.reachability_tracker.reachability
        if reachability is before:
            return
        if reachability is Reachability.UNREACHABLE:
            log.info("worker %s is not reached: what is sent to it gets no answer", worker.machine)
        elif before is Reachability.UNREACHABLE:
            log.info("worker %s is reached again", worker.machine)
        self._changes.mark_changed(worker.machine)
        self._wake()

    def unreachable(self) -> int:
        """How many workers report here or did, and are not reached."""
        return sum(
            worker.reachability_tracker.reachability is Reachability.UNREACHABLE for worker in self.workers.values()
        )

    # -- leases -------------------------------------------------------------

    def lease_end(self, machine: str, zone: str) -> timedelta | None:
        """When the worker's lease has certainly ended if nobody renews it from now on.

        Until a worker has shown our token, the holder before us may have been
        renewing it for as long as it was allowed to without the store.
        """
        grant = self._blocks.own_grant(zone)
        if grant is None:
            return None
        worker = self.workers.get(machine)
        renewed = worker.lease_renewed_at if worker else None
        if worker is None or worker.token < grant.token:
            earlier = grant.since + self._leadership.renewal.grace_period
            renewed = earlier if renewed is None else max(renewed, earlier)
        if renewed is None:
            renewed = worker.last_report_at
        return renewed + self._times.lease * DRIFT + seconds(1)

    def settle_expired(self) -> None:
        """Settle what stood on machines whose leases have certainly ended."""
        if not self._leadership.mirror_is_fresh():
            return  # a node that stood still heard nobody, and others renewed the leases meanwhile
        now = self._clock.steady()
        for machine, load in self._job_index.loads.items():
            worker = self.workers.get(machine)
            if (
                worker is not None
                and not worker.reachability_tracker.presumed_unreachable
                and now - worker.last_report_at < self._times.lease
            ):
                continue  # heard of within a lease: whatever is reckoned, it has not ended
            end = self.lease_end(machine, next(iter(load.placements.values())).zone)
            if end is not None and now > end:
                for placement in load.placements.values():
                    self.settle(placement, ExitCause.MACHINE_LOST, Ground.LEASE_ENDED, now)

    def settle_machine(self, machine: str) -> None:
        """The cloud confirmed that the machine is gone, and everything on it."""
        now = self._clock.steady()
        for placement in list(self._job_index.placements_on(machine).values()):
            if self._blocks.own_grant(placement.zone) is not None:
                self.settle(placement, ExitCause.MACHINE_LOST, Ground.MACHINE_GONE, now)
        self._drop(machine)

    def _drop(self, machine: str) -> None:
        self.workers.pop(machine, None)
        self._changes.mark_changed(machine)
