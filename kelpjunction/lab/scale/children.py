"""Child processes of a scale run that read commands and write events or figures, one JSON object per line."""

import subprocess
import sys
from collections.abc import Callable
from pathlib import Path

import gevent
import orjson
from gevent.fileobject import FileObjectPosix
from gevent.lock import BoundedSemaphore

ROOT = Path(__file__).resolve().parents[3]


class Child:
    """A process started as `python -m MODULE`; `on_line` is called with each object that it writes.

    `first` is written to it as its first line.
    """

    def __init__(self, module: str, first: dict, on_line: Callable[[dict], None]) -> None:
        self._process = subprocess.Popen(
            [sys.executable, "-m", module], stdin=subprocess.PIPE, stdout=subprocess.PIPE, cwd=ROOT
        )
        self._input = FileObjectPosix(self._process.stdin, "wb")
        self._write_lock = BoundedSemaphore()
        self._on_line = on_line
        self.send(first)
        self._reader = gevent.spawn(self._read)

    @property
    def pid(self) -> int:
        return self._process.pid

    @property
    def is_running(self) -> bool:
        return self._process.poll() is None

    def send(self, command: dict) -> None:
        """Write a command to the process."""
        with self._write_lock:
            self._input.write(orjson.dumps(command) + b"\n")
            self._input.flush()

    def _read(self) -> None:
        lines = FileObjectPosix(self._process.stdout, "rb")
        while line := lines.readline():
            self._on_line(orjson.loads(line))

    def end(self) -> None:
        """Kill the process and stop reading from it."""
        self._process.kill()
        self._process.wait()
        self._reader.kill()


class CommandStream:
    """The child's end of the pipe: reads the first line, and then commands until the input is closed."""

    def __init__(self) -> None:
        self._lines = FileObjectPosix(sys.stdin.fileno(), "rb", close=False)
        self.first: dict = orjson.loads(self._lines.readline())

    def run(self, handle: Callable[[dict], None], *loops: Callable[[], None]) -> None:
        """Handle commands while the loops run; returns when the input is closed, and raises an error of any of them."""

        def read() -> None:
            while line := self._lines.readline():
                handle(orjson.loads(line))

        gevent.joinall([gevent.spawn(loop) for loop in (read, *loops)], raise_error=True, count=1)


def send_to_run(fields: dict) -> None:
    """Write an object to the run."""
    sys.stdout.buffer.write(orjson.dumps(fields) + b"\n")
    sys.stdout.buffer.flush()
