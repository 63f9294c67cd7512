"""A controller that holds no block loses the state service and the other controllers: are its users answered?"""

import asyncio
import copy
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common-2"))
from balancer2 import Balancer
from site2 import CAMARA, TROUBLE, Client, play

FAILING_S = 90.0  # `forgotten`: "every poll for it fails for 90 s while most others get answers"
POLL_S = 5.0


class User:
    """One user with one job, who keeps the connection open as PROTOCOL says and polls about every 5 s."""

    def __init__(self, site, balancer, ref):
        self.site, self.ref = site, ref
        self.client = Client(balancer.address)
        self.answered_at, self.failing_since, self.longest_failure = [], None, 0.0

    async def run(self):
        while True:
            began = time.monotonic()
            reply = await self.site.poll(self.client, self.ref)
            now = time.monotonic()
            if reply and reply[0] == 200:
                self.answered_at.append(now)
                self.failing_since = None
            else:
                self.failing_since = self.failing_since or began
                self.longest_failure = max(self.longest_failure, now - self.failing_since)
            await asyncio.sleep(max(0.0, began + POLL_S - time.monotonic()))


def without_workers(site):
    busy = {w.served_by for w in site.cloud.machines.values() if w.up}
    return [] if None in busy else [node for n, node in enumerate(site.nodes) if n not in busy]


async def case(site):
    balancer = Balancer(site)
    await balancer.start()
    await site.until(lambda: all(b.healthy for b in balancer.backends), 10, "all controllers are healthy")
    users = []
    for number in range(len(site.nodes)):
        ref = f"j-{number + 1:06d}"
        site.job(ref, "socios", "portal-socios", "service", 2, 2.0, 3.4, urgency="prod", apart=True)
        users.append(User(site, balancer, ref))
        await site.submit(users[-1].client, ref)
    # The blocks are spread over the controllers in the first seconds.
    await site.until(lambda: len(without_workers(site)) == len(site.nodes) - 3, 12, "each zone has its controller")
    polls = [asyncio.ensure_future(user.run()) for user in users]
    await asyncio.sleep(1.0)
    target = next(n for n in without_workers(site) if any(balancer.node_of(u.client) is n for u in users))
    mine = [u.ref for u in users if balancer.node_of(u.client) is target]
    site.note(f"{target.name} serves no workers; jobs of the users connected to it: {mine}")
    if TROUBLE:
        site.note(f"{target.name} loses the state service and the other controllers")
        target.state_proxy.cut()
        for node in site.nodes:
            for other, proxy in node.sibling_proxies:
                if target in (node, other):
                    proxy.cut()
    cut_at = time.monotonic()
    while time.monotonic() - cut_at < FAILING_S + 6.0:
        await asyncio.sleep(1.0)
        if max(u.longest_failure for u in users) >= FAILING_S:
            break
    for poll in polls:
        poll.cancel()
    forgotten = [u.ref for u in users if u.longest_failure >= FAILING_S]
    answered = [u.ref for u in users if u.longest_failure < POLL_S + 3.0]
    site.note(f"longest time without an answer: { {u.ref: round(u.longest_failure, 1) for u in users} }")
    if forgotten and len(answered) > len(users) / 2:
        return f"forgotten: every poll for {', '.join(forgotten)} failed for 90 s; answered: {', '.join(answered)}"
    return None


plan = copy.deepcopy(CAMARA)
plan["controllers"] = ["rosario", "cordoba", "mendoza", "rosario", "cordoba"]  # five, as in kit/more and kit/next
plan["workers"]["report_s"] = 5.0
play(plan, __file__, case)
