"""Users: submit, status, abort, health.

Owns what this node remembers of ended jobs.  Any node serves any user: what
is told comes from the state service, or from this node's mirror after the
state service has confirmed that it still holds.
"""

import logging
from collections import OrderedDict
from collections.abc import Mapping
from dataclasses import dataclass
from datetime import timedelta
from typing import NamedTuple

from kelpjunction.clock import Clock
from kelpjunction.fleet.cloud import Fleet
from kelpjunction.jobs.job_index import END_PREFIX, JOB_PREFIX, JobIndex, job_record
from kelpjunction.placement import type_fits
from kelpjunction.queue import over_limit
from kelpjunction.rate_limiter import Purpose
from kelpjunction.recorder import Event, Recorder
from kelpjunction.settings import PlatformSettings, Team
from kelpjunction.store.client import CommitStatus, StoreClient, StoreUnavailable
from kelpjunction.store.mirror import Mirror, Verifier
from kelpjunction.wire import users as wire
from kelpjunction.wire.messages import JobPhase, JobSpec, MachineType, Shape
from kelpjunction.wire.users import MalformedMessage

log = logging.getLogger("intake")

ENDED_JOB_CACHE_LIMIT = 20_000
RETRY_AFTER = timedelta(seconds=1)
TRIES = 4
# Then a write's outcome is read: a user gives a request up after 5 s, and answers come within some 100 ms.
COMMIT_RESPONSE_TIMEOUT = timedelta(seconds=1.5)


class UserResponse(NamedTuple):
    """What a user gets."""

    status: int
    body: bytes
    retry_after: timedelta | None = None


def unavailable_response(why: str) -> UserResponse:
    """The request can't be decided now: say so at once, and when to come back."""
    return UserResponse(503, wire.error_answer(why), RETRY_AFTER)


def infeasibility_reason(spec: JobSpec, catalog: Mapping[str, MachineType], teams: Mapping[str, Team]) -> str | None:
    """Why a job can never run, or None."""
    team = teams.get(spec.team)
    if team is None:
        return f"unknown team {spec.team}"
    if not any(type_fits(spec, t) for t in catalog.values()):
        return "a task fits no allowed machine type"
    at_once = 1 if spec.shape is Shape.ARRAY else spec.tasks
    if over_limit(team, spec.cpus, spec.gpus, at_once):
        return f"the job needs more than the limit of team {spec.team}"
    return None


@dataclass(frozen=True, slots=True)
class CancellationConfirmed(Event):
    """A user was told that a job is cancelled; `version` is of the record that says so."""

    job: str
    version: int


