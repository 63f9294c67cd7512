"""Case 1: a late copy of a report from before a restart ends a running attempt; its task is started again elsewhere."""

import sys
import threading
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))

import prairie  # noqa: E402
from standins import CannotRun, Cloud, Controllers, Site, StateService, User, ask, job, main  # noqa: E402

TASK = "j-000001/0"
ZONE = "regina"
RUN_S = 300.0
BACK_S = 6.0  # a controller is back about 6 s after an end


def chip_import(ref):
    return job(
        ref, "chip-import", "results-crew-1", "batch", "standard", 1, 4.0, 0.0, 22.0, "img-2", 0.2, bay=ZONE,
        expect_s=30.0, due_s=78.0,
    )  # fmt: skip


def results_page(ref, crew):
    return job(ref, "results-page", crew, "service", "prod", 2, 2.0, 0.0, 8.1, "img-1", 0.2, apart=True)


def wait_for(what, limit_s, condition):
    until = time.monotonic() + limit_s
    while time.monotonic() < until:
        found = condition()
        if found:
            return found
        time.sleep(0.02)
    raise CannotRun(f"{what}: not within {limit_s} s")


def run(record, trouble):
    site = Site(record, prairie.PARAMS["workers"], fetch_s=0.2)
    state = StateService(prairie.PARAMS["state"])
    cloud = Cloud(site, prairie.HULLS, prairie.CAPACITY, prairie.PARAMS["cloud"]["list_lag_s"], 4.0)
    controllers = Controllers(site, prairie.ZONES, prairie.PARAMS, state, cloud.address)
    workers = [cloud.add(hull, bay, False) for hull, bay in [*prairie.MACHINES, ("small-worker", ZONE)]]
    for name in controllers.files:
        controllers.start(name)
    controllers.wait_until_ready(state, prairie.ZONES)
    user = User(site)
    # The deployment's ordinary work goes on beside it: services on the small machines.
    for n in range(5):
        if not user.submit(results_page(f"j-{100 + n:06d}", f"results-crew-{n}"), None):
            raise CannotRun("a service was not accepted")
    wait_for("services", 20.0, lambda: len(site.starts) >= 10)
    if not user.submit(chip_import("j-000001"), RUN_S):
        raise CannotRun("the job was not accepted")
    wait_for("start", 20.0, lambda: site.on_machine[TASK])
    machine = next(w for w in workers if w.name in site.on_machine[TASK])
    for worker in workers:
        worker.images.add("img-2")  # earlier imports have brought the image to all machines
    wait_for("reports", 60.0, lambda: machine.tally >= 20)

    holder = state.data[f"l/block/{ZONE}"][0]["holder"]
    copies = []
    if trouble:
        arrived = threading.Event()

        def on_report(fields, status):
            """The network keeps a copy of a report that tells of the exit and has arrived at a controller."""
            gone = any(t["frond"] == TASK and t["tide"] == "exited" for t in fields["fronds"])
            if gone and status is not None and status != 200 and fields["helm"]:
                copies.append(fields)
                arrived.set()

        machine.on_answer = on_report
        controllers.kill(holder)
        timer = threading.Timer(BACK_S, controllers.start, [holder])
        timer.daemon = True
        timer.start()
        time.sleep(0.1)
        with machine.lock:
            record("trouble:", machine.name, "fails its task, and is restarted a moment later")
            for key in [k for k in machine.tasks if k[0] == TASK]:
                machine._exit(key, "error")
        if not arrived.wait(2.2):
            raise CannotRun("no report with the exit arrived at another controller")
        machine.restart()
        wait_for("second start on the machine", 30.0, lambda: machine.name in site.on_machine[TASK])
        record("the task runs again on", machine.name)
        numbers = {c["tally"]: c for c in copies}
        record("copies of reports of the earlier process:", sorted(numbers))
        until = time.monotonic() + 60.0
        sent = set()
        while time.monotonic() < until and len(sent) < len(numbers):
            tally = machine.tally
            if tally + 1 in numbers and tally + 1 not in sent:
                time.sleep(0.15)
                if machine.tally == tally:
                    record("a late copy arrives at every controller: session 1, number", tally + 1, "newest is", tally)
                    sent.add(tally + 1)
                    for _, address in site.nodes:
                        record("answer", ask(address, "POST", "/checkin", numbers[tally + 1], timeout=2.0))
            if tally >= max(numbers):
                break
            time.sleep(0.02)
        time.sleep(8.0)
    else:
        time.sleep(40.0)
    record("the task ran twice at once:" if site.ran_twice else "the task never ran twice at once", site.ran_twice)
    if "keep" in sys.argv:
        controllers.keep_logs(FOLDER)
    return not site.ran_twice


if __name__ == "__main__":
    main(FOLDER, run)
