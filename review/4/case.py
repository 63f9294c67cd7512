"""The leader ends and is back at once, and a transaction of its is carried out late: do teams' limits hold?"""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common-2"))
from http2 import serve
from site2 import CAMARA, TROUBLE, CannotRun, Client, play

TEAM = "analisis"
LIMIT = next(team["cpus_max"] for team in CAMARA["teams"] if team["name"] == TEAM)
HELD_S = 2.0  # "gets no answer and is carried out 2 to 12 s later"


class StateForNode:
    """The state service as one controller reaches it; it may leave this controller's transactions for later."""

    def __init__(self, site, node):
        self.site, self.node, self.holding, self.late = site, node, False, []

    async def start(self):
        self.server, port = await serve(self.handle)
        self.node.state_proxy.target = lambda: f"127.0.0.1:{port}"
        self.node.state_proxy.reset()

    async def handle(self, method, path, body):
        if self.holding and path == "/commit" and body.get("then"):
            keys = [change.get("set") or change.get("delete") for change in body["then"]]
            self.late.append((time.monotonic(), keys, body))
            self.site.note(f"state service: a transaction of {self.node.name} gets no answer for now: {keys}")
            await asyncio.sleep(120)
        if not self.holding and (method, path) == ("POST", "/holds"):
            # The process that was started again has read the keys.  Now the old transactions are carried out.
            for sent_at, keys, transaction in self.late:
                status, _ = await self.site.state.handle("POST", "/commit", transaction)
                held = time.monotonic() - sent_at
                self.site.note(f"state service: {keys} is carried out {held:.1f} s late, its outcome is {status}")
            self.late = []
        return await self.site.state.handle(method, path, body)


def used(site):
    """The CPUs of the team's tasks that are on their machines with their images, as the workers have them."""
    return sum(
        task["job"]["cpus"]
        for worker in site.cloud.machines.values()
        for task in worker.tasks.values()
        if task["tide"] in ("running", "waiting", "flushing") and task["job"]["crew"] == TEAM
    )


async def case(site):
    users = [Client(node.listen) for node in site.nodes]
    ways = [StateForNode(site, node) for node in site.nodes]
    for way in ways:
        await way.start()
    await asyncio.sleep(6.0)
    await site.until(site.serving, 15, "all workers are served")
    # First the machines are shown to run the team's jobs: 16 tasks, one to a machine.
    site.job("j-000001", TEAM, "barrido", "batch", 16, 12.0, 3.6, run_s=2.0)
    await site.submit(users[0], "j-000001")
    await site.until(lambda: len(site.done_tasks.get("j-000001", ())) == 16, 20, "the first job done")
    await asyncio.sleep(4.0)
    # Which controller ends is chosen by a key of the project; nothing is judged by it.
    leader = next(way for way in ways if way.node.name == site.state.data["l/lead"][0]["node"])
    others = [user for user, way in zip(users, ways, strict=True) if way is not leader]
    site.note(f"{leader.node.name} leads; team {TEAM} may use {LIMIT:g} CPUs")
    leader.holding = TROUBLE
    # 50 tasks of 4 CPUs fill the team's limit.
    site.job("j-000010", TEAM, "barrido", "batch", 50, 4.0, 3.6, run_s=40.0)
    await site.submit(others[0], "j-000010")
    await asyncio.sleep(0.6)
    for ref in ("j-000011", "j-000012"):
        site.job(ref, TEAM, "portal-socios", "service", 3, 2.0, 3.4, urgency="prod", apart=True)
        await site.submit(others[1], ref)
    if TROUBLE:
        if not leader.late:
            raise CannotRun("the leader has sent no transaction")
        await asyncio.sleep(max(0.0, leader.late[0][0] + HELD_S - time.monotonic()))
        site.note(f"{leader.node.name} ends and is started again")
        leader.node.process.kill()
        leader.node.process.wait()
        leader.holding = False
        site.run_node(leader.node)
    most, until = 0.0, time.monotonic() + 25.0
    while time.monotonic() < until:
        now = used(site)
        if now > most:
            most = now
            site.note(f"the workers have tasks of team {TEAM} with {now:g} CPUs of {LIMIT:g}")
        await asyncio.sleep(0.1)
    if most > LIMIT + 1e-6:
        return f"quota: tasks of team {TEAM} used {most:g} CPUs, its limit is {LIMIT:g}"
    return None


play(CAMARA, __file__, case)
