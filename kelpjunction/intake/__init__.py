"""User requests: submit, status, abort and health.

Owns this node's cache of ended jobs.  Any node serves any user.  An answer comes
from the state service, or from this node's mirror after the state service has
confirmed that the version is still current.
"""

import logging
from collections import OrderedDict
from collections.abc import Mapping
from dataclasses import dataclass
from datetime import timedelta
from typing import NamedTuple

from kelpjunction.clock import Clock
from kelpjunction.fleet.cloud import Fleet
from kelpjunction.intake.confirmation import CancellationBarrier
from kelpjunction.jobs.job_index import END_PREFIX, JOB_PREFIX, JobIndex, job_record
from kelpjunction.placement import type_fits
from kelpjunction.queue import exceeds_limit
from kelpjunction.rate_limiter import Purpose
from kelpjunction.recorder import Event, Recorder
from kelpjunction.settings import PlatformSettings, Team
from kelpjunction.store.access import StoreAccessMonitor
from kelpjunction.store.client import CommitStatus, StoreClient, StoreUnavailable
from kelpjunction.store.mirror import Mirror, Verifier
from kelpjunction.wire import users as wire
from kelpjunction.wire.messages import JobPhase, JobSpec, MachineType, Shape
from kelpjunction.wire.users import MalformedMessage

log = logging.getLogger("intake")

ENDED_JOB_CACHE_LIMIT = 20_000
RETRY_AFTER = timedelta(seconds=1)
MAX_ATTEMPTS = 4
# After this the write's outcome is read instead: users give up a request after 5 s, and the state service
# normally responds within about 100 ms.
COMMIT_RESPONSE_TIMEOUT = timedelta(seconds=1.5)


class UserResponse(NamedTuple):
    """HTTP response to a user; `retry_after` becomes the Retry-After header."""

    status: int
    body: bytes
    retry_after: timedelta | None = None


def unavailable_response(reason: str) -> UserResponse:
    """A 503 for a request that cannot be decided now, with the time after which to retry."""
    return UserResponse(503, wire.error_answer(reason), RETRY_AFTER)


def infeasibility_reason(spec: JobSpec, catalog: Mapping[str, MachineType], teams: Mapping[str, Team]) -> str | None:
    """The reason why a job can never run, or None if it can."""
    team = teams.get(spec.team)
    if team is None:
        return f"unknown team {spec.team}"
    if not any(type_fits(spec, t) for t in catalog.values()):
        return "a task fits no allowed machine type"
    simultaneous_tasks = 1 if spec.shape is Shape.ARRAY else spec.tasks
    if exceeds_limit(team, spec.cpus, spec.gpus, simultaneous_tasks):
        return f"the job needs more than the limit of team {spec.team}"
    return None


@dataclass(frozen=True, slots=True)
class CancellationConfirmed(Event):
    """Recorded when a user is told that a job is cancelled; `version` is that of the job record that says so."""

    job: str
    version: int


