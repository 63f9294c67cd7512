"""Ticket users: submit, show, cancel.  Any gateway serves any user, as any node does for jobs."""

import hashlib
import logging
from collections.abc import Mapping
from datetime import timedelta
from random import Random

import orjson

from kelpjunction.clock import Clock
from kelpjunction.intake import RETRY_AFTER, TRIES, UserResponse, infeasibility_reason, unavailable_response
from kelpjunction.jobs.job_index import JobIndex
from kelpjunction.rate_limiter import Purpose
from kelpjunction.settings import Team
from kelpjunction.store.client import CommitStatus, Outcome, StoreClient, StoreUnavailable, Transaction
from kelpjunction.store.mirror import Mirror, Verifier
from kelpjunction.tickets import plan, users
from kelpjunction.tickets.classes import TicketSettings, runs_again
from kelpjunction.tickets.plan import Plan, TicketRejected, Violation
from kelpjunction.tickets.progress import FinalRecord, StepState, TicketProgress
from kelpjunction.tickets.records import (
    ENDED_PREFIX,
    FULL_KEY,
    HEAD_PREFIX,
    STAGE_PREFIX,
    TICKET_PREFIX,
    TicketRecords,
    UnfinishedRun,
    encode_plan,
    job_ref_seed,
    part_key,
)
from kelpjunction.tickets.step_planner import StepPlanner
from kelpjunction.tickets.users import MalformedMessage, run_id
from kelpjunction.wire.messages import MachineType
from kelpjunction.wire.users import error_answer

log = logging.getLogger("tickets")

LIMIT_REACHED_RETRY_AFTER = timedelta(seconds=30)
INLINE_PLAN_DIVISOR = 4  # a plan is kept in its run's course up to this part of the largest value
PART_MARGIN = 64  # bytes of a value


