"""The users of a scale run: they submit jobs at random times, without waiting for earlier requests to finish."""

import random
import time
from collections.abc import Callable
from datetime import timedelta
from itertools import count

import gevent
import orjson
from gevent.pool import Group
from hdrh.histogram import HdrHistogram

from kelpjunction.lab.live import USER_TIMEOUT
from kelpjunction.lab.rules import CANCELLED, DONE
from kelpjunction.lab.scale.checker import Checker
from kelpjunction.lab.scale.measures import Measures
from kelpjunction.lab.scale.plan import Load, ScalePlan
from kelpjunction.transport import NoResponse, Transport
from kelpjunction.wire.users import ABORT_SUFFIX, JOBS_PATH

POLL_INTERVAL_S = 5.0
RETRY_DELAY_S = 1.0
SUBMIT_TIMEOUT_S = 60.0
POLL_TIMEOUT = timedelta(seconds=2)
URGENT_PRIORITY = "prod"
RUN_SPREAD = (0.5, 1.5)  # range of a job's run time, as a multiple of the run time in its load entry
IMAGE_COUNT = 20


class Users:
    """Submits, polls and cancels jobs, and passes every answer to the checker."""

    def __init__(
        self,
        plan: ScalePlan,
        transport: Transport,
        addresses: Callable[[], list[str]],
        checker: Checker,
        measures: Measures,
        announce_job: Callable[[dict, float], None],
    ) -> None:
        self._plan = plan
        self._transport = transport
        self._addresses = addresses
        self._checker = checker
        self._measures = measures
        self._announce_job = announce_job  # takes a job and its run time in seconds, before it is submitted
        self._random = random.Random(plan.seed)
        self._job_numbers = count(1)
        self._greenlets = Group()
        # Urgent jobs that have not started yet: arrival time, and the histogram for the time until the first start.
        self._awaiting_start: dict[str, tuple[float, HdrHistogram]] = {}
        self._arrivals_ended = False
        self.gave_up: list[str] = []
        checker.on_start = self._on_task_start

    # -- arrivals --------------------------------------------------------------

    def begin(self) -> None:
        """Submit the initial jobs and start the random arrivals."""
        for load in self._plan.loads:
            for _ in range(load.initial):
                self._add_job(load, initial=True)
            if load.arrivals_per_s:
                self._greenlets.spawn(self._arrivals, load)

    def _arrivals(self, load: Load) -> None:
        next_arrival = time.monotonic()
        while not self._arrivals_ended:
            next_arrival += self._random.expovariate(load.arrivals_per_s)
            gevent.sleep(max(0.0, next_arrival - time.monotonic()))
            if not self._arrivals_ended:
                self._add_job(load)

    def _add_job(self, load: Load, initial: bool = False) -> None:
        run_s = load.run.total_seconds() * self._random.uniform(*RUN_SPREAD)
        job = {
            "ref": f"j-{next(self._job_numbers):06d}",
            "stripe": load.name,
            "crew": self._random.choice(self._plan.teams).name,
            "shape": load.shape,
            "urgency": load.urgency,
            "fronds": load.tasks,
            "cpus": load.cpus,
            "accelerators": 0.0,
            "ram_gb": load.memory_gb,
            "bundle": f"img-{self._random.randrange(IMAGE_COUNT):02}",
            "image_gb": 0.5,
            "together": False,
            "apart": load.shape == "service" and load.tasks > 1,
            "driftwood": False,
            "expect_s": 0.0 if load.shape == "service" else run_s,
            "mark_s": 0.0,
            "stow_s": 0.0,
        }
        cancel_after = self._cancel_after(load, run_s)
        self._announce_job(job, run_s)
        self._checker.add_job(job)
        if load.urgency == URGENT_PRIORITY:
            times = self._measures.first_urgent_start if initial else self._measures.urgent_start
            self._awaiting_start[job["ref"]] = (time.monotonic(), times)
        self._greenlets.spawn(self._run_user, job, cancel_after)

    def _cancel_after(self, load: Load, run_s: float) -> float | None:
        """Seconds after which the user cancels the job, or None.

        A service is always cancelled, at the end of its run time.  Of the other jobs, the
        share `cancelled` is cancelled, at a random point of the run time.
        """
        if load.shape == "service":
            return run_s
        return run_s * self._random.random() if self._random.random() < load.cancelled else None

    # -- one user ----------------------------------------------------------------

    def _run_user(self, job: dict, cancel_after: float | None) -> None:
        ref, began = job["ref"], time.monotonic()
        if not self._submit(job, began):
            self._awaiting_start.pop(ref, None)
            self.gave_up.append(ref)
            return
        self._poll_until_over(ref, None if cancel_after is None else time.monotonic() + cancel_after)

    def _submit(self, job: dict, began: float) -> bool:
        """Submit a job until it is accepted; returns whether that happened within `SUBMIT_TIMEOUT_S`."""
        body = orjson.dumps(job)
        while time.monotonic() - began < SUBMIT_TIMEOUT_S:
            status, _ = self._request("POST", JOBS_PATH, body, job["ref"], USER_TIMEOUT)
            if status in (200, 201):
                self._measures.submit.record_value(_ms(began))
                return True
            self._measures.refused_submissions += 1
            gevent.sleep(RETRY_DELAY_S)
        return False

    def _poll_until_over(self, ref: str, cancel_at: float | None) -> None:
        """Poll the job until it is done or cancelled; cancels it at `cancel_at`, if that is not None."""
        state = None
        while state not in (DONE, CANCELLED):
            delay_s = POLL_INTERVAL_S * self._random.uniform(0.8, 1.2)
            if cancel_at is not None:
                delay_s = min(delay_s, max(0.0, cancel_at - time.monotonic()))
            gevent.sleep(delay_s)
            if cancel_at is not None and (self._arrivals_ended or time.monotonic() >= cancel_at):
                state = self._cancel(ref)
            else:
                state = self._poll(ref)

    def _poll(self, ref: str) -> str | None:
        began = time.monotonic()
        status, state = self._request("GET", f"{JOBS_PATH}/{ref}", None, ref, POLL_TIMEOUT)
        if status != 200:
            self._measures.failed_polls += 1
            return None
        self._measures.poll.record_value(_ms(began))
        return state

    def _cancel(self, ref: str) -> str | None:
        self._checker.add_cancel_request(ref)
        status, state = self._request("POST", f"{JOBS_PATH}/{ref}{ABORT_SUFFIX}", b"{}", ref, USER_TIMEOUT)
        if status != 200:
            gevent.sleep(RETRY_DELAY_S)
        return state

    def _request(
        self, method: str, path: str, body: bytes | None, ref: str, timeout: timedelta
    ) -> tuple[int | None, str | None]:
        """Send one request to a random reachable controller.

        Returns the HTTP status and the job state of the answer, or None for what is missing.
        """
        addresses = self._addresses()
        if not addresses:
            return None, None
        try:
            status, fields = self._transport.request(self._random.choice(addresses), method, path, body, timeout)
        except NoResponse:
            return None, None
        state = fields.get("tide") if status in (200, 201) else None
        self._checker.add_answer(time.monotonic(), ref, status, state)
        return status, state

    def _on_task_start(self, ref: str, at: float) -> None:
        """Count a task start; the first start of an urgent job ends the wait of its user."""
        self._measures.started(at)
        if ref in self._awaiting_start:
            began, times = self._awaiting_start.pop(ref)
            times.record_value(max(1, round((at - began) * 1000)))

    # -- the end -------------------------------------------------------------------

    def end(self) -> None:
        """Stop the arrivals.

        Every user that planned a cancellation cancels at its next poll.  The other jobs run to their end.
        """
        self._arrivals_ended = True

    @property
    def active_count(self) -> int:
        """The number of users that still follow a job, and of arrival loops that have not ended."""
        return len(self._greenlets)


def _ms(began: float) -> int:
    return max(1, round((time.monotonic() - began) * 1000))