class Intake:
    """Handles the requests of users on this node."""

    def __init__(
        self,
        platform: PlatformSettings,
        store: StoreClient,
        mirror: Mirror,
        verifier: Verifier,
        job_index: JobIndex,
        fleet: Fleet,
        clock: Clock,
        recorder: Recorder,
        cancellation_barrier: CancellationBarrier,
        store_access: StoreAccessMonitor,
    ) -> None:
        self._recorder = recorder
        self._cancellation_barrier = cancellation_barrier
        self._store_access = store_access
        self._teams = platform.teams
        self._store = store
        self._mirror = mirror
        self._verifier = verifier
        self._job_index = job_index
        self._fleet = fleet
        self._clock = clock
        self._ended_jobs: OrderedDict[str, JobPhase] = OrderedDict()

    # -- submit -------------------------------------------------------------

    def submit(self, body: bytes) -> UserResponse:
        try:
            return self._submit(body)
        except StoreUnavailable as error:
            return unavailable_response(f"the state service does not answer: {error}")

    def _submit(self, body: bytes) -> UserResponse:
        try:
            fields = wire.parse_object(body)
        except MalformedMessage as error:
            return UserResponse(400, wire.error_answer(str(error)))
        ref = fields.get("ref")
        if not wire.valid_ref(ref):
            return UserResponse(400, wire.error_answer("ref must look like j-000412"))
        if not self._mirror.loaded:
            return unavailable_response("this node is starting")
        refusal = self._validate(fields)
        if refusal is not None:
            # A repeated submission of a known job is never refused.
            known = self._find_job(ref)
            return refusal if known is None else known
        if ref in self._ended_jobs or self._mirror.get(JOB_PREFIX + ref) is not None:
            known = self._find_job(ref)
            if known is not None:
                return known
        record = job_record(wire.fields_to_keep(fields), self._clock.utc())
        key = JOB_PREFIX + ref
        outcome = self._store.commit(
            {key: 0, END_PREFIX + ref: 0}, {key: record}, timeout=COMMIT_RESPONSE_TIMEOUT, purpose=Purpose.SUBMIT
        )
        if outcome.status is CommitStatus.APPLIED:
            self._mirror.put(key, record, outcome.revision)
            return UserResponse(201, wire.job_answer(ref, JobPhase.QUEUED))
        if outcome.status in (CommitStatus.CONFLICT, CommitStatus.UNKNOWN):
            # Without a response, only a read shows whether the write was applied.
            known = self._find_job(ref)
            if known is not None:
                return known
        # The write was refused or has not been applied yet.  If it is applied
        # later, the user's retry finds the job and gets 200.
        return unavailable_response("the state service did not confirm the job")

    def _validate(self, fields: dict) -> UserResponse | None:
        """The response that refuses the job, or None if the job is acceptable."""
        try:
            spec = wire.parse_job(fields)
        except MalformedMessage as error:
            return UserResponse(400, wire.error_answer(str(error)))
        catalog = self._fleet.catalog
        if not catalog:
            return unavailable_response("the machine types are not known yet")
        reason = infeasibility_reason(spec, catalog, self._teams)
        return None if reason is None else UserResponse(422, wire.error_answer(reason))

    # -- status -------------------------------------------------------------

    def status(self, ref: str) -> UserResponse:
        if not wire.valid_ref(ref):
            return UserResponse(404, wire.error_answer("no such job"))
        if not self._mirror.loaded:
            return unavailable_response("this node is starting")
        try:
            return self._find_job(ref) or UserResponse(404, wire.error_answer("no such job"))
        except StoreUnavailable as error:
            return unavailable_response(f"the state service does not answer: {error}")

    def _find_job(self, ref: str) -> UserResponse | None:
        """The job's status; None if the job was never accepted.

        The status is never older than one that any node has already given to a user.
        """
        key, end_key = JOB_PREFIX + ref, END_PREFIX + ref
        for _ in range(MAX_ATTEMPTS):
            if ref in self._ended_jobs:
                self._ended_jobs.move_to_end(ref)
                return UserResponse(200, wire.job_answer(ref, self._ended_jobs[ref]))
            entry = self._mirror.get(key)
            if entry is not None:
                # A cancellation is final, so its version need not be verified.
                if entry.value.get("cancelled"):
                    self._cancellation_barrier.wait_until_final(ref)
                elif not self._verifier.versions_current({key: entry.version}):
                    self._mirror.refresh(key)
                    continue
                if (job := self._job_index.jobs.get(ref)) is not None:
                    return UserResponse(200, wire.job_answer(ref, job.phase(), job.done_count(), job.placed_count()))
                # Otherwise the job ended in the meantime.
                continue
            end = self._store.get(end_key)
            if end is not None:
                self.cache_ended_job(ref, end.value["end"])
                continue
            if self._verifier.versions_current({key: 0, end_key: 0}):
                return None
            self._mirror.refresh(key)
        raise StoreUnavailable("the job's record kept changing")

    def cache_ended_job(self, ref: str, end: str) -> None:
        """Cache how a job ended, which never changes."""
        self._ended_jobs[ref] = JobPhase.DONE if end == "done" else JobPhase.CANCELLED
        if len(self._ended_jobs) > ENDED_JOB_CACHE_LIMIT:
            self._ended_jobs.popitem(last=False)

    # -- abort --------------------------------------------------------------

    def abort(self, ref: str) -> UserResponse:
        if not wire.valid_ref(ref):
            return UserResponse(404, wire.error_answer("no such job"))
        if not self._mirror.loaded:
            return unavailable_response("this node is starting")
        try:
            return self._abort(ref)
        except StoreUnavailable as error:
            return unavailable_response(f"the state service does not answer: {error}")

    def _abort(self, ref: str) -> UserResponse:
        key = JOB_PREFIX + ref
        for _ in range(MAX_ATTEMPTS):
            entry = self._mirror.get(key)
            if entry is None:
                known = self._find_job(ref)
                if known is None:
                    return UserResponse(404, wire.error_answer("no such job"))
                if ref in self._ended_jobs:
                    return UserResponse(200, wire.job_answer(ref, self._ended_jobs[ref]))
                continue
            if entry.value.get("cancelled"):
                return self._confirm(ref, entry.version)
            record = entry.value | {"cancelled": True}
            outcome = self._store.commit({key: entry.version}, {key: record}, timeout=COMMIT_RESPONSE_TIMEOUT)
            if outcome.status is CommitStatus.APPLIED:
                self._mirror.put(key, record, outcome.revision)
                log.info("job %s was cancelled by its user", ref)
                return self._confirm(ref, outcome.revision)
            if outcome.status is CommitStatus.REFUSED:
                break
            # After a conflict or without a response: read the record again, and answer if it is final.
            self._mirror.refresh(key)
            if outcome.status is CommitStatus.UNKNOWN and self._mirror.version(key) == entry.version:
                break  # not applied yet; a second write could exceed the time that the user waits
        return unavailable_response("the cancellation could not be confirmed")

    def _confirm(self, ref: str, version: int) -> UserResponse:
        """Record and return the answer that the job is cancelled, according to its record at this version.

        Returns when no node starts a task of the job any more.
        """
        self._cancellation_barrier.wait_until_final(ref)
        self._recorder.record(CancellationConfirmed(ref, version))
        return UserResponse(200, wire.job_answer(ref, JobPhase.CANCELLED))

    # -- health -------------------------------------------------------------

    def healthy(self) -> bool:
        """Whether this node should receive requests: not while it starts, nor while only it lacks the state service."""
        return self._mirror.loaded and self._store_access.should_serve
