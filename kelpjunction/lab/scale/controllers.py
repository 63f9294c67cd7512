"""The real controllers of a scale run: `serve` processes, which are started, killed and frozen by number."""

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
    """The `count` controllers of a run; each uses two ports, from `first_port` upwards."""

    def __init__(
        self, count: int, first_port: int, platform: LabPlatform, cloud: str, state_ports: list[int], logs: Path | None
    ) -> None:
        self._folder = tempfile.TemporaryDirectory(prefix="kelpjunction-scale-")
        self._logs = logs or Path(self._folder.name)
        self.places = [
            NodePlace(
                f"holdfast-{number}",
                platform.zones[number % len(platform.zones)],
                f"{HOST}:{first_port + 2 * number}",
                f"{HOST}:{first_port + 2 * number + 1}",
            )
            for number in range(count)
        ]
        for number, place in enumerate(self.places):
            others = [other for other in self.places if other is not place]
            services = {"cloud": cloud, "state": f"{HOST}:{state_ports[number]}"}
            self._settings_file(number).write_text(tomli_w.dumps(node_settings(place, others, services, platform)))
        self._processes: list[subprocess.Popen | None] = [None] * count
        self._frozen: set[int] = set()
        self.on_start: Callable[[int], None] = lambda pid: None

    def _settings_file(self, number: int) -> Path:
        return Path(self._folder.name) / f"{self.places[number].name}.toml"

    def start(self, number: int) -> None:
        """Start a controller, unless its process is running."""
        if self.is_running(number):
            return
        with (self._logs / f"{self.places[number].name}.log").open("ab") as log:
            process = subprocess.Popen(
                [sys.executable, "-m", "kelpjunction", "serve", "--config", str(self._settings_file(number))],
                stderr=log,
                cwd=ROOT,
            )
        self._processes[number] = process
        self.on_start(process.pid)

    def is_running(self, number: int) -> bool:
        """Whether the controller's process exists, frozen or not."""
        process = self._processes[number]
        return process is not None and process.poll() is None

    def number_of(self, name: str | None) -> int | None:
        """A controller's number by its name; None if there is no such controller."""
        return next((n for n, place in enumerate(self.places) if place.name == name), None)

    def addresses(self) -> list[str]:
        """Addresses for users: those of running, unfrozen controllers, as a load balancer's health checks find them."""
        reachable = [n for n in range(len(self.places)) if self.is_running(n) and n not in self._frozen]
        return [self.places[n].listen for n in reachable]

    def kill(self, number: int) -> None:
        process = self._processes[number]
        if process is not None:
            process.kill()
            process.wait()
        self._frozen.discard(number)

    def freeze(self, number: int, on: bool) -> None:
        """Suspend a controller's process, or resume it."""
        if self.is_running(number):
            os.kill(self._processes[number].pid, signal.SIGSTOP if on else signal.SIGCONT)
        (self._frozen.add if on else self._frozen.discard)(number)

    def close(self) -> None:
        """Kill all controllers and delete their temporary folder."""
        for number in range(len(self.places)):
            self.kill(number)
        self._folder.cleanup()
