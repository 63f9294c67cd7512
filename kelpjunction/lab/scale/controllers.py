"""The real controllers of a scale run: processes started as `serve`, killed and frozen by their numbers."""

import os
import signal
import subprocess
import sys
import tempfile
from collections.abc import Callable
from pathlib import Path

import tomli_w

from kelpjunction.lab.node_settings import LabPlatform, NodePlace, node_settings
from kelpjunction.lab.scale.children import ROOT
from kelpjunction.lab.serving import HOST


class Controllers:
    """So many controllers on ports from `first_port` on, two each."""

    def __init__(
        self, count: int, first_port: int, lab: LabPlatform, cloud: str, state_ports: list[int], logs: Path | None
    ) -> None:
        self._folder = tempfile.TemporaryDirectory(prefix="kelpjunction-scale-")
        self._logs = logs or Path(self._folder.name)
        self.places = [
            NodePlace(
                f"holdfast-{number}",
                lab.zones[number % len(lab.zones)],
                f"{HOST}:{first_port + 2 * number}",
                f"{HOST}:{first_port + 2 * number + 1}",
            )
            for number in range(count)
        ]
        for number, place in enumerate(self.places):
            others = [other for other in self.places if other is not place]
            services = {"cloud": cloud, "state": f"{HOST}:{state_ports[number]}"}
            self._file(number).write_text(tomli_w.dumps(node_settings(place, others, services, lab)))
        self._processes: list[subprocess.Popen | None] = [None] * count
        self._frozen: set[int] = set()
        self.on_start: Callable[[int], None] = lambda pid: None

    def _file(self, number: int) -> Path:
        return Path(self._folder.name) / f"{self.places[number].name}.toml"

    def start(self, number: int) -> None:
        """Start a controller, unless it runs."""
        if self.runs(number):
            return
        with (self._logs / f"{self.places[number].name}.log").open("ab") as log:
            process = subprocess.Popen(
                [sys.executable, "-m", "kelpjunction", "serve", "--config", str(self._file(number))],
                stderr=log,
                cwd=ROOT,
            )
        self._processes[number] = process
        self.on_start(process.pid)

    def runs(self, number: int) -> bool:
        """Whether its process is there, frozen or not."""
        process = self._processes[number]
        return process is not None and process.poll() is None

    def number_of(self, name: str | None) -> int | None:
        """A controller's number by its name."""
        return next((n for n, place in enumerate(self.places) if place.name == name), None)

    def addresses(self) -> list[str]:
        """Where users reach those that run and are not frozen, as the health checks of a load balancer would find."""
        able = [n for n in range(len(self.places)) if self.runs(n) and n not in self._frozen]
        return [self.places[n].listen for n in able]

    def kill(self, number: int) -> None:
        process = self._processes[number]
        if process is not None:
            process.kill()
            process.wait()
        self._frozen.discard(number)

    def freeze(self, number: int, on: bool) -> None:
        """Stop a controller where it stands, or let it go on."""
        if self.runs(number):
            os.kill(self._processes[number].pid, signal.SIGSTOP if on else signal.SIGCONT)
        (self._frozen.add if on else self._frozen.discard)(number)

    def close(self) -> None:
        """End all of them."""
        for number in range(len(self.places)):
            self.kill(number)
        self._folder.cleanup()
