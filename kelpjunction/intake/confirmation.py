"""When a user may be told that a job is cancelled: once no node can start a task of it any more.

Every answer "withdrawn" for a job that has not ended waits here, whichever node and request it is for.  The
argument is in `kelpjunction.start_permission`.  Nothing is asked of the state service.  Each sibling is asked for
the revision of its mirror: one that has reached the cancellation's version knows of it and starts no task of the
job.  A sibling that does not answer, or that is of a version without this field, is waited for as long as it could
still act on what it knew before.
"""

from collections.abc import Callable
from datetime import timedelta
from functools import partial
from typing import Any, NamedTuple

from kelpjunction.clock import Clock
from kelpjunction.jobs.job_index import JOB_PREFIX
from kelpjunction.settings import Sibling
from kelpjunction.siblings import SiblingRequests, SiblingState
from kelpjunction.start_permission import may_confirm
from kelpjunction.store.mirror import Mirror

CHECK_INTERVAL = timedelta(milliseconds=25)
SIBLING_REQUEST_INTERVAL = timedelta(milliseconds=50)


class _Cancellation(NamedTuple):
    """The version of the job's record that says so, and when this node learned of it."""

    version: int
    learned_at: timedelta


class CancellationBarrier:
    """Holds back confirmations of cancellations; `wait(duration)` lets everything else run for that long."""

    def __init__(
        self,
        mirror: Mirror,
        siblings: SiblingRequests,
        clock: Clock,
        wait: Callable[[timedelta], None],
    ) -> None:
        self._siblings = siblings
        self._clock = clock
        self._wait = wait
        self._cancellations: dict[str, _Cancellation] = {}  # by job, of jobs that have not ended
        self._revisions: dict[str, int] = {}  # by sibling: the highest revision that its mirror had
        self._asked_at: dict[str, timedelta] = {}  # by sibling
        mirror.listen(JOB_PREFIX, self._job_changed)

    def wait_until_final(self, ref: str) -> None:
        """Return when no node starts a task of this cancelled job any more, or when the job has ended."""
        while not self._is_final(ref):
            self._ask_siblings(self._cancellations[ref].version)
            self._wait(CHECK_INTERVAL)

    def _job_changed(self, key: str, value: Any, version: int) -> None:
        ref = key.removeprefix(JOB_PREFIX)
        if value is None:
            self._cancellations.pop(ref, None)
        elif value.get("cancelled") and ref not in self._cancellations:
            self._cancellations[ref] = _Cancellation(version, self._clock.steady())

    def _is_final(self, ref: str) -> bool:
        cancellation = self._cancellations.get(ref)
        if cancellation is None or may_confirm(cancellation.learned_at, self._clock.steady()):
            return True
        return all(self._revisions.get(s.node, 0) >= cancellation.version for s in self._siblings.siblings)

    def _ask_siblings(self, version: int) -> None:
        """Ask each sibling that is not known to have reached this version, at most once per interval."""
        now = self._clock.steady()
        for sibling in self._siblings.siblings:
            asked_at = self._asked_at.get(sibling.node)
            if self._revisions.get(sibling.node, 0) >= version:
                continue
            if asked_at is None or now - asked_at >= SIBLING_REQUEST_INTERVAL:
                self._asked_at[sibling.node] = now
                self._siblings.ask(sibling, partial(self._on_answer, sibling))

    def _on_answer(self, sibling: Sibling, state: SiblingState) -> None:
        if state.revision is not None:
            self._revisions[sibling.node] = max(state.revision, self._revisions.get(sibling.node, 0))
