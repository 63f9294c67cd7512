"""Registry of the workers in the blocks that this node holds: reports, commands, probes and leases."""

import logging
from collections.abc import Callable, Collection
from datetime import timedelta

from kelpjunction.blocks import Blocks
from kelpjunction.changes import ChangeTracker
from kelpjunction.clock import Clock
from kelpjunction.jobs.job_index import Job, JobIndex, Phase, Placement
from kelpjunction.jobs.start_permits import StartPermits
from kelpjunction.leadership import Leadership
from kelpjunction.recorder import Recorder
from kelpjunction.settings import WorkerTimes
from kelpjunction.transport import NoResponse, RequestWithheld, Transport
from kelpjunction.wire import workers as wire
from kelpjunction.wire.messages import Command, ExitCause, Report, TaskReport, TaskState, Verb
from kelpjunction.wire.users import MalformedMessage
from kelpjunction.workers.answers import (
    BlockAuthority,
    WorkerStatus,
    assess_report,
    build_response,
    finished_attempts,
    refuse_block,
    refuse_report,
)
from kelpjunction.workers.decisions import DecisionLog
from kelpjunction.workers.events import Ground, Way
from kelpjunction.workers.fencing import Attempt, StartFence
from kelpjunction.workers.reachability import (
    REPORT_RESPONSE_TIMEOUT,
    Evidence,
    Reachability,
    ReachabilityTracker,
    Watermark,
)
from kelpjunction.workers.worker import Worker, lease_end

log = logging.getLogger("workers")

COMMAND_TIMEOUT = timedelta(seconds=2)
PROBE_TIMEOUT = timedelta(seconds=1)
_PHASE_BY_STATE = {
    TaskState.FETCHING: Phase.FETCHING,
    TaskState.WAITING: Phase.WAITING,
    TaskState.RUNNING: Phase.RUNNING,
    TaskState.SAVING: Phase.STOPPING,
}


