"""What a leader hands over in one round, and the pages that say it.

One page costs one change, however many jobs are handed over in it; each
shape's jobs have pages of their own, so that services need not wait for the
turn of arrays.  Rows that hold no more leave their page when it is written
anew: docs/design.md, "Launch", says why a row that lags does no harm.
"""

from collections import Counter
from collections.abc import Iterable, Iterator

import orjson

from kelpjunction.jobs.job_index import CHUNK_TASKS, DISPATCH_PREFIX, ChunkDispatch, DispatchTarget, Job, JobIndex
from kelpjunction.wire.messages import Shape, TaskId

PAGE_FILL_LIMIT = 0.8  # of what a value may take

Page = dict[str, dict[int, ChunkDispatch]]  # by job and chunk


class DispatchBatch:
    """The tasks that one round hands over, and to which blocks."""

    def __init__(self) -> None:
        self._dispatches: dict[Shape, Page] = {}
        self.chunks: Counter[Shape] = Counter()

    def __bool__(self) -> bool:
        return bool(self._dispatches)

    def add(self, job: Job, rows: Iterable[tuple[TaskId, DispatchTarget]]) -> None:
        """These tasks of a job are handed over, as its chunks stand now."""
        parts = self._dispatches.setdefault(job.spec.shape, {}).setdefault(job.spec.ref, {})
        for task, handed in rows:
            number, index = divmod(task.index, CHUNK_TASKS)
            if number not in parts:
                chunk = job.chunks.get(number)
                parts[number] = ChunkDispatch(chunk.version if chunk is not None else 0, {})
                self.chunks[job.spec.shape] += 1
            parts[number].tasks[index] = handed

    def __iter__(self) -> Iterator[tuple[Shape, str, dict[int, ChunkDispatch]]]:
        for shape, page in self._dispatches.items():
            for ref, parts in page.items():
                yield shape, ref, parts

    def pages(self, job_index: JobIndex, value_bytes: int) -> Iterator[tuple[Shape, str, dict]]:
        """The pages to be written, each with its shape and key: what still holds in them, and what is new."""
        for shape, new in self._dispatches.items():
            prefix = f"{DISPATCH_PREFIX}{shape.value}/"
            pages = job_index.dispatch_pages(prefix)
            room = {key: value_bytes * PAGE_FILL_LIMIT - len(orjson.dumps(record(page))) for key, page in pages.items()}
            changed: list[str] = []
            for ref, parts in new.items():
                size = len(orjson.dumps(record({ref: parts})))
                # A row of the same version in another page is added to where it stands.
                key = next((k for k, page in pages.items() if ref in page and room[k] >= size), None)
                key = key or next((k for k in pages if room[k] >= size), None)
                if key is None:
                    key = f"{prefix}{max((int(k.rpartition('/')[2]) for k in pages), default=-1) + 1}"
                    pages[key], room[key] = {}, value_bytes * PAGE_FILL_LIMIT
                room[key] -= size
                there = pages[key].setdefault(ref, {})
                for number, hand in parts.items():
                    known = there.get(number)
                    there[number] = ChunkDispatch(hand.version, (known.tasks if known else {}) | hand.tasks)
                if key not in changed:
                    changed.append(key)
            for key in changed:
                yield shape, key, record(pages[key])


def record(page: Page) -> dict:
    """A page as it is stored."""
    return {ref: {str(number): hand.row() for number, hand in parts.items()} for ref, parts in page.items()}
