"""Stand-ins for the cloud, its machines and their workers, as PROTOCOL describes them."""

import asyncio
import random
import time

from http2 import Client, Closed, serve


class Worker:
    """One machine and its worker."""

    def __init__(self, site, name, hull, bay, spot, boot_s):
        self.site, self.name, self.hull, self.bay, self.spot = site, name, hull, bay, spot
        self.type = site.types[hull]
        self.rented_at, self.ready_at = time.monotonic(), time.monotonic() + boot_s
        self.session, self.sequence, self.token = 1, 0, 0
        self.tasks = {}  # (frond, launch) -> dict
        self.images = set()
        self.node = None  # number of the node that it reports to
        self.address = ""
        self.gone = False
        self.wake = asyncio.Event()

    async def start(self):
        self.server, port = await serve(self._handle)
        self.address = f"127.0.0.1:{port}"
        self.runs = [asyncio.ensure_future(f()) for f in (self._reports, self._lease)]

    def end(self):
        """The machine is gone with all that is on it."""
        self.gone = True
        self._clear("the machine is gone")
        self.server.close()
        for run in self.runs:
            run.cancel()

    # -- reports ------------------------------------------------------------

    def report(self):
        self.sequence += 1
        fronds = [
            {"frond": f, "launch": n, "tide": t["tide"]} | ({"cause": t["cause"]} if t["tide"] == "exited" else {})
            | ({"kept": True} if t.get("kept") else {})
            for (f, n), t in self.tasks.items()
        ]  # fmt: skip
        return {
            "holdfast": self.name, "address": self.address, "hull": self.hull, "bay": self.bay,
            "driftwood": self.spot, "watch": self.session, "tally": self.sequence, "helm": self.token,
            "warning_s": None, "fronds": fronds,
        }  # fmt: skip

    async def _reports(self):
        site = self.site
        await asyncio.sleep(max(0.0, self.ready_at - time.monotonic()))
        self.lease_from = time.monotonic()
        self.up = True
        self.node = random.randrange(len(site.nodes))
        client, client_node = None, None
        while True:
            if client_node != self.node:
                if client:
                    client.close()
                client, client_node = Client(site.nodes[self.node].listen), self.node
            sent_at, session = time.monotonic(), self.session
            self.wake.clear()
            reply = await client.request("POST", "/checkin", self.report(), timeout=4.0)
            if reply and reply[0] == 200:
                answer = reply[1]
                if answer.get("helm") is not None and answer["helm"] >= self.token and session == self.session:
                    self.token, self.lease_from = answer["helm"], max(self.lease_from, sent_at)
                    self._execute(answer.get("orders") or [])
                self.served_by = self.node
                pause = site.report_s * random.uniform(0.75, 1.25)
                try:
                    await asyncio.sleep(0.5)
                    await asyncio.wait_for(self.wake.wait(), max(0.01, pause - 0.5))
                except TimeoutError:
                    pass
                continue
            self.served_by = None
            named = [n for n, node in enumerate(site.nodes) if reply and node.name == reply[1].get("harbour")]
            if reply and reply[0] == 421 and named and named[0] != self.node:
                self.node = named[0]
                await asyncio.sleep(0.25)
            else:
                client.close()
                self.node = (self.node + 1) % len(site.nodes)
                await asyncio.sleep(1.0)

    up, served_by, lease_from = False, None, 0.0

    async def _lease(self):
        while True:
            await asyncio.sleep(0.1)
            if self.up and time.monotonic() - self.lease_from > self.site.lease_s:
                self.session += 1
                self._clear("its worker's lease ended")
                self.lease_from = time.monotonic()
                self.wake.set()

    def _clear(self, why):
        for frond, launch in list(self.tasks):
            task = self.tasks.pop((frond, launch))
            if task["tide"] != "exited":
                self.site.note(f"{frond} launch {launch} off {self.name}: {why}")
                task["tide"] = "exited"

    # -- commands -----------------------------------------------------------

    async def _handle(self, method, path, body):
        if not self.up or self.gone:
            await asyncio.sleep(30)
            raise Closed  # a machine that is not up carries nothing out
        if path == "/status":
            return 200, self.report()
        if "helm" not in body or "watch" not in body:
            return 400, {}
        if body["helm"] < self.token or body["watch"] != self.session:
            return 409, self.report()
        self.token = body["helm"]
        self._execute(body.get("orders") or [])
        return 200, self.report()

    def _execute(self, orders):
        for order in orders:
            key = (order["frond"], order["launch"])
            if order["verb"] == "run" and key not in self.tasks:
                self._run(*key)
            elif order["verb"] == "halt" and key in self.tasks:
                self._halt(key, order.get("slack_s") or 0)
            elif order["verb"] == "forget" and self.tasks.get(key, {}).get("tide") == "exited":
                del self.tasks[key]

    def _run(self, frond, launch):
        job = self.site.description(frond.partition("/")[0])
        task = self.tasks[frond, launch] = {"tide": "pulling", "job": job and job["body"]}
        self.wake.set()
        if job is None:
            return self._exit(task, "unknown")
        live = [t for (f, n), t in self.tasks.items() if t is not task and t["tide"] != "exited"]
        if any(f == frond and t is not task and t["tide"] != "exited" for (f, _), t in self.tasks.items()):
            return self._exit(task, "in_use")
        for need, have in (("cpus", "cpus"), ("accelerators", "accelerators"), ("ram_gb", "ram_gb")):
            if sum(t["job"][need] for t in live) + task["job"][need] > self.type[have] + 1e-6:
                return self._exit(task, "full")
        self.site.started(self, frond, launch)
        self.site.background(self._life(frond, launch, task, job))

    def _exit(self, task, cause):
        task.update(tide="exited", cause=cause)
        self.wake.set()

    async def _life(self, frond, launch, task, job):
        body, session = job["body"], self.session
        alive = lambda: self.tasks.get((frond, launch)) is task and task["tide"] != "exited"  # noqa: E731
        if body["bundle"] not in self.images:
            await asyncio.sleep(body["image_gb"] / self.type["fetch_gb_per_s"])
            self.images.add(body["bundle"])
        if not alive():
            return
        if body["shape"] == "ensemble":
            task["tide"] = "waiting"
            group = job.setdefault("groups", {}).setdefault(launch, {})
            group[frond] = task
            until = time.monotonic() + self.site.gang_wait_s
            while sum(t["tide"] in ("waiting", "running") for t in group.values()) < body["fronds"]:
                await asyncio.sleep(0.05)
                if not alive():
                    return
                if time.monotonic() > until:
                    return self._exit(task, "incomplete")
        task["tide"] = "running"
        self.site.note(f"{frond} launch {launch} runs on {self.name} ({self.bay})")
        self.wake.set()
        if body["shape"] == "service":
            return
        await asyncio.sleep(job["run_s"])
        if alive() and self.session == session:
            self.site.done(frond)
            self._exit(task, "done")

    def _halt(self, key, slack):
        task = self.tasks[key]
        if task["tide"] != "exited":
            if task["job"].get("mark_s") and slack >= task["job"]["stow_s"] and task["tide"] == "running":
                task["kept"] = True
            self._exit(task, "stopped")
            self.site.note(f"{key[0]} launch {key[1]} stopped on {self.name}")


