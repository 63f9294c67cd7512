"""Time until a cancellation is confirmed, and starts after that, with real processes on loopback.

    python benchmarks/cancellations.py --port 21000 --condition sound --condition slow

One-task jobs come four a second.  A user cancels every second one at a random node as soon as it is called running,
and repeats the request until it gets 200.  Conditions: `sound`; `slow`, the state service's answers to the holder of
the first zone take 0.3 to 0.6 s; `refused`, the state service refuses that node (503); `outage`, it refuses all nodes
for five seconds of every fifteen; `killed`, that node is down.  A start counts as late if its command arrives over
0.1 s after its user was told.
"""

import random
import statistics
import time

import click
import gevent

from kelpjunction.lab.live import LiveSite
from kelpjunction.lab.serving import HOST
from kelpjunction.transport import Reply

CONDITIONS = ("sound", "slow", "refused", "outage", "killed")
SLOW_ANSWERS_S = (0.3, 0.6)
OUTAGE_EVERY_S, OUTAGE_S = 15.0, 5.0
JOB_INTERVAL_S, POLL_INTERVAL_S, RETRY_INTERVAL_S = 0.25, 0.1, 1.0
ON_ITS_WAY_S = 0.1
ZONE = "a"


class StoreLink:
    """One node's way to the state service, which may answer late or refuse."""

    def __init__(self, handle) -> None:
        self._handle = handle
        self.answer_delay_s: tuple[float, float] | None = None  # the shortest and longest
        self.refusing = False

    def handle(self, method: str, path: str, body: dict) -> Reply:
        if self.refusing:
            return Reply(503, {})
        reply = self._handle(method, path, body)
        if self.answer_delay_s is not None:
            gevent.sleep(random.uniform(*self.answer_delay_s))
        return reply


class MeasuredSite(LiveSite):
    """A lab in which each node reaches the state service through a link of its own."""

    def __init__(self, port: int) -> None:
        self.links: dict[str, StoreLink] = {}
        self._link_ports: dict[str, int] = {}
        self.late_starts: list[float] = []
        super().__init__(nodes=3, zones=3, machines=9, speed=1.0, port=port)

    def settings(self, name: str) -> dict:
        if name not in self.links:
            self.links[name] = StoreLink(self._served_store.handle)
            self._link_ports[name] = self._serve(0, self.links[name].handle)
        settings = super().settings(name)
        settings["services"]["state"] = f"{HOST}:{self._link_ports[name]}"
        return settings

    def start(self, worker, task_id: str, attempt: int) -> dict:
        told = self.told_cancelled.get(task_id.partition("/")[0])
        if told is not None and (late := (self.clock.now - told).total_seconds()) > ON_ITS_WAY_S:
            self.late_starts.append(late)
        return super().start(worker, task_id, attempt)


class Users:
    """Submit jobs and cancel every second one; `waits` has the seconds from each request to its confirmation."""

    def __init__(self, site: MeasuredSite) -> None:
        self._site = site
        self.waits: list[float] = []
        self.requests = 0

    def submit_and_cancel(self, ref: str) -> None:
        while self._site.submit(ref, bay=ZONE, crew="blue", cpus=0.5, run_s=20.0) not in (200, 201):
            gevent.sleep(RETRY_INTERVAL_S)
        for _ in range(200):
            if self._site.poll(ref) == "running":
                self._cancel(ref)
                return
            gevent.sleep(POLL_INTERVAL_S)

    def _cancel(self, ref: str) -> None:
        asked_at = time.monotonic()
        for _ in range(60):
            self.requests += 1
            if self._site.abort(ref) == 200:
                self.waits.append(time.monotonic() - asked_at)
                return
            gevent.sleep(RETRY_INTERVAL_S)


def play(condition: str, port: int, duration: float) -> None:
    """Play one condition and print what was measured."""
    site = MeasuredSite(port)
    try:
        site.run(8.0, lambda: False)
        holder = site.store.data[f"l/block/{ZONE}"][0]["holder"]
        if condition == "slow":
            site.links[holder].answer_delay_s = SLOW_ANSWERS_S
        elif condition == "refused":
            site.links[holder].refusing = True
        elif condition == "killed":
            site.kill_node(holder)
        users, jobs = Users(site), []
        end = time.monotonic() + duration
        started_at = time.monotonic()
        while time.monotonic() < end:
            number = len(jobs)
            ref = f"j-{number:06d}"
            act = (
                users.submit_and_cancel
                if number % 2
                else lambda ref: site.submit(ref, crew="blue", cpus=0.5, run_s=2.0)
            )
            jobs.append(gevent.spawn(act, ref))
            if condition == "outage":
                down = (time.monotonic() - started_at) % OUTAGE_EVERY_S > OUTAGE_EVERY_S - OUTAGE_S
                for link in site.links.values():
                    link.refusing = down
            site.run(JOB_INTERVAL_S, lambda: False)
        for link in site.links.values():
            link.refusing = False
        site.run(15.0, lambda: all(job.dead for job in jobs))
        _report(condition, users, site)
    finally:
        site.close()


def _report(condition: str, users: Users, site: MeasuredSite) -> None:
    waits = sorted(users.waits)
    p95 = waits[int(0.95 * (len(waits) - 1))]
    click.echo(
        f"{condition}: {len(waits)} cancellations confirmed, {users.requests} requests; median "
        f"{statistics.median(waits):.3f} s, p95 {p95:.3f} s, longest {waits[-1]:.3f} s; "
        f"late starts {len(site.late_starts)}; rules broken {len(site.broken)} {site.broken[:2]}"
    )


@click.command()
@click.option("--condition", "conditions", multiple=True, type=click.Choice(CONDITIONS), default=CONDITIONS)
@click.option("--seconds", "duration", default=40.0, show_default=True)
@click.option("--port", default=21000, show_default=True)
def main(conditions: tuple[str, ...], duration: float, port: int) -> None:
    for number, condition in enumerate(conditions):
        play(condition, port + 1000 * number, duration)


if __name__ == "__main__":
    main()
