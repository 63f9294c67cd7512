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

from kelpjunction.budget import Purpose
from kelpjunction.clock import Clock
from kelpjunction.fleet.cloud import Fleet
from kelpjunction.jobs.book import END_PREFIX, JOB_PREFIX, Book, job_record
from kelpjunction.placement import type_fits
from kelpjunction.queue import over_limit
from kelpjunction.recorder import Event, Recorder
from kelpjunction.settings import Platform, Team
from kelpjunction.store.client import Ending, StoreClient, StoreDown
from kelpjunction.store.mirror import Mirror, Verifier
from kelpjunction.wire import users as wire
from kelpjunction.wire.messages import JobPhase, JobSpec, MachineType, Shape
from kelpjunction.wire.users import Malformed

log = logging.getLogger("intake")

REMEMBERED = 20_000
RETRY_AFTER = timedelta(seconds=1)
TRIES = 4
# Then a write's outcome is read: a user gives a request up after 5 s, and answers come within some 100 ms.
UNHEARD_AFTER = timedelta(seconds=1.5)


class Answer(NamedTuple):
    """What a user gets."""

    status: int
    body: bytes
    retry_after: timedelta | None = None


def later(why: str) -> Answer:
    """The request can't be decided now: say so at once, and when to come back."""
    return Answer(503, wire.error_answer(why), RETRY_AFTER)


def why_never(spec: JobSpec, catalog: Mapping[str, MachineType], teams: Mapping[str, Team]) -> str | None:
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
        platform: Platform,
        store: StoreClient,
        mirror: Mirror,
        verifier: Verifier,
        book: Book,
        fleet: Fleet,
        clock: Clock,
        recorder: Recorder,
    ) -> None:
        self._recorder = recorder
        self._teams = platform.teams
        self._store = store
        self._mirror = mirror
        self._verifier = verifier
        self._book = book
        self._fleet = fleet
        self._clock = clock
        self._ended: OrderedDict[str, JobPhase] = OrderedDict()
        self.siblings_fresh = False

    # -- submit -------------------------------------------------------------

    def submit(self, body: bytes) -> Answer:
        try:
            return self._submit(body)
        except StoreDown as error:
            return later(f"the state service does not answer: {error}")

    def _submit(self, body: bytes) -> Answer:
        try:
            fields = wire.parse_object(body)
        except Malformed as error:
            return Answer(400, wire.error_answer(str(error)))
        ref = fields.get("ref")
        if not wire.valid_ref(ref):
            return Answer(400, wire.error_answer("ref must look like j-000412"))
        if not self._mirror.loaded:
            return later("this node is starting")
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
            {key: 0, END_PREFIX + ref: 0}, {key: record}, timeout=UNHEARD_AFTER, purpose=Purpose.SUBMIT
        )
        if outcome.ending is Ending.APPLIED:
            self._mirror.put(key, record, outcome.revision)
            return Answer(201, wire.job_answer(ref, JobPhase.QUEUED))
        if outcome.ending in (Ending.CONFLICT, Ending.UNKNOWN):
            # Without an answer only a read tells whether it was carried out.
            known = self._find(ref)
            if known is not None:
                return known
        # Refused, or not carried out yet: if it is after all, the user's
        # retry finds the job and gets 200.
        return later("the state service did not confirm the job")

    def _refusal(self, fields: dict) -> Answer | None:
        """Why the job can't be taken, or None."""
        try:
            spec = wire.parse_job(fields)
        except Malformed as error:
            return Answer(400, wire.error_answer(str(error)))
        catalog = self._fleet.catalog
        if not catalog:
            return later("the machine types are not known yet")
        why = why_never(spec, catalog, self._teams)
        return None if why is None else Answer(422, wire.error_answer(why))

    # -- status -------------------------------------------------------------

    def status(self, ref: str) -> Answer:
        if not wire.valid_ref(ref):
            return Answer(404, wire.error_answer("no such job"))
        if not self._mirror.loaded:
            return later("this node is starting")
        try:
            return self._find(ref) or Answer(404, wire.error_answer("no such job"))
        except StoreDown as error:
            return later(f"the state service does not answer: {error}")

    def _find(self, ref: str) -> Answer | None:
        """How a job stands, no older than what any node has told; None if it was never accepted."""
        key, end_key = JOB_PREFIX + ref, END_PREFIX + ref
        for _ in range(TRIES):
            if ref in self._ended:
                self._ended.move_to_end(ref)
                return Answer(200, wire.job_answer(ref, self._ended[ref]))
            entry = self._mirror.get(key)
            if entry is not None:
                # A cancellation is never taken back, so it needs no asking.
                if not entry.value.get("cancelled") and not self._verifier.holds({key: entry.version}):
                    self._mirror.refresh(key)
                elif (job := self._book.jobs.get(ref)) is not None:
                    return Answer(200, wire.job_answer(ref, job.phase(), job.done_count(), job.placed_count()))
                # Else it ended while this node was asking.
                continue
            end = self._store.get(end_key)
            if end is not None:
                self.remember(ref, end.value["end"])
                continue
            if self._verifier.holds({key: 0, end_key: 0}):
                return None
            self._mirror.refresh(key)
        raise StoreDown("the job's record kept changing")

    def remember(self, ref: str, end: str) -> None:
        """Keep a final answer; it never changes."""
        self._ended[ref] = JobPhase.DONE if end == "done" else JobPhase.CANCELLED
        if len(self._ended) > REMEMBERED:
            self._ended.popitem(last=False)

    # -- abort --------------------------------------------------------------

    def abort(self, ref: str) -> Answer:
        if not wire.valid_ref(ref):
            return Answer(404, wire.error_answer("no such job"))
        if not self._mirror.loaded:
            return later("this node is starting")
        try:
            return self._abort(ref)
        except StoreDown as error:
            return later(f"the state service does not answer: {error}")

    def _abort(self, ref: str) -> Answer:
        key = JOB_PREFIX + ref
        for _ in range(TRIES):
            entry = self._mirror.get(key)
            if entry is None:
                known = self._find(ref)
                if known is None:
                    return Answer(404, wire.error_answer("no such job"))
                if ref in self._ended:
                    return Answer(200, wire.job_answer(ref, self._ended[ref]))
                continue
            if entry.value.get("cancelled"):
                return self._confirm(ref, entry.version)
            record = entry.value | {"cancelled": True}
            outcome = self._store.commit({key: entry.version}, {key: record}, timeout=UNHEARD_AFTER)
            if outcome.ending is Ending.APPLIED:
                self._mirror.put(key, record, outcome.revision)
                log.info("job %s is cancelled by its user", ref)
                return self._confirm(ref, outcome.revision)
            if outcome.ending is Ending.REFUSED:
                break
            # In conflict, or without an answer: how it stands now is read, and told if that is final.
            self._mirror.refresh(key)
            if outcome.ending is Ending.UNKNOWN and self._mirror.version(key) == entry.version:
                break  # not carried out yet; written again it would take the user's patience
        return later("the cancellation could not be confirmed")

    def _confirm(self, ref: str, version: int) -> Answer:
        """Tell a user that the job is cancelled, as its record at this version says."""
        self._recorder.note(CancellationConfirmed(ref, version))
        return Answer(200, wire.job_answer(ref, JobPhase.CANCELLED))

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
        return self._mirror.loaded and (self.fresh or not self.siblings_fresh)
