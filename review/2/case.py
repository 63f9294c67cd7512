"""Case 2: a machine fails every task for a few seconds; a job that fits only that machine is never started again."""

import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))

import prairie  # noqa: E402
from standins import CannotRun, Cloud, Controllers, Site, StateService, User, job, main  # noqa: E402

WAIT_S = 90.0  # protocol-added: no job waits 90 s while a fitting machine has room
RUN_S = 3.0
REF = "j-000001"


def photo_match(ref, crew):
    return job(
        ref, "photo-match", crew, "ensemble", "standard", 1, 43.0, 4.0, 310.0, "img-07", 0.5, bay="regina",
        together=True, expect_s=35.0, mark_s=15.0, stow_s=4.0,
    )  # fmt: skip


def results_page(ref, crew, replicas):
    return job(
        ref,
        "results-page",
        crew,
        "service",
        "prod",
        replicas,
        2.0,
        0.0,
        8.1,
        "img-01",
        0.5,
        apart=True,
        hulls=["small-worker"],
    )


def run(record, trouble):
    site = Site(record, prairie.PARAMS["workers"])
    state = StateService(prairie.PARAMS["state"])
    cloud = Cloud(site, prairie.HULLS, prairie.CAPACITY, prairie.PARAMS["cloud"]["list_lag_s"], 4.0)
    controllers = Controllers(site, prairie.ZONES, prairie.PARAMS, state, cloud.address)
    workers = [cloud.add(hull, bay, False) for hull, bay in prairie.MACHINES]
    big = next(w for w in workers if (w.hull, w.bay) == ("big-box", "regina"))
    for name in controllers.files:
        controllers.start(name)
    controllers.wait_until_ready(state, prairie.ZONES)
    user = User(site)
    # The deployment's ordinary work goes on beside it: services, spread over the zones, on the small machines.
    pages = [f"j-{100 + n:06d}" for n in range(6)]
    for n, ref in enumerate(pages):
        if not user.submit(results_page(ref, f"results-crew-{n}", 2), None):
            raise CannotRun("a service was not accepted")
    until = time.monotonic() + 15.0
    while time.monotonic() < until and len(site.starts) < 2 * len(pages):
        time.sleep(0.1)
    if len(site.starts) < 2 * len(pages):
        raise CannotRun("the services did not start")
    site.starts.clear()
    if trouble:
        big.sick = True
        record("trouble begins: every task that", big.name, "starts fails")
    if not user.submit(photo_match(REF, "results-crew-1"), RUN_S):
        raise CannotRun("the job was not accepted")
    until = time.monotonic() + 15.0
    while time.monotonic() < until and not site.starts:
        time.sleep(0.1)
    if not site.starts:
        raise CannotRun("the job was not started at all")
    time.sleep(0.5)
    if trouble:
        big.sick = False
    over_at = record("trouble is over" if trouble else "no trouble")

    # The rule: from now on the job may not wait for 90 s while the machine that fits it has room.
    waiting_since, last_poll, had_room = record.now(), 0.0, None
    while True:
        time.sleep(0.1)
        now = record.now()
        with big.lock:
            has_room = big.up and big.free[0] >= 43.0 and big.free[1] >= 4.0 and big.free[2] >= 310.0
            is_there = any(held["tide"] != "exited" for held in big.tasks.values())
        if had_room != has_room:
            had_room = has_room
            record(big.name, "has room for the job" if has_room else "has no room for the job")
        if not has_room or is_there:
            waiting_since = now
        if now - last_poll >= 5.0:
            last_poll = now
            status, answer = user.poll(REF)
            if status == 200 and answer["tide"] == "done":
                record("the job is done")
                return True
        if now - waiting_since > WAIT_S + 1.0:
            record(
                f"rule broken: {REF} has waited {now - waiting_since:.1f} s, {now - over_at:.1f} s after the trouble,",
                f"while {big.name} has room; starts of it: {len(site.starts)}; rentals refused: {cloud.refused}",
            )
            controllers.keep_logs(FOLDER) if "keep" in sys.argv else None
            return False


if __name__ == "__main__":
    main(FOLDER, run)
