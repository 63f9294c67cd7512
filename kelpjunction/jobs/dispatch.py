"""The tasks that a leader dispatches in one round, and the pages that record them.

A page costs one change in the state service, however many jobs it has rows of.
Jobs of each shape have their own pages, so that dispatches of services do not
wait until the rate limiter admits those of arrays.  Rows that are no longer
valid are removed when their page is next written; docs/design.md, "Launch",
explains why an outdated row does no harm.
"""

from collections import Counter
from collections.abc import Iterable, Iterator

import orjson

from kelpjunction.jobs.job_index import CHUNK_TASKS, DISPATCH_PREFIX, ChunkDispatch, DispatchTarget, Job, JobIndex
from kelpjunction.wire.messages import Shape, TaskId

PAGE_FILL_FRACTION = 0.8  # fraction of the longest value that the state service accepts

Page = dict[str, dict[int, ChunkDispatch]]  # by job and chunk


class DispatchBatch:
    """The tasks that one round dispatches, and the blocks that it dispatches them to."""

    def __init__(self) -> None:
        self._dispatches: dict[Shape, Page] = {}
        self.chunks: Counter[Shape] = Counter()

    def __bool__(self) -> bool:
        return bool(self._dispatches)

    def add(self, job: Job, rows: Iterable[tuple[TaskId, DispatchTarget]]) -> None:
        """Add tasks of a job to the batch, under the current versions of their chunks."""
        parts = self._dispatches.setdefault(job.spec.shape, {}).setdefault(job.spec.ref, {})
        for task, target in rows:
            number, index = divmod(task.index, CHUNK_TASKS)
            if number not in parts:
                chunk = job.chunks.get(number)
                parts[number] = ChunkDispatch(chunk.version if chunk is not None else 0, {})
                self.chunks[job.spec.shape] += 1
            parts[number].tasks[index] = target

    def __iter__(self) -> Iterator[tuple[Shape, str, dict[int, ChunkDispatch]]]:
        for shape, page in self._dispatches.items():
            for ref, parts in page.items():
                yield shape, ref, parts

    def pages(self, job_index: JobIndex, value_bytes: int) -> Iterator[tuple[Shape, str, dict]]:
        """Yield the shape, key and record of each page to write.

        A record has the page's rows that are still valid and the new ones.  `value_bytes` is the length
        of the longest value that the state service accepts.
        """
        for shape, new in self._dispatches.items():
            prefix = f"{DISPATCH_PREFIX}{shape.value}/"
            pages = job_index.dispatch_pages(prefix)
            free_bytes = {
                key: value_bytes * PAGE_FILL_FRACTION - len(orjson.dumps(page_record(page)))
                for key, page in pages.items()
            }
            changed: list[str] = []
            for ref, parts in new.items():
                size = len(orjson.dumps(page_record({ref: parts})))
                # Prefer a page with rows of this job: tasks of a chunk at the same version then extend its row.
                key = next((k for k, page in pages.items() if ref in page and free_bytes[k] >= size), None)
                key = key or next((k for k in pages if free_bytes[k] >= size), None)
                if key is None:
                    key = f"{prefix}{max((int(k.rpartition('/')[2]) for k in pages), default=-1) + 1}"
                    pages[key], free_bytes[key] = {}, value_bytes * PAGE_FILL_FRACTION
                free_bytes[key] -= size
                rows_of_job = pages[key].setdefault(ref, {})
                for number, dispatch in parts.items():
                    existing = rows_of_job.get(number)
                    rows_of_job[number] = ChunkDispatch(
                        dispatch.version, (existing.tasks if existing else {}) | dispatch.tasks
                    )
                if key not in changed:
                    changed.append(key)
            for key in changed:
                yield shape, key, page_record(pages[key])


def page_record(page: Page) -> dict:
    """A page's record as it is stored."""
    return {ref: {str(number): dispatch.row() for number, dispatch in parts.items()} for ref, parts in page.items()}
