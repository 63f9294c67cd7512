"""Case 3: the state service lowers its limits as announced; accepted jobs are never run, or never called done."""

import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))

import prairie  # noqa: E402
from standins import Bucket, CannotRun, Cloud, Controllers, Site, StateService, User, job, main  # noqa: E402

NEXT = {"rps": 250.0, "write_rps": 70.0, "value_kb": 2.0, "txn_ops": 5}
WAIT_S = 90.0  # protocol-added: no job waits 90 s while a fitting machine has room
JOBS = 12


def chip_import(n):
    return job(
        f"j-{n:06d}", "chip-import", f"results-crew-{n % prairie.CREWS}", "batch", "standard", 1, 2.0, 0.0, 4.0,
        "img-02", 0.5, expect_s=30.0, due_s=78.0,
    )  # fmt: skip


def run(record, trouble):
    params = prairie.PARAMS | {"state": prairie.PARAMS["state"] | {"next": NEXT}}
    site = Site(record, params["workers"])
    state = StateService(prairie.PARAMS["state"])
    cloud = Cloud(site, prairie.HULLS, prairie.CAPACITY, params["cloud"]["list_lag_s"], 4.0)
    controllers = Controllers(site, prairie.ZONES, params, state, cloud.address)
    workers = [cloud.add(hull, bay, False) for hull, bay in prairie.MACHINES]
    for name in controllers.files:
        controllers.start(name)
    controllers.wait_until_ready(state, prairie.ZONES)
    user = User(site)
    if not user.submit(chip_import(0), 1.0):
        raise CannotRun("the first job was not accepted")
    time.sleep(4.0)
    if trouble:
        with state.changed:
            state.limits, state.writes = dict(NEXT), Bucket(NEXT["write_rps"])
        record("trouble: the state service has lowered its limits to", NEXT)
    refs = []
    for n in range(1, JOBS + 1):
        refs.append(f"j-{n:06d}")
        if not user.submit(chip_import(n), 3.0):
            raise CannotRun("a job was not accepted")
    waiting_since = dict.fromkeys(refs, record.now())
    told = {}
    last_poll = 0.0
    while True:
        time.sleep(0.1)
        now = record.now()
        small = [w for w in workers if w.hull == "small-worker" and w.up and w.free[0] >= 2.0 and w.free[2] >= 4.0]
        begun = {task.partition("/")[0] for _, task, _, _ in site.starts}
        for ref in refs:
            if ref in begun or not small:
                waiting_since[ref] = now
        if now - last_poll >= 5.0:
            last_poll = now
            told |= {ref: answer.get("tide") for ref in refs for _, answer in [user.poll(ref)] if answer.get("tide")}
            if all(told.get(ref) == "done" for ref in refs):
                return True
        late = [ref for ref in refs if now - waiting_since[ref] > WAIT_S + 1.0]
        if late:
            done = sum(tide == "done" for tide in told.values())
            record(f"rule broken: {late} have waited {WAIT_S + 1} s beside room; {done} of {JOBS} jobs are done")
            return False
        if now > 110.0:
            never = [ref for ref in refs if f"{ref}/0" in site.done and told.get(ref) != "done"]
            record(f"rule broken: {never} are over and not called done")
            return not never


if __name__ == "__main__":
    main(FOLDER, run)
