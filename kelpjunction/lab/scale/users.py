"""The users of a scale run: jobs that come at random times, whether or not those before were answered."""

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
from kelpjunction.wire.users import ABORT_END, JOBS_PATH

POLL_EVERY_S = 5.0
RETRY_AFTER_S = 1.0
SUBMIT_TIMEOUT_S = 60.0
POLL_TIMEOUT = timedelta(seconds=2)
URGENT = "prod"
RUN_SPREAD = (0.5, 1.5)  # of the run time that a kind of job says
IMAGES = 20


class Users:
    """Submits, asks and cancels; every answer goes to the checker."""

    def __init__(
        self,
        plan: ScalePlan,
        transport: Transport,
        addresses: Callable[[], list[str]],
        checker: Checker,
        measures: Measures,
        tell: Callable[[dict, float], None],
    ) -> None:
        self._plan = plan
        self._transport = transport
        self._addresses = addresses
        self._checker = checker
        self._measures = measures
        self._tell = tell  # a job and its run time, before it is submitted
        self._random = random.Random(plan.seed)
        self._numbers = count(1)
        self._users = Group()
        # Urgent jobs whose start is awaited: when they came, and where the time they wait is kept.
        self._awaited: dict[str, tuple[float, HdrHistogram]] = {}
        self._ending = False
        self.gave_up: list[str] = []
        checker.on_start = self._started

    # -- arrivals --------------------------------------------------------------

    def begin(self) -> None:
        """Submit what is there at the start, and let jobs come from now on."""
        for load in self._plan.loads:
            for _ in range(load.initial):
                self._come(load, first=True)
            if load.arrivals_per_s:
                self._users.spawn(self._arrivals, load)

    def _arrivals(self, load: Load) -> None:
        due = time.monotonic()
        while not self._ending:
            due += self._random.expovariate(load.arrivals_per_s)
            gevent.sleep(max(0.0, due - time.monotonic()))
            if not self._ending:
                self._come(load)

    def _come(self, load: Load, first: bool = False) -> None:
        run_s = load.run.total_seconds() * self._random.uniform(*RUN_SPREAD)
        job = {
            "ref": f"j-{next(self._numbers):06d}",
            "stripe": load.name,
            "crew": self._random.choice(self._plan.teams).name,
            "shape": load.shape,
            "urgency": load.urgency,
            "fronds": load.tasks,
            "cpus": load.cpus,
            "accelerators": 0.0,
            "ram_gb": load.memory_gb,
            "bundle": f"img-{self._random.randrange(IMAGES):02}",
            "image_gb": 0.5,
            "together": False,
            "apart": load.shape == "service" and load.tasks > 1,
            "driftwood": False,
            "expect_s": 0.0 if load.shape == "service" else run_s,
            "mark_s": 0.0,
            "stow_s": 0.0,
        }
        cancel_after = self._cancel_after(load, run_s)
        self._tell(job, run_s)
        self._checker.submitted(job)
        if load.urgency == URGENT:
            times = self._measures.first_urgent_start if first else self._measures.urgent_start
            self._awaited[job["ref"]] = (time.monotonic(), times)
        self._users.spawn(self._live, job, cancel_after)

    def _cancel_after(self, load: Load, run_s: float) -> float | None:
        """When its user cancels the job: a service at its end, others by their share, somewhere in between."""
        if load.shape == "service":
            return run_s
        return run_s * self._random.random() if self._random.random() < load.cancelled else None

    # -- one user ----------------------------------------------------------------

    def _live(self, job: dict, cancel_after: float | None) -> None:
        ref, began = job["ref"], time.monotonic()
        if not self._submit(job, began):
            self._awaited.pop(ref, None)
            self.gave_up.append(ref)
            return
        self._watch(ref, None if cancel_after is None else time.monotonic() + cancel_after)

    def _submit(self, job: dict, began: float) -> bool:
        """Submit until it is accepted; whether it was within the time that users take."""
        body = orjson.dumps(job)
        while time.monotonic() - began < SUBMIT_TIMEOUT_S:
            status, _ = self._ask("POST", JOBS_PATH, body, job["ref"], USER_TIMEOUT)
            if status in (200, 201):
                self._measures.submit.record_value(_ms(began))
                return True
            self._measures.refused_submissions += 1
            gevent.sleep(RETRY_AFTER_S)
        return False

    def _watch(self, ref: str, cancel_at: float | None) -> None:
        """Ask every few seconds until the job is done or cancelled; cancel it when its time has come."""
        state = None
        while state not in (DONE, CANCELLED):
            pause = POLL_EVERY_S * self._random.uniform(0.8, 1.2)
            if cancel_at is not None:
                pause = min(pause, max(0.0, cancel_at - time.monotonic()))
            gevent.sleep(pause)
            if cancel_at is not None and (self._ending or time.monotonic() >= cancel_at):
                state = self._cancel(ref)
            else:
                state = self._poll(ref)

    def _poll(self, ref: str) -> str | None:
        began = time.monotonic()
        status, state = self._ask("GET", f"{JOBS_PATH}/{ref}", None, ref, POLL_TIMEOUT)
        if status != 200:
            self._measures.failed_polls += 1
            return None
        self._measures.poll.record_value(_ms(began))
        return state

    def _cancel(self, ref: str) -> str | None:
        self._checker.asked_to_cancel(ref)
        status, state = self._ask("POST", f"{JOBS_PATH}/{ref}{ABORT_END}", b"{}", ref, USER_TIMEOUT)
        if status != 200:
            gevent.sleep(RETRY_AFTER_S)
        return state

    def _ask(
        self, method: str, path: str, body: bytes | None, ref: str, patience: timedelta
    ) -> tuple[int | None, str | None]:
        """One request to any controller that runs; its status and the state it tells, None if none came."""
        addresses = self._addresses()
        if not addresses:
            return None, None
        try:
            status, fields = self._transport.request(self._random.choice(addresses), method, path, body, patience)
        except NoResponse:
            return None, None
        state = fields.get("tide") if status in (200, 201) else None
        self._checker.answered(time.monotonic(), ref, status, state)
        return status, state

    def _started(self, ref: str, at: float) -> None:
        """A task of a job has started: of an urgent one, the first is what its user waited for."""
        self._measures.started(at)
        if ref in self._awaited:
            began, times = self._awaited.pop(ref)
            times.record_value(max(1, round((at - began) * 1000)))

    # -- the end -------------------------------------------------------------------

    def end(self) -> None:
        """No more jobs come; services are cancelled now, and the rest goes on to its end."""
        self._ending = True

    @property
    def at_work(self) -> int:
        """How many users have a job that is not over."""
        return len(self._users)


def _ms(began: float) -> int:
    return max(1, round((time.monotonic() - began) * 1000))