class TicketRequests:
    """What ticket users can ask of this gateway."""

    def __init__(
        self,
        settings: TicketSettings,
        teams: Mapping[str, Team],
        store: StoreClient,
        tickets: Mirror,
        verifier: Verifier,
        records: TicketRecords,
        step_planner: StepPlanner,
        job_index: JobIndex,
        catalog,
        clock: Clock,
        random_source: Random,
    ) -> None:
        self._settings = settings
        self._teams = teams
        self._store = store
        self._tickets = tickets
        self._verifier = verifier
        self._records = records
        self._step_planner = step_planner
        self._job_index = job_index
        self._catalog = catalog  # what machine types there are; empty if unknown yet
        self._clock = clock
        self._random = random_source

    # -- submit -------------------------------------------------------------------

    def submit(self, body: bytes) -> UserResponse:
        """Accept a ticket wholly or not at all, or say how an earlier run of it stands, as its class says."""
        try:
            return self._submit(users.parse_submission(body))
        except MalformedMessage as error:
            return UserResponse(400, users.rejection_body([Violation("", "", str(error))]))
        except TicketRejected as refused:
            return UserResponse(refused.status, users.rejection_body(refused.violations))
        except StoreUnavailable as error:
            return unavailable_response(f"the state service does not answer: {error}")

    def _submit(self, asked: users.Submission) -> UserResponse:
        if not self._tickets.loaded:
            return unavailable_response("this gateway is starting")
        digest = hashlib.blake2b(
            orjson.dumps([asked.template, asked.parameters], option=orjson.OPT_SORT_KEYS), digest_size=16
        ).hexdigest()
        steps = None
        occupied = 0  # a run's number that an older one still has
        for _ in range(TRIES):
            head = self._store.get(HEAD_PREFIX + asked.ticket)
            number = 0
            if head is not None:
                # A ticket that is known is never refused: it is looked up before it is checked,
                # and its class is the one it came with first.
                number, klass = head.value["run"], self._settings.ticket_class(head.value["class"])
                found = self._find(run_id(asked.ticket, number))
                if found is not None:
                    end = found if isinstance(found, FinalRecord) else None
                    if not runs_again(klass, number, end, self._clock.utc()):
                        answer = self._told(run_id(asked.ticket, number), found)
                        return answer if head.value["content"] == digest else users.with_content_mismatch(answer)
            if asked.options.klass not in self._settings.classes:
                known = ", ".join(self._settings.classes)
                raise TicketRejected([Violation("class", asked.options.klass, f"there are {known}")], 422)
            catalog = self._catalog()
            if not catalog:
                return unavailable_response("the machine types are not known yet")
            if steps is None:
                steps = self._read(asked)
            if (
                len(self._records.unfinished_runs) >= self._settings.max_unfinished_runs
                or self._tickets.get(FULL_KEY) is not None
            ):
                return UserResponse(503, error_answer("as many tickets are kept as may be"), LIMIT_REACHED_RETRY_AFTER)
            run = run_id(asked.ticket, max(number, occupied) + 1)
            salt = f"{self._random.getrandbits(64):016x}"  # nobody else can have taken its jobs' ids
            made = plan.build_plan(job_ref_seed(run, salt), *steps, asked.options)
            self._check(made, catalog)
            outcome = self._accept(asked.ticket, run, salt, made, head.version if head else 0, digest)
            if outcome.status is CommitStatus.APPLIED:
                log.info("ticket %s accepted: %d steps, %d tasks", run, len(made.jobs), made.tasks)
                return UserResponse(201, users.accepted_answer(run))
            if outcome.status is not CommitStatus.CONFLICT:
                break
            if ENDED_PREFIX + run in outcome.failed:
                occupied = max(number, occupied) + 1
        # Refused, or of unknown outcome: if it is applied later after all, the
        # client's retry finds the run.
        return unavailable_response("the state service did not confirm the ticket")

    def _read(self, asked: users.Submission) -> tuple[str, list[plan.Step]]:
        # Imported by the first ticket, so that a gateway answers before.
        from kelpjunction.tickets import job_template

        template = asked.template
        document = job_template.parse_document(template.encode()) if isinstance(template, str) else template
        return job_template.resolve(document, asked.parameters)

    def _check(self, made: Plan, catalog: Mapping[str, MachineType]) -> None:
        """Refuse what can never run; raises `TicketRejected`."""
        never = [(job, infeasibility_reason(job.spec, catalog, self._teams)) for job in made.jobs]
        faults = [Violation(f"steps.{job.name}", "", why) for job, why in never if why]
        most = self._store.limits.value_bytes
        for job in made.jobs:
            if (size := self._records.job_size(job.spec)) > most:
                # The state service would refuse it for ever, and its client ask for ever.
                faults.append(
                    Violation(f"steps.{job.name}", f"{size} bytes", f"a step's job takes at most {most} bytes")
                )
        if faults:
            raise TicketRejected(faults, 422)

    def _accept(self, ticket: str, run: str, salt: str, made: Plan, head_version: int, digest: str) -> Outcome:
        """The one decision: head, course and the first steps' jobs, or nothing of it."""
        text = encode_plan(made)
        txn = Transaction().guard(HEAD_PREFIX + ticket, head_version).guard(ENDED_PREFIX + run, 0)
        kept: str | list = text
        if len(text) > self._store.limits.value_bytes // INLINE_PLAN_DIVISOR:
            staged = self._stage(text)
            if staged is None:
                return Outcome(CommitStatus.REFUSED)
            (token, parts), version = staged
            kept = [token, parts]
            owner = STAGE_PREFIX + token
            txn.guard(owner, version).put(owner, {"run": run, "parts": parts})
        now = self._clock.utc()
        states = (StepState.WAITING,) * len(made.jobs)
        spec = made.jobs[0].spec
        course = TicketProgress(spec.klass, spec.team, now, states, kept, salt)
        sent = self._records.add_job_submissions(txn, made, course.ready_steps(made), now)
        course = course.with_step_states(dict.fromkeys(sent, StepState.SENT))
        txn.guard(TICKET_PREFIX + run, 0).put(TICKET_PREFIX + run, course.record())
        head = {"run": int(run.rpartition(".")[2]), "class": spec.klass, "content": digest}
        txn.put(HEAD_PREFIX + ticket, head)
        outcome = self._store.commit(txn.guards, txn.puts, timeout=timedelta(seconds=3), purpose=Purpose.SUBMIT)
        if outcome.status is CommitStatus.APPLIED:
            self._records.keep_plan(run, made)
            self._records.on_committed(txn, outcome.revision)
        return outcome

    def _stage(self, text: str) -> tuple[tuple[str, int], int] | None:
        """Write a long plan's parts; their token and number, and their owner's version."""
        token = f"{self._random.getrandbits(64):016x}"
        size = self._store.limits.value_bytes - PART_MARGIN
        parts = [text[at : at + size] for at in range(0, len(text), size)]
        owner = {"at": self._clock.utc().timestamp(), "parts": len(parts)}
        outcome = self._store.commit({STAGE_PREFIX + token: 0}, {STAGE_PREFIX + token: owner})
        if outcome.status is not CommitStatus.APPLIED:
            return None
        for number, part in enumerate(parts):
            written = self._store.commit({STAGE_PREFIX + token: outcome.revision}, {part_key(token, number): part})
            if written.status is not CommitStatus.APPLIED:
                return None
        return (token, len(parts)), outcome.revision

    # -- show ---------------------------------------------------------------------

    def show(self, text: str) -> UserResponse:
        """How a run stands; the latest one if its number is left out."""
        return self._of(text, lambda run, found: self._told(run, found))

    def _of(self, text: str, answer) -> UserResponse:
        """The answer about a run that a user named."""
        if not self._tickets.loaded:
            return unavailable_response("this gateway is starting")
        try:
            ticket, number = users.parse_id(text)
            if number is None:
                head = self._store.get(HEAD_PREFIX + ticket)
                number = head.value["run"] if head else None
            run = run_id(ticket, number or 0)
            found = self._find(run) if number else None
            return UserResponse(404, error_answer("no such ticket")) if found is None else answer(run, found)
        except MalformedMessage as error:
            return UserResponse(404, error_answer(str(error)))
        except StoreUnavailable as error:
            return unavailable_response(f"the state service does not answer: {error}")

    def _find(self, run: str) -> UnfinishedRun | FinalRecord | None:
        """A run, no older than what any gateway has told; None if there is none, or it is forgotten."""
        key = TICKET_PREFIX + run
        for _ in range(TRIES):
            live = self._records.unfinished_runs.get(run)
            if live is not None:
                if self._verifier.versions_current({key: live.version}):
                    return live
                self._tickets.refresh(key)
                continue
            end = self._store.get(ENDED_PREFIX + run)
            if end is not None:
                return FinalRecord.parse(end.value)
            if self._verifier.versions_current({key: 0, ENDED_PREFIX + run: 0}):
                return None
            self._tickets.refresh(key)
        raise StoreUnavailable("the ticket's record kept changing")

    def _told(self, run: str, found: UnfinishedRun | FinalRecord) -> UserResponse:
        if isinstance(found, FinalRecord):
            return UserResponse(200, users.final_answer(run, found))
        made = self._records.plan(found)
        jobs = {ref: self._job_index.jobs[ref] for step in made.jobs if (ref := step.spec.ref) in self._job_index.jobs}
        counts = {ref: (job.done_count(), job.placed_count()) for ref, job in jobs.items()}
        return UserResponse(200, users.live_answer(run, found.progress, made, counts))

    # -- cancel -------------------------------------------------------------------

    def cancel(self, text: str) -> UserResponse:
        """Cancel a run: once 200 tells so, all its jobs are cancelled.  A run that ended stays as it is."""
        return self._of(text, self._cancel)

    def _cancel(self, run: str, found: UnfinishedRun | FinalRecord) -> UserResponse:
        if isinstance(found, FinalRecord):
            return self._told(run, found)
        for _ in range(TRIES + len(found.progress.states)):
            live = self._records.unfinished_runs.get(run)
            if live is None:
                break
            txn = self._step_planner.next_change(live, live.progress.with_submission_stopped(cancelled=True))
            if txn is not None:
                self._records.commit([txn], Purpose.CANCEL_OR_FENCE)
        found = self._find(run)
        if isinstance(found, FinalRecord):
            return self._told(run, found)
        return UserResponse(503, error_answer("the cancellation is under way"), RETRY_AFTER)
