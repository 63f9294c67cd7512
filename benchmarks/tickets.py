"""Cost of tickets: a mixed run, acceptance compared with native submission, memory, and driving many tickets.

    python benchmarks/tickets.py mixed --tickets 1000 --seed 11
    python benchmarks/tickets.py accept
    python benchmarks/tickets.py memory
    python benchmarks/tickets.py drive --tickets 10000

All commands run in the simulated world on a simulated clock.  Measurements that are compared ran in the same process,
in turns.
"""

import subprocess
import sys
import time
from collections.abc import Callable

import click
import orjson

from kelpjunction.lab.ticket_simulation import TEAMS, TicketSimulation, TicketWorld, ticket
from kelpjunction.tickets import plan
from kelpjunction.tickets.progress import StepState, TicketProgress
from kelpjunction.tickets.records import TICKET_PREFIX, encode_plan, job_ref_seed


@click.group()
def main() -> None:
    pass


@main.command()
@click.option("--tickets", default=1000, show_default=True)
@click.option("--seconds", default=1800.0, show_default=True, help="Of simulated time, in which they are submitted.")
@click.option("--seed", default=11, show_default=True)
def mixed(tickets: int, seconds: float, seed: int) -> None:
    """Run tickets and as many native jobs through kills and outages; exit code 1 if anything is wrong."""
    began = time.perf_counter()
    verdict = TicketSimulation(seed, tickets, seconds).play()
    ends = ", ".join(f"{count} {end}" for end, count in sorted(verdict.ends.items()))
    click.echo(f"{verdict.tickets} tickets, {verdict.runs} runs: {ends}; {verdict.faults} faults")
    click.echo(
        f"ledger equals account: {verdict.ledger == verdict.observed_usage}; {time.perf_counter() - began:.0f} s"
    )
    for problem in verdict.problems:
        click.echo(f"PROBLEM: {problem}")
    sys.exit(0 if verdict.passed else 1)


def _processor_seconds(act: Callable[[], None]) -> float:
    began = time.process_time()
    act()
    return time.process_time() - began


@main.command()
@click.option("--count", default=300, show_default=True, help="Tickets of each kind.")
@click.option("--one-template", is_flag=True, help="All tickets of a kind have the same template.")
def accept(count: int, one_template: bool) -> None:
    """Compare the processor time of accepting tickets with that of submitting the same jobs natively."""
    from kelpjunction.tickets import job_template

    for kind, steps in (("single", 1), ("chain", 3), ("diamond", 4), ("long", 30)):
        world = TicketWorld(gateways=1, machines=3, capacity=3, teams=TEAMS)
        world.run(6)
        desk, intake = world.gateways["gate-0"].ticket_requests, world.nodes["holdfast-0"].intake
        fields = [ticket(kind, "once", n) for n in range(count)]
        if one_template:
            fields = [f | {"template": fields[0]["template"]} for f in fields]
        bodies = [orjson.dumps(f) for f in fields]
        changes: list[str] = []
        world.store.on_set = lambda key, value, changes=changes: changes.append(key)
        taken = _processor_seconds(lambda desk=desk, bodies=bodies: [desk.submit(body) for body in bodies])
        per_ticket = len(changes) / count
        natives = []
        for number in range(count):
            fields = ticket(kind, "once", number)
            read = job_template.resolve(fields["template"], {})
            planned = plan.build_plan(
                f"native-{number}", *read, plan.SubmissionOptions("farm", klass="once", image="img", image_gb=1.0)
            )
            natives += [orjson.dumps(job[2]) for job in planned.record()["jobs"]]
        native = _processor_seconds(lambda intake=intake, natives=natives: [intake.submit(body) for body in natives])
        click.echo(
            f"{kind}: {count / taken:.0f} tickets/s, the same as native jobs {count / native:.0f}/s: ratio"
            f" {native / taken:.2f}; {per_ticket:.1f} changes a ticket instead of {steps}"
        )


@main.command()
def memory() -> None:
    """Print resident memory and processor time after the imports of a node and of a gateway."""
    usage_code = "import resource, time; r = resource.getrusage(resource.RUSAGE_SELF)"
    usage_code += "; print(f'{r.ru_maxrss / 1024:.0f} MB, {time.process_time():.2f} s of processor time')"
    gateway = "import kelpjunction.tickets.gateway"
    for what, imports in (
        ("node", "import kelpjunction.daemon"),
        ("gateway", gateway),
        ("gateway that has read a ticket", f"{gateway}, kelpjunction.tickets.job_template"),
    ):
        done = subprocess.run(
            [sys.executable, "-c", f"{imports}; {usage_code}"], capture_output=True, text=True, check=True
        )
        click.echo(f"{what}: {done.stdout.strip()}")


@main.command()
@click.option("--tickets", default=10_000, show_default=True, help="Chains of three, each with its second step sent.")
def drive(tickets: int) -> None:
    """Time a reconcile pass of the driving gateway by the number of changed runs."""
    world = TicketWorld(gateways=0, machines=3, capacity=3, teams=TEAMS)
    world.run(6)
    now = world.clock.utc()
    steps = [plan.Step(name, 1, depends_on=after) for name, after in (("a", ()), ("b", ("a",)), ("c", ("b",)))]
    states = (StepState.DONE, StepState.SENT, StepState.WAITING)
    refs = []
    for number in range(tickets):
        run = f"t-{number}.1"
        planned = plan.build_plan(job_ref_seed(run, ""), "half done", steps, plan.SubmissionOptions("farm"))
        progress = TicketProgress("once", "farm", now, states, encode_plan(planned), "")
        world.store.handle("POST", "/commit", _commit(TICKET_PREFIX + run, progress.record()))
        spec = planned.record()["jobs"][1][2]
        refs.append(spec["ref"])
        world.store.handle("POST", "/commit", _commit(f"l/job/{spec['ref']}", {"spec": spec, "at": now.timestamp()}))
    gateway = world.start_gateway("gate-0")
    loaded = _processor_seconds(lambda: [gateway.follow(mirror) for mirror in (gateway.jobs, gateway.tickets)])
    gateway.leadership.run_once()
    gateway.leadership.run_once()
    takeover_s = _processor_seconds(lambda: [None for _ in iter(gateway.reconcile, False)])
    click.echo(
        f"{tickets} tickets half done: read in {loaded:.2f} s, all looked at on taking over in {takeover_s:.2f} s"
    )
    for changed in (0, 1, 10, 100):
        for ref in refs[:changed]:
            world.store.handle("POST", "/commit", {"guards": [], "then": [{"delete": f"l/job/{ref}"}]})
            world.store.handle("POST", "/commit", _commit(f"e/{ref}", {"end": "done"}))
        refs = refs[changed:]
        gateway.follow(gateway.jobs)
        examined_before = gateway.reconciler.runs_examined
        step = _processor_seconds(gateway.reconcile)
        click.echo(
            f"{changed} changed: {1000 * step:.2f} ms, {gateway.reconciler.runs_examined - examined_before} looked at"
        )
        gateway.follow(gateway.jobs)
        gateway.follow(gateway.tickets)
        gateway.reconcile()


def _commit(key: str, value: dict) -> dict:
    return {"guards": [], "then": [{"set": key, "data": value}]}


if __name__ == "__main__":
    main()
