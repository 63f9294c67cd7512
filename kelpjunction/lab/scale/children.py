"""The processes of a scale run that read orders and tell figures, one JSON object a line."""

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
    """A process started as `python -m MODULE`; `on_line` is given each object that it tells."""

    def __init__(self, module: str, first: dict, on_line: Callable[[dict], None]) -> None:
        self._process = subprocess.Popen(
            [sys.executable, "-m", module], stdin=subprocess.PIPE, stdout=subprocess.PIPE, cwd=ROOT
        )
        self._orders = FileObjectPosix(self._process.stdin, "wb")
        self._one_writer = BoundedSemaphore()
        self._on_line = on_line
        self.tell(first)
        self._reader = gevent.spawn(self._read)

    @property
    def pid(self) -> int:
        return self._process.pid

    @property
    def runs(self) -> bool:
        return self._process.poll() is None

    def tell(self, order: dict) -> None:
        """Write an order."""
        with self._one_writer:
            self._orders.write(orjson.dumps(order) + b"\n")
            self._orders.flush()

    def _read(self) -> None:
        lines = FileObjectPosix(self._process.stdout, "rb")
        while line := lines.readline():
            self._on_line(orjson.loads(line))

    def end(self) -> None:
        """End the process."""
        self._process.kill()
        self._process.wait()
        self._reader.kill()


class CommandStream:
    """The other end, in the process that was started: its first line, and then orders until there are no more."""

    def __init__(self) -> None:
        self._lines = FileObjectPosix(sys.stdin.fileno(), "rb", close=False)
        self.first: dict = orjson.loads(self._lines.readline())

    def run(self, obey: Callable[[dict], None], *loops: Callable[[], None]) -> None:
        """Obey each order while the loops go on; ends with the orders, or with an error in any of them."""

        def read() -> None:
            while line := self._lines.readline():
                obey(orjson.loads(line))

        gevent.joinall([gevent.spawn(loop) for loop in (read, *loops)], raise_error=True, count=1)


def tell(fields: dict) -> None:
    """Tell the run something."""
    sys.stdout.buffer.write(orjson.dumps(fields) + b"\n")
    sys.stdout.buffer.flush()
