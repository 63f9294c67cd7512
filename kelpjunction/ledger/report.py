"""Renders a self-contained HTML file with the usage, share and factor of each team over time."""

import io
from collections.abc import Mapping
from datetime import UTC, datetime
from typing import NamedTuple

import matplotlib as mpl
from jinja2 import Environment
from matplotlib.figure import Figure

from kelpjunction.ledger.accounts import UNIT_HOUR, Policy, ResourceTime, team_rows
from kelpjunction.ledger.audit import ReplayResult
from kelpjunction.ledger.decay import FIXED_POINT_ONE, steady_state_usage
from kelpjunction.ledger.reader import LedgerContents

_TEMPLATE = Environment(autoescape=True).from_string(
    """<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>Fair-share ledger</title>
<style>
body { font: 15px/1.5 system-ui, sans-serif; max-width: 62rem; margin: 2rem auto; padding: 0 1rem; color: #222 }
table { border-collapse: collapse; width: 100% } th, td { padding: .3rem .6rem; text-align: right }
th:first-child, td:first-child { text-align: left } tr { border-bottom: 1px solid #ddd }
svg { max-width: 100%; height: auto }
.good { color: #176d33 } .bad { color: #a11 }
</style></head><body>
<h1>Fair-share ledger</h1>
<p>Entries {{ first }} to {{ last }}, {{ begin }} to {{ end }}.
Half-life {{ half_life }} h, form {{ form }}, floor {{ floor }}.</p>
{% if fault %}<p class="bad">The audit fails: {{ fault }}.</p>
{% else %}<p class="good">The audit passes: {{ factors }} factors were recomputed and are identical to the bit.</p>
{% endif %}
<table><tr><th>team</th><th>CPU hours</th><th>accelerator hours</th><th>GB hours</th><th>share, CPUs</th>
<th>usage against share</th><th>factor now</th></tr>
{% for t in teams %}<tr><td>{{ t.name }}</td><td>{{ "%.1f" % t.cpus }}</td><td>{{ "%.1f" % t.gpus }}</td>
<td>{{ "%.1f" % t.memory }}</td><td>{{ "%.1f" % t.share }}</td><td>{{ "%.2f" % t.against }}</td>
<td>{{ "%.3f" % t.factor }}</td></tr>
{% endfor %}</table>
<p>Usage against share is 1 for a team that has used exactly its share for a long time.
Work within a team's guarantee keeps its full weight; the factor applies only to work beyond it.</p>
{% for title, picture in pictures %}<h2>{{ title }}</h2>{{ picture | safe }}{% endfor %}
</body></html>
"""
)


class _Point(NamedTuple):
    at: datetime
    amounts: ResourceTime
    share: int
    usage_ratio: float  # decayed usage / steady usage of the share
    factor: float


def _team_histories(contents: LedgerContents) -> tuple[dict[str, list[_Point]], Policy | None]:
    policy = contents.base.policy
    found: dict[str, list[_Point]] = {}
    for entry in contents.entries:
        if entry["kind"] == "settings":
            policy = Policy.parse(entry["policy"])
            continue
        at = datetime.fromtimestamp(entry["t"] / 1000, UTC)
        for name, row in team_rows(entry).items():
            usage_ratio = row.decayed_usage / steady_state_usage(max(1, row.share), policy.half_life)
            found.setdefault(name, []).append(
                _Point(at, row.resource_time, row.share, usage_ratio, row.factor / FIXED_POINT_ONE)
            )
    return found, policy


def _plot_svg(histories: Mapping[str, list[_Point]], label: str, value) -> str:
    figure = Figure(figsize=(10, 3.6), layout="constrained")
    axes = figure.add_subplot()
    for name, points in sorted(histories.items()):
        axes.plot([p.at for p in points], value(points), label=name, linewidth=1.2)
    axes.set_ylabel(label)
    axes.grid(alpha=0.3)
    if histories:
        axes.legend(fontsize="small", ncols=4, loc="upper left")
    out = io.StringIO()
    with mpl.rc_context({"svg.hashsalt": "ledger"}):
        figure.savefig(out, format="svg", metadata={"Date": None})
    text = out.getvalue()
    return text[text.index("<svg") :]


def _cumulative_cpu_hours(points: list[_Point]) -> list[float]:
    total, sums = 0, []
    for point in points:
        total += point.amounts.cpus
        sums.append(total / UNIT_HOUR)
    return sums


def render_report(contents: LedgerContents, replayed: ReplayResult) -> str:
    """The report of a ledger and of its audit, as an HTML document."""
    histories, policy = _team_histories(contents)
    teams = []
    for name, points in sorted(histories.items()):
        sums = ResourceTime(*(sum(each) / UNIT_HOUR for each in zip(*(p.amounts for p in points), strict=True)))
        last = points[-1]
        teams.append({"name": name, **sums._asdict(), "share": last.share / 1000, "against": last.usage_ratio,
                      "factor": last.factor})  # fmt: skip
    times = [entry["t"] for entry in contents.entries] or [0]
    begin, end = (f"{datetime.fromtimestamp(t / 1000, UTC):%Y-%m-%d %H:%M} UTC" for t in (times[0], times[-1]))
    return _TEMPLATE.render(
        first=contents.base.number + 1, last=replayed.base.number, begin=begin, end=end, teams=teams,
        half_life=f"{policy.half_life / 3_600_000:g}" if policy else "-", form=policy.form if policy else "-",
        floor=f"{policy.floor / FIXED_POINT_ONE:.3g}" if policy else "-",
        fault=replayed.fault, factors=replayed.factors,
        pictures=[
            ("CPU hours, summed", _plot_svg(histories, "CPU hours", _cumulative_cpu_hours)),
            ("Usage against share", _plot_svg(histories, "times the share", lambda ps: [p.usage_ratio for p in ps])),
            ("Factor", _plot_svg(histories, "factor", lambda ps: [p.factor for p in ps])),
        ],
    )  # fmt: skip
