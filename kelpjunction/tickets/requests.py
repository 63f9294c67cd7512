"""Handles ticket users' requests: submit, show and cancel.  Any gateway serves any user, as any node does for jobs."""

import hashlib
import logging
from collections.abc import Callable, Mapping
from datetime import timedelta
from random import Random

import orjson

from kelpjunction.clock import Clock
from kelpjunction.intake import MAX_ATTEMPTS, RETRY_AFTER, UserResponse, infeasibility_reason, unavailable_response
from kelpjunction.jobs.job_index import JobIndex
from kelpjunction.rate_limiter import Purpose
from kelpjunction.settings import Team
from kelpjunction.start_permission import CONFIRMATION_DELAY
from kelpjunction.store.client import CommitStatus, Outcome, StoreClient, StoreUnavailable, Transaction
from kelpjunction.store.mirror import Mirror, Verifier
from kelpjunction.tickets import plan, users
from kelpjunction.tickets.classes import TicketSettings, runs_again
from kelpjunction.tickets.plan import Plan, TicketRejected, Violation
from kelpjunction.tickets.progress import FinalRecord, FinalState, StepState, TicketProgress
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
# More than the difference of two gateways' times of day and the time that a commit may take.
RECENTLY_CANCELLED = timedelta(seconds=15)
INLINE_PLAN_DIVISOR = 4  # a plan up to 1/4 of the largest value is stored in its run's progress record
PART_MARGIN_BYTES = 64  # left free in the value of each plan part


