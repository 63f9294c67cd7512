"""Case 3: the state service answers one controller slowly; it starts jobs whose users were told: cancelled."""

import sys
import threading
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))

import prairie  # noqa: E402
from standins import CannotRun, Cloud, Controllers, Site, StateService, User, job, main  # noqa: E402

JOBS, PER_SECOND = 160, 4.0  # "one-task jobs come four a second for minutes, a quarter of them cancelled"
SLOW_S = (0.3, 0.6)  # "normally take under 10 ms, and now and then a few hundred"
ON_ITS_WAY_S = 0.1  # a command that was sent before the user was told has arrived by then: all addresses are loopback
FETCH_S = 0.05
ZONE = "brandon"


def one_task(n, bay=None):
    return job(
        f"j-{n:06d}", "chip-import", f"results-crew-{n % prairie.CREWS}", "batch", "standard", 1, 2.0, 0.0, 4.0,
        "img-02", 0.05, bay=bay, expect_s=30.0, due_s=78.0,
    )  # fmt: skip


def run(record, trouble):
    site = Site(record, prairie.PARAMS["workers"], fetch_s=FETCH_S)
    state = StateService(prairie.PARAMS["state"])
    cloud = Cloud(site, prairie.HULLS, prairie.CAPACITY, prairie.PARAMS["cloud"]["list_lag_s"], 4.0)
    controllers = Controllers(site, prairie.ZONES, prairie.PARAMS, state, cloud.address)
    for hull, bay in prairie.MACHINES:
        cloud.add(hull, bay, False)
    for name in controllers.files:
        controllers.start(name)
    controllers.wait_until_ready(state, prairie.ZONES)
    user, told = User(site), {}
    if not user.submit(one_task(0), 2.0):
        raise CannotRun("the first job was not accepted")
    time.sleep(3.0)

    # One controller serves the zone of the jobs that are cancelled.
    busiest = state.data[f"l/block/{ZONE}"][0]["holder"]
    if trouble:
        controllers.links[busiest].delay_s = lambda method, path, body: site.random.uniform(*SLOW_S)
        record(f"trouble begins: the state service's answers to {busiest} take {SLOW_S} s")

    def cancel_when_running(n):
        """A user who submits, asks until the job runs, and then cancels it; each time on any node."""
        ref = f"j-{n:06d}"
        if not user.submit(one_task(n, ZONE), 20.0):
            return
        until = time.monotonic() + 15.0
        while time.monotonic() < until:
            status, answer = user.poll(ref)
            if status == 200 and answer["tide"] == "running":
                tide, at = user.cancel(ref)
                if tide == "withdrawn":
                    told[ref] = at
                return
            time.sleep(0.1)

    threads = []
    for n in range(1, JOBS + 1):
        target, args = (cancel_when_running, (n,)) if n % 4 == 0 else (user.submit, (one_task(n), 2.0))
        threads.append(threading.Thread(target=target, args=args, daemon=True))
        threads[-1].start()
        time.sleep(1 / PER_SECOND)
    for thread in threads:
        thread.join(30.0)
    time.sleep(3.0)

    broken, first = [], {}
    for at, way, report_sent_at, machine, verb, task, attempt in site.commands:
        if verb == "run":
            first.setdefault((task, attempt), (at, way, report_sent_at, machine))
    begun = {(task, attempt): at for at, task, attempt, _ in site.starts}
    for (task, attempt), (at, way, report_sent_at, machine) in first.items():
        told_at = told.get(task.partition("/")[0])
        if told_at is None or (task, attempt) not in begun:
            continue
        # A command in an answer was sent after its report; one sent directly has arrived within ON_ITS_WAY_S.
        sent_after = report_sent_at if report_sent_at is not None else at - ON_ITS_WAY_S
        if sent_after > told_at:
            broken.append(task)
            record(
                f"rule broken: {task} was started on {machine} ({way}) {at - told_at:.3f} s after its user was told",
                f"that it is cancelled; it was on the machine from {begun[task, attempt]:.3f} s on",
            )
    record(f"{len(told)} jobs were cancelled while they were called running; {len(broken)} were started after that")
    if len(told) < JOBS // 16:
        raise CannotRun("too few jobs were cancelled")
    if "keep" in sys.argv:
        controllers.keep_logs(FOLDER)
    return not broken


if __name__ == "__main__":
    main(FOLDER, run)
