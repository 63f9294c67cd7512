"""A submission with an amount next to zero: do the other jobs still start?"""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common-2"))
from site2 import CAMARA, TROUBLE, Client, play

CPUS = 1e-307  # a decimal number that JSON and the protocol allow; the protocol sets no lower bound
WAIT_S = 90.0  # "none waiting 90 s while a fitting machine has room and its team is under its limit"


async def case(site):
    users = [Client(node.listen) for node in site.nodes]
    # First the machines are shown to run such jobs.
    site.job("j-000001", "socios", "portal-socios", "service", 2, 2.0, 3.4, urgency="prod", apart=True)
    site.job("j-000002", "sistemas", "barrido", "batch", 4, 2.0, 3.6)
    for ref in ("j-000001", "j-000002"):
        await site.submit(users[0], ref)
    await site.until(lambda: all("started_at" in site.jobs[r] for r in ("j-000001", "j-000002")), 15, "first starts")
    watched = ["j-000011", "j-000012"]
    if TROUBLE:
        site.job("j-000010", "analisis", "consultas", "batch", 1, CPUS, 0.45)
        status = await site.submit(users[1], "j-000010")
        if status in (200, 201):
            watched.append("j-000010")
        await asyncio.sleep(1.0)
    site.job("j-000011", "socios", "portal-socios", "service", 2, 2.0, 3.4, urgency="prod", apart=True)
    site.job("j-000012", "sistemas", "barrido", "batch", 4, 2.0, 3.6)
    for ref in watched[:2]:
        await site.submit(users[2], ref)
    limit, least_room = time.monotonic() + WAIT_S + 1.0, 1_000
    while time.monotonic() < limit and not all("started_at" in site.jobs[ref] for ref in watched):
        await asyncio.sleep(5.0)
        for ref in watched:
            await site.poll(users[0], ref)
        room = {ref: site.room(ref) for ref in watched}
        least_room = min([least_room, *(room[ref] for ref in watched if "started_at" not in site.jobs[ref])])
        site.note(f"machines with room for one more task: {room}")
    waiting = [ref for ref in watched if "started_at" not in site.jobs[ref]]
    if waiting and least_room > 0:
        return f"accepted and not started within {WAIT_S:.0f} s, beside machines with room: {', '.join(waiting)}"
    return None


play(CAMARA, __file__, case)