class Cloud:
    """The cloud: a catalog, rentals and the machine list, which lags."""

    def __init__(self, site, list_lag_s, rps):
        self.site, self.list_lag_s, self.rps = site, list_lag_s, rps
        self.machines, self.charters, self.number = {}, {}, 0
        self.level = (time.monotonic(), 2 * rps)

    async def add(self, hull, bay, spot, boot_s):
        self.number += 1
        worker = Worker(self.site, f"n-{self.number:06d}", hull, bay, spot, boot_s)
        await worker.start()
        self.machines[worker.name] = worker
        return worker

    async def handle(self, method, path, body):
        at, level = self.level
        now = time.monotonic()
        level = min(2 * self.rps, level + self.rps * (now - at))
        if level < 1:
            return 429, {"error": "too many requests"}
        self.level = (now, level - 1)
        if path == "/catalog":
            return 200, {"hulls": [{"label": n} | t for n, t in self.site.types.items()]}
        if path == "/rentals/return":
            for name in body["holdfasts"]:
                worker = self.machines.pop(name, None)
                if worker:
                    worker.end()
            return 200, {}
        if path == "/rentals":
            if body["charter"] not in self.charters:
                key = (body["hull"], body["bay"], body["driftwood"])
                held = sum((m.hull, m.bay, m.spot) == key for m in self.machines.values())
                count = min(body["number"], self.site.capacity.get(key, 0) - held)
                if count <= 0:
                    return 503, {"error": "no capacity"}
                boot = self.site.types[body["hull"]]["startup_s"]
                rented = [await self.add(*key, boot * random.uniform(0.6, 1.5)) for _ in range(count)]
                self.charters[body["charter"]] = [w.name for w in rented]
            return 200, {"holdfasts": self.charters[body["charter"]]}
        listed = [
            {"ref": w.name, "address": w.address, "hull": w.hull, "bay": w.bay, "driftwood": w.spot,
             "tide": "running" if w.up else "starting", "held_s": now - w.rented_at}
            for w in self.machines.values() if now - w.rented_at > self.list_lag_s
        ]  # fmt: skip
        return 200, {"holdfasts": listed, "has_next": False}