class TicketRequests:
    """Serves the requests that ticket users send to this gateway."""

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
        wait: Callable[[timedelta], None],
    ) -> None:
        self._wait = wait  # lets everything else run for that long
        self._settings = settings
        self._teams = teams
        self._store = store
        self._tickets = tickets
        self._verifier = verifier
        self._records = records
        self._step_planner = step_planner
        self._job_index = job_index
        self._catalog = catalog  # returns the machine types; empty until they are known
        self._clock = clock
        self._random = random_source

    # -- submit -------------------------------------------------------------------

    def submit(self, body: bytes) -> UserResponse:
        """Accept all of a ticket or nothing of it.

        If the ticket's class does not allow a new run, the answer is the state of its latest run.
        """
        try:
            return self._submit(users.parse_submission(body))
        except MalformedMessage as error:
            return UserResponse(400, users.rejection_body([Violation("", "", str(error))]))
        except TicketRejected as refused:
            return UserResponse(refused.status, users.rejection_body(refused.violations))
        except StoreUnavailable as error:
            return unavailable_response(f"the state service does not answer: {error}")

    def _submit(self, submission: users.Submission) -> UserResponse:
        if not self._tickets.loaded:
            return unavailable_response("this gateway is starting")
        content_digest = hashlib.blake2b(
            orjson.dumps([submission.template, submission.parameters], option=orjson.OPT_SORT_KEYS), digest_size=16
        ).hexdigest()
        steps = None
        highest_taken_number = 0  # the highest run number found to be taken by an older run's final record
        for _ in range(MAX_ATTEMPTS):
            head = self._store.get(HEAD_PREFIX + submission.ticket)
            number = 0
            if head is not None:
                # A known ticket is never rejected: it is looked up before it is checked.
                # Its class is the one of its latest run, not the one in this request.
                number, klass = head.value["run"], self._settings.ticket_class(head.value["class"])
                found = self._find_run(run_id(submission.ticket, number))
                if found is not None:
                    end = found if isinstance(found, FinalRecord) else None
                    if not runs_again(klass, number, end, self._clock.utc()):
                        answer = self._state_answer(run_id(submission.ticket, number), found)
                        return (
                            answer if head.value["content"] == content_digest else users.with_content_mismatch(answer)
                        )
            if submission.options.klass not in self._settings.classes:
                known = ", ".join(self._settings.classes)
                raise TicketRejected(
                    [Violation("class", submission.options.klass, f"the known classes are {known}")], 422
                )
            catalog = self._catalog()
            if not catalog:
                return unavailable_response("the machine types are not known yet")
            if steps is None:
                steps = self._resolve_template(submission)
            if (
                len(self._records.unfinished_runs) >= self._settings.max_unfinished_runs
                or self._tickets.get(FULL_KEY) is not None
            ):
                return UserResponse(
                    503,
                    error_answer("the limit on unfinished or remembered tickets is reached"),
                    LIMIT_REACHED_RETRY_AFTER,
                )
            run = run_id(submission.ticket, max(number, highest_taken_number) + 1)
            # The salt makes the jobs' ids unpredictable, so that no other client can have used them.
            salt = f"{self._random.getrandbits(64):016x}"
            ticket_plan = plan.build_plan(job_ref_seed(run, salt), *steps, submission.options)
            self._reject_infeasible_steps(ticket_plan, catalog)
            outcome = self._commit_acceptance(
                submission.ticket, run, salt, ticket_plan, head.version if head else 0, content_digest
            )
            if outcome.status is CommitStatus.APPLIED:
                log.info("ticket %s accepted: %d steps, %d tasks", run, len(ticket_plan.jobs), ticket_plan.tasks)
                return UserResponse(201, users.accepted_answer(run))
            if outcome.status is not CommitStatus.CONFLICT:
                break
            if ENDED_PREFIX + run in outcome.failed:
                highest_taken_number = max(number, highest_taken_number) + 1
        # The transaction was refused, or its outcome is unknown.  If it is applied
        # later, the client's retry finds the run.
        return unavailable_response("the state service did not confirm the ticket")

    def _resolve_template(self, submission: users.Submission) -> tuple[str, list[plan.Step]]:
        # Imported with the first ticket because the import is slow: a new gateway answers other requests before that.
        from kelpjunction.tickets import job_template

        template = submission.template
        document = job_template.parse_document(template.encode()) if isinstance(template, str) else template
        return job_template.resolve(document, submission.parameters)

    def _reject_infeasible_steps(self, ticket_plan: Plan, catalog: Mapping[str, MachineType]) -> None:
        """Raise `TicketRejected` if a step can never run or its job is too large to store."""
        infeasible = [(job, infeasibility_reason(job.spec, catalog, self._teams)) for job in ticket_plan.jobs]
        violations = [Violation(f"steps.{job.name}", "", why) for job, why in infeasible if why]
        max_bytes = self._store.limits.value_bytes
        for job in ticket_plan.jobs:
            if (size := self._records.job_size(job.spec)) > max_bytes:
                # The state service would refuse the job every time, and the client would retry without end.
                violations.append(
                    Violation(f"steps.{job.name}", f"{size} bytes", f"a step's job takes at most {max_bytes} bytes")
                )
        if violations:
            raise TicketRejected(violations, 422)

    def _commit_acceptance(
        self, ticket: str, run: str, salt: str, ticket_plan: Plan, head_version: int, content_digest: str
    ) -> Outcome:
        """Write the head, the progress record and the first steps' jobs in one transaction."""
        text = encode_plan(ticket_plan)
        txn = Transaction().guard(HEAD_PREFIX + ticket, head_version).guard(ENDED_PREFIX + run, 0)
        stored_plan: str | list = text
        if len(text) > self._store.limits.value_bytes // INLINE_PLAN_DIVISOR:
            staged = self._stage_plan(text)
            if staged is None:
                return Outcome(CommitStatus.REFUSED)
            (token, parts), version = staged
            stored_plan = [token, parts]
            owner = STAGE_PREFIX + token
            txn.guard(owner, version).put(owner, {"run": run, "parts": parts})
        now = self._clock.utc()
        states = (StepState.WAITING,) * len(ticket_plan.jobs)
        spec = ticket_plan.jobs[0].spec
        progress = TicketProgress(spec.klass, spec.team, now, states, stored_plan, salt)
        sent = self._records.add_job_submissions(txn, ticket_plan, progress.ready_steps(ticket_plan), now)
        progress = progress.with_step_states(dict.fromkeys(sent, StepState.SENT))
        txn.guard(TICKET_PREFIX + run, 0).put(TICKET_PREFIX + run, progress.record())
        head = {"run": int(run.rpartition(".")[2]), "class": spec.klass, "content": content_digest}
        txn.put(HEAD_PREFIX + ticket, head)
        outcome = self._store.commit(txn.guards, txn.puts, timeout=timedelta(seconds=3), purpose=Purpose.SUBMIT)
        if outcome.status is CommitStatus.APPLIED:
            self._records.keep_plan(run, ticket_plan)
            self._records.on_committed(txn, outcome.revision)
        return outcome

    def _stage_plan(self, text: str) -> tuple[tuple[str, int], int] | None:
        """Write the parts of a long plan.

        Returns the parts' token and count, and the version of their owner record; None if a write was not applied.
        """
        token = f"{self._random.getrandbits(64):016x}"
        size = self._store.limits.value_bytes - PART_MARGIN_BYTES
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
        """Answer with the state of a run; without a run number, of the ticket's latest run."""
        return self._answer_for_run(text, lambda run, found: self._state_answer(run, found))

    def _answer_for_run(self, text: str, answer) -> UserResponse:
        """Answer about the run that a user named: 404 if there is no such run, 503 if it can't be read."""
        if not self._tickets.loaded:
            return unavailable_response("this gateway is starting")
        try:
            ticket, number = users.parse_id(text)
            if number is None:
                head = self._store.get(HEAD_PREFIX + ticket)
                number = head.value["run"] if head else None
            run = run_id(ticket, number or 0)
            found = self._find_run(run) if number else None
            return UserResponse(404, error_answer("no such ticket")) if found is None else answer(run, found)
        except MalformedMessage as error:
            return UserResponse(404, error_answer(str(error)))
        except StoreUnavailable as error:
            return unavailable_response(f"the state service does not answer: {error}")

    def _find_run(self, run: str) -> UnfinishedRun | FinalRecord | None:
        """The current state of a run; None if it does not exist or is no longer remembered.

        The state is never older than one that any gateway has already told a user.
        """
        key = TICKET_PREFIX + run
        for _ in range(MAX_ATTEMPTS):
            unfinished = self._records.unfinished_runs.get(run)
            if unfinished is not None:
                if self._verifier.versions_current({key: unfinished.version}):
                    return unfinished
                self._tickets.refresh(key)
                continue
            end = self._store.get(ENDED_PREFIX + run)
            if end is not None:
                return FinalRecord.parse(end.value)
            if self._verifier.versions_current({key: 0, ENDED_PREFIX + run: 0}):
                return None
            self._tickets.refresh(key)
        raise StoreUnavailable("the ticket's record kept changing")

    def _state_answer(self, run: str, found: UnfinishedRun | FinalRecord) -> UserResponse:
        if isinstance(found, FinalRecord):
            if found.final_state is FinalState.CANCELLED and self._clock.utc() - found.ended_at < RECENTLY_CANCELLED:
                # Until then a node that does not know of the cancellation yet may start tasks of the run's jobs.
                self._wait(CONFIRMATION_DELAY)
            return UserResponse(200, users.final_answer(run, found))
        ticket_plan = self._records.plan(found)
        jobs = {
            ref: self._job_index.jobs[ref]
            for step in ticket_plan.jobs
            if (ref := step.spec.ref) in self._job_index.jobs
        }
        counts = {ref: (job.done_count(), job.placed_count()) for ref, job in jobs.items()}
        return UserResponse(200, users.unfinished_answer(run, found.progress, ticket_plan, counts))

    # -- cancel -------------------------------------------------------------------

    def cancel(self, text: str) -> UserResponse:
        """Cancel a run.  A 200 means that all its jobs are cancelled.  A run that has ended stays as it is."""
        return self._answer_for_run(text, self._cancel)

    def _cancel(self, run: str, found: UnfinishedRun | FinalRecord) -> UserResponse:
        if isinstance(found, FinalRecord):
            return self._state_answer(run, found)
        for _ in range(MAX_ATTEMPTS + len(found.progress.states)):
            unfinished = self._records.unfinished_runs.get(run)
            if unfinished is None:
                break
            txn = self._step_planner.next_change(
                unfinished, unfinished.progress.with_submission_stopped(cancelled=True)
            )
            if txn is not None:
                self._records.commit([txn], Purpose.CANCEL_OR_FENCE)
        found = self._find_run(run)
        if isinstance(found, FinalRecord):
            return self._state_answer(run, found)
        return UserResponse(503, error_answer("the cancellation is under way"), RETRY_AFTER)
