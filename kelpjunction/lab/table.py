"""The lab's table: teams, machines, jobs, leader and blocks."""

from rich.console import Group
from rich.table import Table

MAX_JOBS_SHOWN = 15


def _table(title: str, *columns: str) -> Table:
    table = Table(title=title, title_justify="left", expand=True)
    for column in columns:
        table.add_column(column)
    return table


def render(status: dict) -> Group:
    """Render the result of `LiveSite.status` for a terminal."""
    nodes = _table(f"Nodes, state service {status['state']}", "node", "process", "leads", "blocks")
    for name, state in status["nodes"].items():
        blocks = ", ".join(zone for zone, holder in status["blocks"].items() if holder == name)
        nodes.add_row(name, state, "leader" if status["leader"] == name else "", blocks)
    teams = _table("Teams", "team", "CPUs in use", "guaranteed", "limit")
    for name, team in status["teams"].items():
        limit = "none" if team["limit"] is None else f"{team['limit']:g}"
        teams.add_row(name, f"{team['cpus']:g}", f"{team['guaranteed']:g}", limit)
    zones = _table("Machines", "zone", "alive")
    for zone, count in status["machines"].items():
        zones.add_row(zone, str(count))
    jobs = _table(f"Jobs: {len(status['jobs'])} live, {len(status['ended'])} ended", "job", "team", "shape", "running")
    for ref, job in list(status["jobs"].items())[-MAX_JOBS_SHOWN:]:
        jobs.add_row(ref, job["team"], job["shape"], f"{job['running']} of {job['tasks']}")
    broken = [f"[red]broken: {rule}[/red]" for rule in status["broken"][-3:]]
    return Group(nodes, teams, zones, jobs, *broken)
