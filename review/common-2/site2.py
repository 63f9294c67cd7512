"""A small deployment on loopback: controllers as the deploy file runs them, with the stand-ins of this folder."""

import asyncio
import json
import os
import random
import shlex
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

from http2 import Client, serve
from machines2 import Cloud
from proxy2 import Proxy
from state2 import State

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

# As the operators' pages describe the two deployments at their first size; the second has more controllers than zones.
PRAIRIE = {
    "controllers": ["regina", "saskatoon", "brandon"],
    "zones": ["brandon", "moosejaw", "regina", "saskatoon"],
    "types": {
        "small-worker": {
            "cpus": 8.0, "accelerators": 0.0, "ram_gb": 64.0, "local_gb": 70.0, "fetch_gb_per_s": 1.0,
            "price": 0.37, "market_price": 0.15, "startup_s": 35.0,
            "bays": ["brandon", "moosejaw", "regina", "saskatoon"],
        },
        "photo-box": {
            "cpus": 16.0, "accelerators": 2.0, "ram_gb": 64.0, "local_gb": 80.0, "fetch_gb_per_s": 0.4,
            "price": 6.9, "market_price": 2.76, "startup_s": 45.0, "bays": ["brandon", "regina", "saskatoon"],
        },
        "big-box": {
            "cpus": 48.0, "accelerators": 4.0, "ram_gb": 384.0, "local_gb": 150.0, "fetch_gb_per_s": 0.25,
            "price": 11.75, "market_price": 4.94, "startup_s": 30.0,
            "bays": ["brandon", "moosejaw", "regina", "saskatoon"],
        },
    },
    "capacity": {("small-worker", "regina"): 3, ("small-worker", "saskatoon"): 3, ("small-worker", "brandon"): 4,
                 ("small-worker", "moosejaw"): 4, ("photo-box", "regina"): 2, ("photo-box", "saskatoon"): 1,
                 ("photo-box", "brandon"): 2, ("big-box", "regina"): 1, ("big-box", "saskatoon"): 1,
                 ("big-box", "brandon"): 1, ("big-box", "moosejaw"): 1},
    "machines": [("small-worker", z) for z in ("regina", "saskatoon", "brandon", "moosejaw")]
    + [("photo-box", z) for z in ("regina", "saskatoon", "brandon")]
    + [("big-box", z) for z in ("regina", "saskatoon", "brandon", "moosejaw")],
    "teams": [{"name": f"results-crew-{n}", "cpus": 0.0, "cpus_max": 0.0, "gpus": 4.0, "gpus_max": 12.0}
              for n in range(10)],
    "objectives": [{"kind": "wait", "class": "results-page", "within_s": 1.0, "share": 0.88},
                   {"kind": "deadline", "class": "chip-import", "share": 0.88, "times": 1.0},
                   {"kind": "wait", "class": "photo-match", "within_s": 35.0, "share": 0.8},
                   {"kind": "finished", "class": "archive-rebuild", "within_s": 250.0, "share": 0.9}],
    "workers": {"report_s": 1.0, "lease_s": 10.0, "gang_wait_s": 45.0, "gang_peer_s": 4.0, "cancel_s": 35.0},
    "state": {"rps": 250.0, "write_rps": 100.0, "value_kb": 8.0, "txn_ops": 16},
    "cloud": {"rps": 4.0, "list_lag_s": 5.0},
    "machine_limits": {"cpu": 0.75, "mem_mb": 146.0, "max_sockets": 500},
    "time_bound_ms": 1000.0,
}  # fmt: skip
CAMARA = {
    "controllers": ["rosario", "cordoba", "mendoza"],
    "zones": ["cordoba", "mendoza", "rosario"],
    "types": {
        "caja-grande": {
            "cpus": 16.0, "accelerators": 0.0, "ram_gb": 32.0, "local_gb": 40.0, "fetch_gb_per_s": 1.0,
            "price": 0.95, "market_price": 0.37, "startup_s": 50.0, "bays": ["cordoba", "mendoza", "rosario"],
        }
    },
    "capacity": {("caja-grande", "rosario"): 8, ("caja-grande", "cordoba"): 7, ("caja-grande", "mendoza"): 5},
    "machines": [("caja-grande", z) for z, n in (("rosario", 7), ("cordoba", 6), ("mendoza", 4)) for _ in range(n)],
    "teams": [{"name": "socios", "cpus": 80.0, "cpus_max": 320.0, "gpus": 0.0, "gpus_max": 0.0},
              {"name": "analisis", "cpus": 80.0, "cpus_max": 200.0, "gpus": 0.0, "gpus_max": 0.0},
              {"name": "sistemas", "cpus": 136.0, "cpus_max": 240.0, "gpus": 0.0, "gpus_max": 0.0}],
    "objectives": [{"kind": "wait", "class": "portal-socios", "within_s": 1.0, "share": 0.95},
                   {"kind": "deadline", "class": "barrido", "share": 0.95, "times": 1.0},
                   {"kind": "guarantee", "within_s": 5.0, "share": 0.95}],
    "workers": {"report_s": 3.0, "lease_s": 29.0, "gang_wait_s": 35.0, "gang_peer_s": 6.0, "cancel_s": 49.0},
    "state": {"rps": 250.0, "write_rps": 100.0, "value_kb": 16.0, "txn_ops": 12},
    "cloud": {"rps": 3.0, "list_lag_s": 10.0},
    "machine_limits": {"cpu": 0.5, "mem_mb": 266.0, "max_sockets": 1800},
    "time_bound_ms": 100.0,
}  # fmt: skip