class WorkerRegistry:
    """Takes in reports, sends commands and probes, and settles placements.

    `spawn` runs a call in the background and `wake` starts the holder's next round.
    """

    def __init__(
        self,
        times: WorkerTimes,
        job_index: JobIndex,
        blocks: Blocks,
        leadership: Leadership,
        start_permits: StartPermits,
        transport: Transport,
        clock: Clock,
        spawn: Callable,
        wake: Callable[[], None],
        changes: ChangeTracker,
        recorder: Recorder,
    ) -> None:
        self._start_permits = start_permits
        start_permits.on_renewed = self._send_withheld_starts
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
        self.starts = self.stops = 0  # commands sent directly to workers since this process started
        self.zones_needing_new_tokens: set[str] = set()
        # Blocks of which a worker has seen a higher token than ours, with our
        # token at that time.  Another node holds them, although the mirror does
        # not show it yet.  Reports from all their workers are refused, so that
        # the workers find the new holder before their leases end.
        self._higher_token_seen: dict[str, int] = {}
        self._probes_in_flight: set[str] = set()  # machines with an unanswered probe
        self._tokens_in_flight: set[str] = set()  # machines that are being shown a token
        self.on_report: Callable[[Report], None] = lambda report: None
        self.images_of: Callable[[str], list[str]] = lambda machine: []
        self.is_gone: Callable[[str], bool] = lambda machine: False  # whether the cloud confirmed the return
        self.on_settled: Callable[[Placement], None] = lambda placement: None

    def clear(self, zone: str) -> None:
        """Forget the workers of a block that this node has gained or lost: earlier knowledge of them is not valid."""
        for machine in [n for n, w in self.workers.items() if w.zone == zone]:
            self._drop(machine)
        self.zones_needing_new_tokens.discard(zone)
        self.decisions.clear(zone)

    # -- reports ------------------------------------------------------------

    def handle_report(self, report: Report) -> tuple[int, bytes]:
        """Take in a worker's report and return the HTTP status and body of the response."""
        grant = self._blocks.own_grant(report.zone)
        if grant is not None and report.token > grant.last_token and not self._is_overtaken(report.zone):
            self._higher_token_seen[report.zone] = grant.token
            self._blocks.note_overtaken(report.zone)
        authority = BlockAuthority(
            grant is not None, self._is_overtaken(report.zone), self._leadership.can_renew_leases()
        )
        refusal = refuse_block(authority)
        if refusal is not None:
            self.decisions.refused(report, 0, refusal)
            return 503, b"{}"
        now = self._clock.steady()
        number = (report.session, report.sequence)
        worker = self._worker(report)
        evidence = worker.reachability_tracker.on_report(number, now)
        needs_probe = self._apply_report(worker, report, evidence, now)
        may_wait = worker.reachability_tracker.may_wait(number, now)
        if (needs_probe or worker.reachability_tracker.needs_probe(now)) and may_wait:
            self._spawn(self.probe, worker.machine, worker.address)
        refusal = refuse_report(
            report, WorkerStatus(worker.session, worker.reachability_tracker.presumed_unreachable, may_wait)
        )
        if refusal is not None:
            self.decisions.refused(report, worker.session, refusal)
            return 503, b"{}"
        worker.lease_renewed_at = now
        placements = self._job_index.placements_on(worker.machine)
        self._exclude_starts(worker, finished_attempts(report.session, worker.reported_tasks(), placements))
        token = worker.fence.token(grant.tokens, worker.token)
        # A start that is decided and not yet sent is known to `unanswered_commands` alone, so both are asked.
        response = build_response(
            report.session,
            worker.reported_tasks(),
            placements,
            lambda attempt: not worker.unanswered_commands[attempt] and not worker.fence.may_start(attempt, token),
            self._may_start,
            self._blocks.may_use(worker.zone),
        )
        for command in response.commands:
            if command.verb is Verb.FORGET:
                self.decisions.forgotten(report, command, token)
        for placement in response.withheld:
            self._start_permits.renew(placement.task.ref)
        for placement in response.starts:
            placement.advance(Phase.STARTED, now)
            placement.start_sent_at = now
            self.decisions.started(placement, token, Way.ANSWER, report.sequence)
        return 200, wire.check_in_answer(token, response.commands)

    def _is_overtaken(self, zone: str) -> bool:
        """Whether a worker of this block has seen a higher token than the one that this node holds."""
        token = self._blocks.own_token(zone)
        return token is not None and self._higher_token_seen.get(zone) == token

    @property
    def higher_token_seen(self) -> bool:
        """Whether a worker has shown that another node was granted one of this node's blocks.

        That node must have been in contact with the state service.
        """
        return any(map(self._is_overtaken, self._blocks.held_zones()))

    def _worker(self, report: Report) -> Worker:
        """The worker that sent a message; it is added if it was not known."""
        worker = self.workers.get(report.machine)
        if worker is None:
            own_token = self._blocks.own_token(report.zone)  # starts of earlier holders have tokens below it
            tracker, fence = ReachabilityTracker(self._times.report), StartFence((own_token or 1) - 1)
            worker = Worker(report.machine, report.address, report.zone, tracker, fence)
            worker.images = dict.fromkeys(self.images_of(report.machine), 0.0)
            self.workers[report.machine] = worker
            self._changes.mark_changed(report.machine)
        return worker

    def _apply_report(self, worker: Worker, report: Report, evidence: Evidence, now: timedelta) -> bool:
        """Apply a message as far as its evidence allows; return whether the worker must be probed about it."""
        assessment = assess_report(report, evidence, worker.session, self._job_index.placements_on(worker.machine))
        if not assessment.believed:
            return assessment.needs_probe
        new_session = report.session != worker.session
        if new_session:
            self.decisions.believed(report, worker.session, evidence, worker.fence.highest_start_token)
        worker.session = report.session
        own_token = self._blocks.own_token(worker.zone) or 0
        if new_session or worker.token < own_token <= report.token:
            # The lease of a new session starts with the session, so the estimate
            # for the previous session does not apply.  And until the worker saw
            # our token, an earlier holder may have renewed its lease up to now.
            worker.lease_renewed_at = now
        worker.token = max(worker.token, report.token)
        if evidence is Evidence.PROOF:
            worker.proved_token = report.token
            worker.fence.token_proved(report.token)
        worker.last_report_at, worker.address = now, report.address
        worker.reclaim_at = None if report.termination_notice is None else now + report.termination_notice
        worker.tasks = {}
        for task_report in report.tasks:
            worker.tasks.setdefault(task_report.task, []).append(task_report)
        if worker.reachability_tracker.reachability is Reachability.REACHABLE:
            self.on_report(report)
        for placement, task_report in assessment.listed:
            self._on_listed(worker, placement, task_report, now)
        for placement in assessment.ended:
            # When a session ends, the worker kills all tasks of that session.
            self.settle(placement, ExitCause.MACHINE_LOST, Ground.SESSION_ENDED, now)
        for placement in assessment.from_later_session:
            self._settle_of_later_session(worker, placement, now)
        for placement in assessment.missing:
            self._on_unlisted(worker, placement, now)
        if evidence is Evidence.PROOF:
            for task_report in assessment.unexpected:
                self.decisions.check_contradiction(report, task_report)
        if new_session:
            self._wake()
        # A copy of an old report may list a forgotten attempt; the response to a probe shows whether it runs again.
        return assessment.needs_probe or any(self.decisions.was_forgotten(report, t) for t in assessment.unexpected)

    def _settle_of_later_session(self, worker: Worker, placement: Placement, now: timedelta) -> None:
        """Settle a placement whose worker proved a lower session, unless an earlier start can still take effect.

        The lower session shows that the worker's process was restarted, so its
        earlier tasks are gone.  But its session numbers will reach the
        placement's session again, and an earlier start or a copy of it would
        then be accepted.
        """
        if self._is_start_excluded(worker, placement):
            self.settle(placement, ExitCause.MACHINE_LOST, Ground.PROCESS_RESTARTED, now)

    def _is_start_excluded(self, worker: Worker, placement: Placement) -> bool:
        """Whether no start that was sent for a placement can take effect at its worker any more.

        If one can, the worker is shown a token that excludes it, and its response
        then proves that it has seen that token.  What an earlier process of the
        worker had seen does not count.
        """
        attempt = Attempt(placement.task, placement.attempt)
        if worker.unanswered_commands[attempt]:
            return False
        if not worker.fence.may_start(attempt, worker.proved_token):
            return True
        if self._exclude_starts(worker, [attempt]):
            self._spawn(self.show_token, worker.machine)
        return False

    def _exclude_starts(self, worker: Worker, attempts: Collection[Attempt]) -> bool:
        """Raise the worker's token, if necessary, above those of all starts sent for these attempts.

        Returns whether the token is high enough.  It stays as it is while a
        command to the worker is unanswered, since the worker would refuse it.  If
        the grant has no higher token, the block is marked as needing new ones.
        """
        grant = self._blocks.own_grant(worker.zone)
        if not attempts or grant is None or worker.unanswered_commands:
            return False
        if not worker.fence.exclude(attempts, grant.tokens):
            self.zones_needing_new_tokens.add(worker.zone)
            return False
        return True

    def _on_process_restart(self, worker: Worker, report: Report, now: timedelta) -> None:
        """The worker's process was restarted: its tasks are gone, and starts sent to it earlier may still arrive.

        The lease of the new process began when that process did, which may have been a moment ago.
        """
        log.info("worker %s restarted its session and sequence numbers", worker.machine)
        worker.token, worker.lease_renewed_at = report.token, now
        grant = self._blocks.own_grant(worker.zone)
        if grant is not None and not worker.fence.process_restarted(grant.tokens):
            self.zones_needing_new_tokens.add(worker.zone)

    def _on_listed(self, worker: Worker, placement: Placement, task_report: TaskReport, now: timedelta) -> None:
        """Advance or settle a placement by the state in which a message lists it."""
        placement.was_reported = True
        if task_report.state is TaskState.EXITED:
            self.settle(placement, task_report.cause, Ground.REPORTED_EXIT, now, task_report.saved)
            return
        phase = _PHASE_BY_STATE[task_report.state]
        if phase is not Phase.FETCHING:
            self._use_image(worker, placement)
        if phase is Phase.RUNNING and placement.phase not in (Phase.RUNNING, Phase.STOPPING):
            self._wake()
        placement.advance(phase, now)

    def _use_image(self, worker: Worker, placement: Placement) -> None:
        """Make the placement's image the most recently used one of the worker."""
        image = placement.spec.image
        if next(reversed(worker.images), None) != image or not worker.images[image]:
            worker.images.pop(image, None)
            worker.images[image] = placement.spec.image_gb
            self._changes.mark_changed(worker.machine)

    def _on_unlisted(self, worker: Worker, placement: Placement, now: timedelta) -> None:
        """Settle a placement that a response of its own session does not list, if no start can still take effect."""
        # A response to a probe does not settle the placement while the response
        # to a report, which may contain the start, may still arrive: either of
        # the two can overtake the other.
        may_be_settled = (placement.was_reported or not placement.is_active) and (
            placement.start_sent_at is None or now - placement.start_sent_at >= REPORT_RESPONSE_TIMEOUT
        )
        if may_be_settled and self._is_start_excluded(worker, placement):
            cause = ExitCause.MACHINE_LOST if placement.is_active else ExitCause.STOPPED
            self.settle(placement, cause, Ground.ABSENT, now)

    def settle(
        self, placement: Placement, cause: ExitCause, ground: Ground, now: timedelta, saved: bool = False
    ) -> None:
        """Mark a placement as known to be off its machine; the next round writes that to the record."""
        if placement.phase is Phase.SETTLED:
            return
        placement.cause, placement.saved = cause, saved
        placement.advance(Phase.SETTLED, now)
        self._job_index.settled_placements[placement.task] = placement
        worker = self.workers.get(placement.machine)
        self.decisions.settled(placement, ground, worker.reachability_tracker.newest if worker else (0, 0))
        self.on_settled(placement)
        self._wake()

    # -- commands -----------------------------------------------------------

    def stop(self, placement: Placement, grace: timedelta, reason: str) -> None:
        """Decide to stop a placement, or to shorten its grace period for saving.

        The command reaches the worker by `send` or by the response to its next report.
        """
        if not placement.is_active and grace >= placement.grace:
            return
        placement.grace, placement.reason = grace, reason
        placement.advance(Phase.STOPPING, self._clock.steady())
        self.decisions.stopped(placement)

    def command_of(self, placement: Placement) -> Command:
        """The start or stop command that a placement needs now."""
        if placement.is_active:
            return Command(Verb.START, placement.task, placement.attempt)
        return Command(Verb.STOP, placement.task, placement.attempt, placement.grace)

    def send(self, placements: list[Placement]) -> None:
        """Send the start or stop commands for these placements directly to their workers."""
        groups: dict[tuple[str, int], list[Placement]] = {}
        for placement in placements:
            # A command is valid for one session: in a later one, an old start would start the task a second time.
            groups.setdefault((placement.machine, placement.session), []).append(placement)
        for (machine, _), group in groups.items():
            worker = self.workers.get(machine)
            grant = self._blocks.own_grant(worker.zone) if worker else None
            if grant is None or self._is_overtaken(worker.zone) or not self._leadership.can_renew_leases():
                continue
            now = self._clock.steady()
            token = worker.fence.token(grant.tokens, worker.token)
            worker.unanswered_commands.update(Attempt(p.task, p.attempt) for p in group)
            for placement in group:
                if placement.is_active:
                    placement.advance(Phase.STARTED, now)
            self._spawn(self._send, worker, token, group)

    def _send(self, worker: Worker, token: int, group: list[Placement]) -> None:
        # Decided here and not in `send`: a placement may have been stopped, or its job cancelled, before this call got
        # its turn.
        starts = [p for p in group if p.is_active and self._may_start(p)]
        stops = [p for p in group if not p.is_active]
        try:
            if starts or stops:
                self._post_commands(worker, token, starts, stops)
        except RequestWithheld:
            starts = []  # nothing was sent
        finally:
            worker.unanswered_commands.subtract(Attempt(p.task, p.attempt) for p in group)
            worker.unanswered_commands = +worker.unanswered_commands
        for placement in group:
            if placement.is_active and placement not in starts:
                self._start_permits.renew(placement.task.ref)

    def _post_commands(self, worker: Worker, token: int, starts: list[Placement], stops: list[Placement]) -> None:
        """Send starts and stops in one request, unless one of the starts may not be sent any more at that moment."""

        def may_send() -> bool:
            return all(p.is_active and self._may_start(p) for p in starts)

        self.starts += len(starts)
        self.stops += len(stops)
        for placement in starts:
            worker.fence.start_sent(Attempt(placement.task, placement.attempt), token)
            self.decisions.started(placement, token, Way.DIRECT, worker.reachability_tracker.newest[1])
        placements = [*starts, *stops]
        commands = [self.command_of(p) for p in placements]
        self._post(worker, token, placements[0].session, commands, may_send if starts else None)

    def _may_start(self, placement: Placement) -> bool:
        """Whether a start may be sent now, as far as this node knows of cancellations."""
        return self._start_permits.may_start(placement.task.ref)

    def _send_withheld_starts(self, job: Job) -> None:
        """Send a job's starts that were withheld: its placements that no worker has reported."""
        self.send([p for p in job.placements() if p.is_active and not p.was_reported and self._may_be_sent(p)])

    def _may_be_sent(self, placement: Placement) -> bool:
        """Whether this node may start tasks in the placement's block, and no command for it waits for an answer."""
        worker = self.workers.get(placement.machine)
        return (
            worker is not None
            and self._blocks.may_use(placement.zone)
            and not worker.unanswered_commands[Attempt(placement.task, placement.attempt)]
        )

    def _post(
        self,
        worker: Worker,
        token: int,
        session: int,
        commands: list[Command],
        may_send: Callable[[], bool] | None = None,
    ) -> bool:
        body = wire.commands_body(token, session, commands)
        return self._request(
            worker.machine, worker.address, "POST", wire.COMMANDS_PATH, body, COMMAND_TIMEOUT, may_send
        )

    def show_token(self, machine: str) -> None:
        """Show a worker this node's token, unless it has seen it or is being shown one.

        Its response proves which earlier starts it refuses, and the block's
        previous holder learns of the token from the worker's reports.
        """
        worker = self.workers.get(machine)
        grant = self._blocks.own_grant(worker.zone) if worker else None
        if grant is None or machine in self._tokens_in_flight:
            return
        token = worker.fence.token(grant.tokens, worker.token)
        if worker.token >= token:
            return
        self._tokens_in_flight.add(machine)
        try:
            self._post(worker, token, worker.session, [])
        finally:
            self._tokens_in_flight.discard(machine)

    def probe(self, machine: str, address: str) -> bool | None:
        """Request the status of a machine's worker without waiting for its next report.

        Returns whether the worker responded, or None if a probe of this machine
        is in progress already, which does not count as a response.
        """
        if machine in self._probes_in_flight:
            return None
        self._probes_in_flight.add(machine)
        try:
            return self._request(machine, address, "GET", wire.STATUS_PATH, None, PROBE_TIMEOUT)
        finally:
            self._probes_in_flight.discard(machine)

    def _request(
        self,
        machine: str,
        address: str,
        method: str,
        path: str,
        body: bytes | None,
        timeout: timedelta,
        may_send: Callable[[], bool] | None = None,
    ) -> bool:
        """Send a request to a machine's worker and apply the report in the reply; return whether a usable one came."""
        watermark = self.workers[machine].watermark if machine in self.workers else Watermark()
        try:
            reply = self._transport.request(address, method, path, body, timeout, may_send)
            if reply.status not in (200, 409):
                raise NoResponse(f"unexpected HTTP status {reply.status}")
        except NoResponse as error:
            if path == wire.COMMANDS_PATH:
                log.info("commands to worker %s got no response (%s)", machine, error)
            if worker := self.workers.get(machine):
                before = worker.reachability_tracker.reachability
                worker.reachability_tracker.on_no_response()
                self._on_reachability_change(worker, before)
            return False
        try:
            report = wire.report_from_fields(reply.fields)
        except MalformedMessage as error:
            log.error("reply from a worker holds a malformed report: %s", error)
            return False
        if reply.status == 409:
            log.info("worker %s refused commands: session %d, token %d", machine, report.session, report.token)
        if self.is_gone(report.machine):
            return False  # the machine was returned while the reply was in flight and must not be added again
        if self._blocks.own_grant(report.zone) is not None:
            self._apply_reply(report, watermark if report.machine == machine else Watermark())
        return True

    def _apply_reply(self, report: Report, watermark: Watermark) -> None:
        """Apply the report in a reply; `watermark` is what the worker had shown when the request was sent."""
        worker, now = self._worker(report), self._clock.steady()
        before = worker.reachability_tracker.reachability
        number = (report.session, report.sequence)
        restarted = watermark.shows_restart(number, report.token)
        evidence = worker.reachability_tracker.on_response(number, restarted, now)
        if restarted:
            self._on_process_restart(worker, report, now)
        self._on_reachability_change(worker, before)
        self._apply_report(worker, report, evidence, now)
        if restarted:
            self._spawn(self.show_token, worker.machine)  # the new process executes every earlier start until then

    def _on_reachability_change(self, worker: Worker, before: Reachability) -> None:
        """If the worker's reachability differs from `before`, log it and have the machine evaluated again."""
        reachability = worker.reachability_tracker.reachability
        if reachability is before:
            return
        if reachability is Reachability.UNREACHABLE:
            log.info("worker %s is unreachable: requests to it get no response", worker.machine)
        elif before is Reachability.UNREACHABLE:
            log.info("worker %s is reachable again", worker.machine)
        self._changes.mark_changed(worker.machine)
        self._wake()

    def unreachable(self) -> int:
        """The number of workers that report or have reported to this node and are unreachable."""
        return sum(
            worker.reachability_tracker.reachability is Reachability.UNREACHABLE for worker in self.workers.values()
        )

    # -- leases -------------------------------------------------------------

    def lease_end(self, machine: str, zone: str) -> timedelta | None:
        """The time by which the worker's lease has ended if no node renews it from now on.

        None if this node does not hold the block.
        """
        grant = self._blocks.own_grant(zone)
        if grant is None:
            return None
        return lease_end(self.workers.get(machine), grant, self._leadership.renewal.grace_period, self._times.lease)

    def settle_expired(self) -> None:
        """Settle the placements on machines whose leases are known to have ended."""
        if not self._leadership.mirror_is_fresh():
            return  # after a pause this node has missed reports, and other nodes may have renewed the leases
        now = self._clock.steady()
        for machine, load in self._job_index.loads.items():
            worker = self.workers.get(machine)
            if (
                worker is not None
                and not worker.reachability_tracker.presumed_unreachable
                and now - worker.last_report_at < self._times.lease
            ):
                continue  # it reported less than a lease ago, so its lease goes on, whatever the estimate
            lease_end = self.lease_end(machine, next(iter(load.placements.values())).zone)
            if lease_end is not None and now > lease_end:
                for placement in load.placements.values():
                    self.settle(placement, ExitCause.MACHINE_LOST, Ground.LEASE_ENDED, now)

    def settle_machine(self, machine: str) -> None:
        """Settle all placements on a machine that the cloud confirmed as gone, and forget its worker."""
        now = self._clock.steady()
        for placement in list(self._job_index.placements_on(machine).values()):
            if self._blocks.own_grant(placement.zone) is not None:
                self.settle(placement, ExitCause.MACHINE_LOST, Ground.MACHINE_GONE, now)
        self._drop(machine)

    def _drop(self, machine: str) -> None:
        self.workers.pop(machine, None)
        self._changes.mark_changed(machine)