class Intake:
    """What users can ask of this node."""

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
    ) -> None:
        self._recorder = recorder
        self._teams = platform.teams
        self._store = store
        self._mirror = mirror
        self._verifier = verifier
        self._job_index = job_index
        self._fleet = fleet
        self._clock = clock
        self._ended: OrderedDict[str, JobPhase] = OrderedDict()
        self.sibling_has_fresh_mirror = False

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
        refusal = self._refusal(fields)
        if refusal is not None:
            # A repeat of a job that is known is never refused.
            known = self._find(ref)
            return refusal if known is None else known
        if ref in self._ended or self._mirror.get(JOB_PREFIX + ref) is not None:
            known = self._find(ref)
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
            # Without an answer only a read tells whether it was carried out.
            known = self._find(ref)
            if known is not None:
                return known
        # Refused, or not carried out yet: if it is after all, the user's
        # retry finds the job and gets 200.
        return unavailable_response("the state service did not confirm the job")

    def _refusal(self, fields: dict) -> UserResponse | None:
        """Why the job can't be taken, or None."""
        try:
            spec = wire.parse_job(fields)
        except MalformedMessage as error:
            return UserResponse(400, wire.error_answer(str(error)))
        catalog = self._fleet.catalog
        if not catalog:
            return unavailable_response("the machine types are not known yet")
        why = infeasibility_reason(spec, catalog, self._teams)
        return None if why is None else UserResponse(422, wire.error_answer(why))

    # -- status -------------------------------------------------------------

    def status(self, ref: str) -> UserResponse:
        if not wire.valid_ref(ref):
            return UserResponse(404, wire.error_answer("no such job"))
        if not self._mirror.loaded:
            return unavailable_response("this node is starting")
        try:
            return self._find(ref) or UserResponse(404, wire.error_answer("no such job"))
        except StoreUnavailable as error:
            return unavailable_response(f"the state service does not answer: {error}")

    def _find(self, ref: str) -> UserResponse | None:
        """How a job stands, no older than what any node has told; None if it was never accepted."""
        key, end_key = JOB_PREFIX + ref, END_PREFIX + ref
        for _ in range(TRIES):
            if ref in self._ended:
                self._ended.move_to_end(ref)
                return UserResponse(200, wire.job_answer(ref, self._ended[ref]))
            entry = self._mirror.get(key)
            if entry is not None:
                # A cancellation is never taken back, so it needs no asking.
                if not entry.value.get("cancelled") and not self._verifier.versions_current({key: entry.version}):
                    self._mirror.refresh(key)
                elif (job := self._job_index.jobs.get(ref)) is not None:
                    return UserResponse(200, wire.job_answer(ref, job.phase(), job.done_count(), job.placed_count()))
                # Else it ended while this node was asking.
                continue
            end = self._store.get(end_key)
            if end is not None:
                self.remember(ref, end.value["end"])
                continue
            if self._verifier.versions_current({key: 0, end_key: 0}):
                return None
            self._mirror.refresh(key)
        raise StoreUnavailable("the job's record kept changing")

    def remember(self, ref: str, end: str) -> None:
        """Keep a final answer; it never changes."""
        self._ended[ref] = JobPhase.DONE if end == "done" else JobPhase.CANCELLED
        if len(self._ended) > ENDED_JOB_CACHE_LIMIT:
            self._ended.popitem(last=False)

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
        for _ in range(TRIES):
            entry = self._mirror.get(key)
            if entry is None:
                known = self._find(ref)
                if known is None:
                    return UserResponse(404, wire.error_answer("no such job"))
                if ref in self._ended:
                    return UserResponse(200, wire.job_answer(ref, self._ended[ref]))
                continue
            if entry.value.get("cancelled"):
                return self._confirm(ref, entry.version)
            record = entry.value | {"cancelled": True}
            outcome = self._store.commit({key: entry.version}, {key: record}, timeout=COMMIT_RESPONSE_TIMEOUT)
            if outcome.status is CommitStatus.APPLIED:
                self._mirror.put(key, record, outcome.revision)
                log.info("job %s is cancelled by its user", ref)
                return self._confirm(ref, outcome.revision)
            if outcome.status is CommitStatus.REFUSED:
                break
            # In conflict, or without an answer: how it stands now is read, and told if that is final.
            self._mirror.refresh(key)
            if outcome.status is CommitStatus.UNKNOWN and self._mirror.version(key) == entry.version:
                break  # not carried out yet; written again it would take the user's patience
        return unavailable_response("the cancellation could not be confirmed")

    def _confirm(self, ref: str, version: int) -> UserResponse:
        """Tell a user that the job is cancelled, as its record at this version says."""
        self._recorder.record(CancellationConfirmed(ref, version))
        return UserResponse(200, wire.job_answer(ref, JobPhase.CANCELLED))

    # -- health -------------------------------------------------------------

    @property
    def fresh(self) -> bool:
        """Whether this node has heard the state service's news lately."""
        return self._mirror.fresh

    def healthy(self) -> bool:
        """Not healthy while starting, nor while this node alone is out of touch.

        In an outage that everybody has, leaving would only cost minutes of
        doubled pauses afterwards.
        """
        return self._mirror.loaded and (self.fresh or not self.sibling_has_fresh_mirror)