class CannotRun(Exception):
    """The case could not be played: exit code 2."""


def free_port():
    """A free port below those that the system gives to clients and to servers on port 0."""
    for _ in range(1000):
        port = random.randrange(12000, 32000)
        with socket.socket() as s:
            try:
                s.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in _taken:
            _taken.add(port)
            return port
    raise CannotRun("no free port")


_taken = set()


def toml(value):
    if isinstance(value, bool):
        return str(value).lower()
    if isinstance(value, str):
        return f'"{value}"'
    if isinstance(value, list):
        return "[" + ", ".join(map(toml, value)) + "]"
    if isinstance(value, dict):
        return "{" + ", ".join(f'"{k}" = {toml(v)}' for k, v in value.items()) + "}"
    return repr(value)


class Node:
    """One controller."""

    def __init__(self, name, zone):
        self.name, self.zone = name, zone
        self.listen, self.internal = f"127.0.0.1:{free_port()}", f"127.0.0.1:{free_port()}"
        self.process, self.state_proxy, self.sibling_proxies = None, None, []


class Site:
    """The deployment, its jobs and what happened to them."""

    def __init__(self, plan, folder):
        self.plan = plan
        self.types, self.record_file = plan["types"], open(Path(folder) / "record.txt", "w", buffering=1)  # noqa: SIM115
        self.capacity = {(t, z, False): n for (t, z), n in plan["capacity"].items()}
        for name, value in plan["workers"].items():
            setattr(self, name, value)
        self.began = time.monotonic()
        self.nodes = [Node(f"holdfast-{n}", zone) for n, zone in enumerate(plan["controllers"])]
        self.jobs, self.on, self.broken = {}, {}, []
        self.done_tasks, self.quiet, self.others = {}, set(), []
        self.runs = set()
        self.temporary = tempfile.TemporaryDirectory(prefix="review-2-")

    def note(self, text):
        """Write a line to the record; of a job in `quiet` only its first three lines."""
        ref = text.partition("/")[0]
        if ref in self.quiet:
            self.jobs[ref]["lines"] = self.jobs[ref].get("lines", 0) + 1
            if self.jobs[ref]["lines"] > 3:
                return
        self.record_file.write(f"{time.monotonic() - self.began:8.2f} {text}\n")

    def background(self, coroutine):
        run = asyncio.ensure_future(coroutine)
        self.runs.add(run)
        run.add_done_callback(self.runs.discard)

    def started(self, worker, frond, launch):
        ref = frond.partition("/")[0]
        self.jobs[ref].setdefault("started_at", time.monotonic())
        self.jobs[ref]["starts"] = self.jobs[ref].get("starts", 0) + 1
        self.note(f"{frond} launch {launch} started on {worker.name} ({worker.bay})")

    def done(self, frond):
        self.done_tasks.setdefault(frond.partition("/")[0], set()).add(frond)
        self.note(f"{frond} done")

    # -- start and end --------------------------------------------------------

    async def start(self):
        p = self.plan["state"]
        self.state = State(p["rps"], p["write_rps"], p["value_kb"], p["txn_ops"], self.note)
        self.servers = []
        server, port = await serve(self.state.handle)
        self.state_address = f"127.0.0.1:{port}"
        self.background(self.state.sweep())
        self.cloud = Cloud(self, self.plan["cloud"]["list_lag_s"], self.plan["cloud"]["rps"])
        cloud_server, cloud_port = await serve(self.cloud.handle)
        self.servers += [server, cloud_server]
        for hull, bay in self.plan["machines"]:
            worker = await self.cloud.add(hull, bay, False, 0.0)
            worker.rented_at -= 600.0
        self.deploy = tomllib.loads((ROOT / "deploy" / "service.toml").read_text())
        for node in self.nodes:
            await self._start_node(node, f"127.0.0.1:{cloud_port}")
        self.note(f"{len(self.nodes)} controllers, {len(self.plan['machines'])} machines; trouble: {TROUBLE}")
        await self.until(self.serving, 25, "all workers are served")
        if any(node.process.poll() is not None for node in self.nodes):
            raise CannotRun("a controller has ended")

    async def _start_node(self, node, cloud_address):
        node.state_proxy = Proxy(lambda: self.state_address)
        state = await node.state_proxy.start()
        siblings = []
        for other in self.nodes:
            if other is not node:
                proxy = Proxy(lambda other=other: other.internal)
                node.sibling_proxies.append((other, proxy))
                siblings.append({"node": other.name, "zone": other.zone, "endpoint": await proxy.start()})
        params = {"nodes": len(self.nodes)} | {
            k: self.plan[k]
            for k in ("zones", "time_bound_ms", "teams", "objectives", "workers", "state", "cloud", "machine_limits")
        }
        lines = [f"{k} = {toml(v)}" for k, v in (
            ("node", node.name), ("zone", node.zone), ("listen", node.listen), ("internal_addr", node.internal),
            ("siblings", siblings), ("services", {"cloud": cloud_address, "state": state}), ("params", params),
        )]  # fmt: skip
        node.file = Path(self.temporary.name) / f"{node.name}.toml"
        node.file.write_text("\n".join(lines) + "\n")
        self.run_node(node)

    async def start_gateway(self):
        """Start a ticket gateway as deploy/gateway.toml runs it, on a free port; returns its address."""
        deploy = tomllib.loads((ROOT / "deploy" / "gateway.toml").read_text())
        if not (ROOT / "target" / "gateway").is_dir():
            raise CannotRun("target/gateway is missing: run the build of deploy/gateway.toml")
        address, words = f"127.0.0.1:{free_port()}", shlex.split(deploy["run"])
        given = ROOT / words[words.index("--settings") + 1]
        settings = Path(self.temporary.name) / "tickets.json"
        settings.write_text(json.dumps(json.loads(given.read_text()) | {"listen": address}))
        words[words.index("--settings") + 1] = str(settings)
        gateway = Node.__new__(Node)
        gateway.name, gateway.listen, gateway.file = "gate-0", address, self.nodes[0].file
        log = open(Path(self.temporary.name) / "gate-0.log", "ab")  # noqa: SIM115
        gateway.process = subprocess.Popen(
            [*words, str(gateway.file)], cwd=ROOT, stdin=subprocess.DEVNULL, stdout=log, stderr=log
        )
        self.others.append(gateway)
        return address

    def description(self, ref):
        """A job's description as its worker fetches it; a gateway uploads those of its tickets' jobs."""
        if ref not in self.jobs and f"l/job/{ref}" in self.state.data:
            spec = self.state.data[f"l/job/{ref}"][0]["spec"]
            empty = {"hulls": None, "bay": None, "due_s": None}
            self.jobs[ref] = {"body": empty | spec, "run_s": 5.0}
        return self.jobs.get(ref)

    def run_node(self, node):
        log = open(Path(self.temporary.name) / f"{node.name}.log", "ab")  # noqa: SIM115
        node.process = subprocess.Popen(
            [*shlex.split(self.deploy["run"]), str(node.file)], cwd=ROOT, stdin=subprocess.DEVNULL,
            stdout=log, stderr=log, env=os.environ | {"LOG_LEVEL": os.environ.get("LOG_LEVEL", "info")},
        )  # fmt: skip

    def serving(self):
        """Whether every machine's reports are answered with 200."""
        return all(w.served_by is not None for w in self.cloud.machines.values() if w.up)

    async def until(self, condition, seconds, what):
        limit = time.monotonic() + seconds
        while not condition():
            if time.monotonic() > limit:
                raise CannotRun(f"not reached within {seconds} s: {what}")
            await asyncio.sleep(0.1)

    def end(self):
        for node in self.nodes + self.others:
            if node.process and node.process.poll() is None:
                node.process.kill()
                node.process.wait()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            for node in self.nodes + self.others:
                (Path(keep) / f"{node.name}.log").write_bytes(
                    (Path(self.temporary.name) / f"{node.name}.log").read_bytes()
                )
        self.temporary.cleanup()

    def room(self, ref):
        """On how many machines one more task of the job has room now, by what their workers hold."""
        need = self.jobs[ref]["body"]
        amounts = ("cpus", "accelerators", "ram_gb")

        def fits(worker):
            held = [t["job"] for t in worker.tasks.values() if t["tide"] != "exited" and t["job"]]
            return all(sum(job[a] for job in held) + need[a] <= worker.type[a] + 1e-6 for a in amounts)

        return sum(w.served_by is not None and fits(w) for w in self.cloud.machines.values() if w.up)

    # -- users ----------------------------------------------------------------

    def job(self, ref, crew, stripe, shape, fronds, cpus, ram_gb, run_s=5.0, **fields):
        """Describe a job and upload it, as its user does before submitting it."""
        body = {
            "ref": ref, "stripe": stripe, "crew": crew, "shape": shape, "urgency": "standard", "fronds": fronds,
            "cpus": cpus, "accelerators": 0.0, "ram_gb": ram_gb, "bundle": f"img-{stripe}", "image_gb": 0.5,
            "hulls": None, "bay": None, "together": False, "apart": False, "driftwood": False,
            "expect_s": 0.0 if shape == "service" else run_s, "mark_s": 0.0, "stow_s": 0.0, "due_s": None,
        } | fields  # fmt: skip
        self.jobs[ref] = {"body": body, "run_s": run_s}
        return body

    async def submit(self, client, ref):
        """Submit as PROTOCOL says: retried for up to 60 s; returns the final status."""
        until = time.monotonic() + 60
        while True:
            reply = await client.request("POST", "/api/jobs", self.jobs[ref]["body"], timeout=5.0)
            self.note(f"submit {ref} at {client.address}: {reply and (reply[0], reply[1])}")
            if reply and reply[0] in (200, 201):
                self.jobs[ref]["accepted_at"] = time.monotonic()
            if (reply and reply[0] in (200, 201, 400, 422)) or time.monotonic() > until:
                return reply and reply[0]
            await asyncio.sleep(max(1.0, min(30.0, float(reply[2].get("retry-after", 1)) if reply else 1.0)))

    async def poll(self, client, ref):
        reply = await client.request("GET", f"/api/jobs/{ref}", timeout=2.0)
        self.note(f"poll {ref} at {client.address}: {reply and (reply[0], reply[1])}")
        return reply

    async def abort(self, client, ref):
        reply = await client.request("POST", f"/api/jobs/{ref}/abort", {}, timeout=5.0)
        self.note(f"abort {ref} at {client.address}: {reply and (reply[0], reply[1])}")
        return reply


def play(plan, file, case):
    """Play `await case(site)`, which returns the text of a broken rule or None; ends the program."""
    site = Site(plan, Path(file).resolve().parent)

    async def run():
        await site.start()
        return await case(site)

    async def main():
        return await asyncio.wait_for(run(), 115)

    code = 2
    loop = asyncio.new_event_loop()
    try:
        broken = loop.run_until_complete(main())
        code = 1 if broken else 0
        site.note(f"RULE BROKEN: {broken}" if broken else "the rule held")
        print(f"RULE BROKEN: {broken}" if broken else "the rule held")
    except (TimeoutError, CannotRun, OSError) as error:
        site.note(f"the case could not run: {error!r}")
        print(f"the case could not run: {error!r}")
    finally:
        site.end()
    sys.stdout.flush()
    os._exit(code)  # without waiting for the stand-ins' open connections


__all__ = ["CAMARA", "PRAIRIE", "TROUBLE", "CannotRun", "Client", "Proxy", "Site", "play"]
