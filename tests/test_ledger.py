"""The fair-share ledger: its arithmetic, the chain of its entries, and faults.

No fault may lose usage or charge it twice.
"""

from dataclasses import replace
from datetime import timedelta

import orjson
import pytest
from click.testing import CliRunner
from hypothesis import given, settings
from hypothesis import strategies as st

from kelpjunction.cli import main
from kelpjunction.lab.ledger_simulation import LedgerSimulation
from kelpjunction.lab.usage_observer import UsageObserver
from kelpjunction.lab.world import Team, World
from kelpjunction.ledger import archive, reader, writer
from kelpjunction.ledger.accounts import (
    Balance,
    BalancePage,
    LedgerError,
    Policy,
    ResourceTime,
    TeamRow,
    apply_charge,
    close_page,
    closing_entry,
    resource_time,
    settings_entry,
    total_by_team,
)
from kelpjunction.ledger.audit import audit, check_chain, replay
from kelpjunction.ledger.decay import FACTOR_FUNCTIONS, FIXED_POINT_ONE, decay, factor, steady_state_usage
from kelpjunction.ledger.reader import LedgerContents, LedgerSnapshot
from kelpjunction.ledger.report import render_report
from kelpjunction.settings import OperatorSettings, load_operator_settings

DAY = 86_400_000
WEEK = 7 * DAY
TEAMS = {"red": Team("red", 16.0, 0.0, None, None), "blue": Team("blue", 8.0, 2.0, None, None)}


def operators(**changes) -> OperatorSettings:
    defaults = load_operator_settings(None)
    return replace(defaults, ledger=replace(defaults.ledger, enabled=True, **changes))


POLICY = Policy.from_settings(operators().ledger, TEAMS)
settings.register_profile("same", deadline=None, derandomize=True, max_examples=60)  # the same examples in every run
settings.load_profile("same")

# -- arithmetic ---------------------------------------------------------------------


@given(st.integers(0, 2**63), st.integers(0, 50 * WEEK), st.integers(60_000, 13 * WEEK))
def test_decay_halves_and_is_monotone(amount, passed, half_life):
    left = decay(amount, passed, half_life)
    true = amount * 2.0 ** (-passed / half_life)
    assert true * (1 - 1e-9) - 1 <= left <= true * (1 + 1e-9)
    assert decay(amount, half_life, half_life) == amount >> 1
    assert decay(amount, passed + 1, half_life) <= left, "monotone in time"
    assert decay(amount + 1, passed, half_life) >= left, "monotone in the amount"


@pytest.mark.parametrize("form", FACTOR_FUNCTIONS)
@given(decayed=st.integers(0, 2**62), more=st.integers(0, 2**40), share=st.integers(1, 10**7))
def test_factor_falls_with_usage_between_floor_and_one(form, decayed, more, share):
    floor = FIXED_POINT_ONE // 20
    here = factor(form, decayed, share, WEEK, floor)
    assert floor <= factor(form, decayed + more, share, WEEK, floor) <= here <= FIXED_POINT_ONE
    assert factor(form, 0, share, WEEK, floor) == FIXED_POINT_ONE


def test_factor_functions_at_full_use_of_the_share():
    full = steady_state_usage(16_000, WEEK)
    assert [round(form(full, full) / FIXED_POINT_ONE, 6) for form in FACTOR_FUNCTIONS.values()] == [0.5, 0.5, 0.75]


def test_factor_of_idle_team_returns_to_one():
    used = apply_charge(0, 0, resource_time(16.0, 0.0, 0.0, DAY), 16_000, POLICY)
    month = apply_charge(used.decayed_usage, 30 * DAY, ResourceTime(), 16_000, POLICY)
    year = apply_charge(used.decayed_usage, 365 * DAY, ResourceTime(), 16_000, POLICY)
    new = apply_charge(0, DAY, ResourceTime(), 16_000, POLICY)
    assert used.factor < month.factor < new.factor == FIXED_POINT_ONE
    assert year.factor == FIXED_POINT_ONE, "unused share is not saved up: the factor returns to one and no further"


def test_factor_of_heavy_user_falls_gradually_to_a_steady_value():
    factors, decayed = [], 0
    for _ in range(60):
        row = apply_charge(decayed, DAY, resource_time(96.0, 0.0, 0.0, DAY), 8_000, POLICY)
        factors.append(row.factor / FIXED_POINT_ONE)
        decayed = row.decayed_usage
    assert factors == sorted(factors, reverse=True)
    assert 0.4 < factors[0] < 0.6
    assert factors[-1] == pytest.approx(1 / 13, rel=0.05), "steady state at twelve times the share"


# -- entries, their chain and their replay --------------------------------------------

usage_periods = st.lists(
    st.tuples(
        st.integers(1, DAY),
        st.dictionaries(st.sampled_from(["red", "blue", "guest"]),
                        st.tuples(st.integers(0, 10**9), st.integers(0, 10**9)), max_size=3),
    ), min_size=1, max_size=12,
)  # fmt: skip


def build_ledger(steps) -> LedgerContents:
    """Build a ledger with one closing per period.

    A period is the milliseconds since the closing before, and by team the usage of ended jobs and of open ones.
    """
    entries = [settings_entry(1, "", 0, POLICY, "n term 1")]
    page = BalancePage(0, 0, {})
    for passed, now in steps:
        amounts = {team: (ResourceTime(over), ResourceTime(open_)) for team, (over, open_) in now.items()}
        before = page
        page, rows = close_page(page, page.closed_at_ms + passed, page.revision + 1, amounts, POLICY, TEAMS)
        last = entries[-1]
        entries.append(closing_entry(last["n"] + 1, last["hash"], 0, before.closed_at_ms, page, rows, "n term 1"))
    head = {"n": entries[-1]["n"], "hash": entries[-1]["hash"]}
    return LedgerContents(LedgerSnapshot(), [orjson.loads(orjson.dumps(e)) for e in entries], head, {0: page})


@given(usage_periods)
def test_charges_add_up_to_ended_and_open_usage(steps):
    """Conservation: for any periods, the charges add up to the ended usage plus the usage open at the end."""
    ledger = build_ledger(steps)
    sums = total_by_team(ledger.entries)
    for team in ("red", "blue", "guest"):
        ended = sum(now[team][0] for _, now in steps if team in now)
        open_ = steps[-1][1].get(team, (0, 0))[1]
        assert sums.get(team, ResourceTime()).cpus == ended + open_
    assert audit(ledger).fault is None


@given(usage_periods, st.data())
def test_an_entry_that_is_missing_repeated_or_changed_is_named(steps, data):
    ledger = build_ledger(steps)
    entries = ledger.entries
    at = data.draw(st.integers(0, len(entries) - 1))
    kind = data.draw(st.sampled_from(["missing", "repeated", "changed", "swapped"]))
    if kind == "missing":
        entries = entries[:at] + entries[at + 1 :]
    elif kind == "repeated":
        entries = entries[: at + 1] + entries[at:]
    elif kind == "changed":
        entries = [*entries[:at], entries[at] | {"t": entries[at]["t"] + 1}, *entries[at + 1 :]]
    else:
        entries = [*entries[:at], entries[at] | {"hash": "0" * 40}, *entries[at + 1 :]]
    fault = audit(ledger._replace(entries=entries)).fault
    assert fault is not None
    assert fault.number == at + 1 or (kind == "missing" and at == len(entries))


def test_a_forged_entry_with_a_fitting_hash_fails_the_replay():
    """A rewritten chain has valid hashes, but the replay computes other balances from its charges."""
    ledger = build_ledger([(DAY, {"red": (10**9, 0)}), (DAY, {"red": (0, 10**8)})])
    first, second, _ = ledger.entries
    row = list(second["teams"]["red"])
    row[4] -= 1  # one unit less usage than the charges give
    forged = second | {"teams": {"red": row}}
    page = BalancePage(forged["t"], forged["r"], {})
    rows = {"red": TeamRow(ResourceTime(*row[:3]), *row[3:])}
    forged = closing_entry(2, first["hash"], 0, forged["since"], page, rows, forged["by"])
    assert check_chain(LedgerSnapshot(), [first, forged]) is None
    fault = replay(LedgerSnapshot(), [first, forged]).fault
    assert fault.number == 2
    assert "team red" in fault.reason


def test_changed_settings_are_a_separate_entry():
    other = Policy.from_settings(operators(half_life=timedelta(days=1), form="linear").ledger, TEAMS)
    ledger = build_ledger([(DAY, {"red": (10**9, 0)})])
    last = ledger.entries[-1]
    changed = settings_entry(3, last["hash"], last["t"], other, "m term 2")
    page, rows = close_page(ledger.pages[0], 2 * DAY, 9, {"red": (ResourceTime(5), ResourceTime())}, other, TEAMS)
    closing = closing_entry(4, changed["hash"], 0, last["t"], page, rows, "m term 2")
    done = replay(LedgerSnapshot(), [*ledger.entries, changed, closing])
    assert done.fault is None
    assert done.base.policy == other


# -- crashes and faults -------------------------------------------------------------------


def world_with_ledger(**changes) -> tuple[World, UsageObserver]:
    """Start a world that keeps a ledger, with an independent usage observer to compare it with."""
    world = World(machines=6, operators=operators(period=timedelta(seconds=2), **changes))
    account = UsageObserver(world.store, world.clock)
    world.run(6)
    assert world.leader() is not None
    return world, account


def entries(world: World) -> list[dict]:
    return [v[0] for k, v in sorted(world.store.data.items()) if k.startswith(writer.ENTRY_PREFIX)]


def assert_ledger_matches_account(world: World, account: UsageObserver) -> LedgerContents:
    """Wait until all jobs have ended, then check the ledger.

    Its sums must equal the observer's account to the millisecond, and its audit must pass.
    """
    world.filter = lambda source, target, path: None
    assert world.run(
        150, lambda: account.open_row_count() == 0 and not any(k.startswith("l/job/") for k in world.store.data)
    )
    world.run(15)
    ledger = reader.read(next(n.store for n in world.nodes.values() if n is not None))
    sums = total_by_team(ledger.entries)
    own = account.by_team()
    assert own, "no usage was observed, so the comparison would prove nothing"
    assert sums == own
    assert audit(ledger).fault is None
    assert world.broken == []
    return ledger


def submit(world: World, ref: str = "j-1", tasks: int = 5, **fields) -> None:
    assert world.submit(ref, tasks, **({"run_s": 12.0} | fields)) == 201
    assert world.run(8, lambda: world.running(ref) != [])


def test_services_arrays_and_gangs_are_charged_until_they_are_settled():
    world, account = world_with_ledger()
    submit(world, "j-1", 70)
    submit(world, "j-2", 3, shape="ensemble", crew="blue")
    submit(world, "j-3", 2, shape="service", crew="blue")
    world.run(20)
    assert world.abort("j-3") == 200
    assert_ledger_matches_account(world, account)


@pytest.mark.parametrize("fate", ["lost", "answer lost"])
def test_leader_killed_after_closing_of_unknown_outcome(fate):
    """Whether the closing was applied or not, the next leader reads the head and charges missing usage exactly once."""
    world, account = world_with_ledger()
    submit(world)
    leader = world.leader_name()
    failed_commits = []

    def fail_commit(source: str, target: str, path: str) -> str | None:
        node = world.nodes[source] if source == leader else None
        if node is not None and path == "/commit" and closing[0]:
            failed_commits.append(path)
            return fate
        return None

    closing = [False]
    step = world.nodes[leader].ledger_writer.run_once

    def flagged_run_once() -> None:
        closing[0] = True
        step()
        closing[0] = False

    world.nodes[leader].ledger_writer.run_once = flagged_run_once
    world.filter = fail_commit
    assert world.run(8, lambda: failed_commits != [])
    world.kill_node(leader)
    world.run(6)
    assert world.leader_name() not in (None, leader)
    world.start_node(leader)
    assert_ledger_matches_account(world, account)


def test_delayed_closing_is_applied_late_or_never():
    """A delayed closing races with the next one.

    If the delayed one is applied first, the next one fails because the head's version has changed.  If the next one
    is applied first, the delayed one fails.
    """
    world, account = world_with_ledger()
    submit(world, run_s=30.0)
    leader = world.leader()
    closing = [False]
    step = leader.ledger_writer.run_once

    def flagged_run_once() -> None:
        closing[0] = True
        step()
        closing[0] = False

    leader.ledger_writer.run_once = flagged_run_once
    world.late_request_delay_s = (0.05, 6.0)
    world.filter = lambda source, target, path: "held" if path == "/commit" and closing[0] else None
    world.run(25)
    numbers = [e["n"] for e in entries(world)]
    assert numbers == list(range(1, len(numbers) + 1))
    assert_ledger_matches_account(world, account)


def test_leader_term_ending_during_closing_writes_nothing():
    """The leader term ends in the middle of a closing, which goes on under that term and fails by its guards.

    Scheduling rounds once went on like this after their term had ended (inc-7d2c).
    """
    world, account = world_with_ledger()
    submit(world, run_s=20.0)
    leader = world.leader()
    ended = leader.ledger_writer._read_ended_jobs

    def lose_leadership() -> dict:
        found = ended()
        leader.leadership.run_once = lambda: None
        leader.ledger_writer.end()
        return found

    leader.ledger_writer._read_ended_jobs = lose_leadership
    before = [e["n"] for e in entries(world)]
    world.run(3)
    leader.ledger_writer._read_ended_jobs = ended
    assert leader.ledger_writer.state is writer.WriterState.INACTIVE
    world.kill_node(leader.platform.node)
    world.run(6)
    numbers = [e["n"] for e in entries(world)]
    assert numbers == list(range(1, len(numbers) + 1))
    assert len(numbers) > len(before)
    world.start_node(leader.platform.node)
    assert_ledger_matches_account(world, account)


def test_frozen_leader_that_was_superseded_writes_no_entry():
    world, account = world_with_ledger()
    submit(world, run_s=25.0)
    old = world.leader_name()
    world.freeze(old, 8)
    assert world.leader_name() != old or world.nodes[old].ledger_writer.state is writer.WriterState.ACTIVE
    world.run(5)
    owners = [e["by"].split()[0] for e in entries(world)]
    assert len(set(owners)) == 2
    assert owners == sorted(owners, key=lambda o: o != old), "the old leader wrote an entry after the new one"
    assert_ledger_matches_account(world, account)


def test_all_nodes_dead_while_tasks_run_on():
    world, account = world_with_ledger()
    submit(world, tasks=8, run_s=6.0)
    world.fault("kill", "all", 9)
    world.run(12)
    assert_ledger_matches_account(world, account)


def test_task_placed_and_settled_between_closings_across_a_takeover():
    """All nodes that saw the task are gone: the next leader finds its final record by the record's revision."""
    world, account = world_with_ledger(half_life=timedelta(minutes=5))
    for node in world.nodes.values():
        node.ledger_writer.run_once = lambda: None
    submit(world, "j-1", 1, run_s=2.0)
    assert world.run(15, lambda: "e/j-1" in world.store.data)
    before = len(entries(world))
    world.fault("kill", "all", 1)
    world.run(10)
    assert len(entries(world)) > before
    ledger = assert_ledger_matches_account(world, account)
    assert total_by_team(ledger.entries)["red"].cpus > 0


def test_ledger_rereads_store_that_lost_its_change_history():
    world, account = world_with_ledger()
    for node in world.nodes.values():
        node.ledger_writer.run_once = lambda: None
    submit(world, "j-1", 3, run_s=2.0)
    assert world.run(15, lambda: "e/j-1" in world.store.data)
    world.fault("kill", "all", 1)
    world.store.compact()
    world.run(10)
    assert_ledger_matches_account(world, account)


def test_block_handover_and_store_outage_while_tasks_run():
    world, account = world_with_ledger()
    submit(world, tasks=8, run_s=20.0)
    holder = next(n for n in world.node_names if n != world.leader_name())
    world.kill_node(holder)
    world.run(4)
    world.fault("outage", "", 9)
    world.run(12)
    world.start_node(holder)
    assert_ledger_matches_account(world, account)


def test_leader_with_wall_clock_behind_last_entry_closes_later():
    world, account = world_with_ledger()
    submit(world, run_s=25.0)
    assert world.run(10, lambda: len(entries(world)) >= 3)
    last = entries(world)[-1]["t"]
    world.kill_node(world.leader_name())
    for node in world.nodes.values():
        if node is not None:
            node.ledger_writer._clock = LaggingClock(world.clock)
    world.run(6)
    assert world.leader_name() is not None
    assert entries(world)[-1]["t"] == last
    world.run(10)
    times = [e["t"] for e in entries(world)]
    assert times == sorted(times)
    assert times[-1] > last
    for node in world.nodes.values():
        if node is not None:
            node.ledger_writer._clock = world.clock
    assert_ledger_matches_account(world, account)


class LaggingClock:
    """A clock whose wall time is ten seconds behind that of the other clocks."""

    def __init__(self, clock) -> None:
        self._clock = clock

    def steady(self):
        return self._clock.steady()

    def utc(self):
        return self._clock.utc() - timedelta(seconds=10)


def test_team_removed_and_added_again_keeps_its_usage():
    world, account = world_with_ledger()
    submit(world, "j-1", 4, crew="blue", run_s=4.0)
    world.run(15)
    used = [e for e in entries(world) if "blue" in e.get("teams", {})][-1]["teams"]["blue"][4]
    teams, world.teams = world.teams, tuple(t for t in world.teams if t.name != "blue")
    world.fault("kill", "all", 1)
    world.run(8)
    submit(world, "j-2", 4, run_s=4.0)
    world.run(10)
    world.teams = teams
    world.fault("kill", "all", 1)
    world.run(8)
    submit(world, "j-3", 4, crew="blue", run_s=4.0)
    ledger = assert_ledger_matches_account(world, account)
    decayed = [row[4] for e in ledger.entries if (row := e.get("teams", {}).get("blue"))]
    assert decayed[-1] > used


def test_changed_weights_and_half_life_while_tasks_run_lose_no_usage():
    """Amounts are kept by resource, so changed weights do not change the weighted usage of open jobs."""
    world, account = world_with_ledger()
    submit(world, tasks=6, run_s=25.0)
    assert world.run(10, lambda: len(entries(world)) >= 3)
    weights = {"cpu": 3.0, "accelerator": 10.0, "memory_gb": 0.5}
    world.operators = operators(period=timedelta(seconds=2), half_life=timedelta(hours=1), weights=weights)
    world.fault("kill", "all", 1)
    ledger = assert_ledger_matches_account(world, account)
    policies = [e["policy"] for e in ledger.entries if e["kind"] == "settings"]
    assert [policy["weights"] for policy in policies] == [[1000, 10_000, 0], [3000, 10_000, 500]]
    assert [policy["half_life"] for policy in policies] == [WEEK, 3_600_000]


@pytest.mark.parametrize("run", [3.0, 6.0, 9.0, 12.0])
def test_last_job_is_charged_without_a_later_change(run):
    """A job that ends before the next closing is due must be charged even if nothing changes afterwards.

    Such a job was once looked at again only after another change.
    """
    world = World(machines=6, operators=operators(period=timedelta(seconds=20)))
    account = UsageObserver(world.store, world.clock)
    world.run(6)
    submit(world, run_s=run)
    assert world.run(60, lambda: world.poll("j-1") == "done")
    world.run(40)
    sums = {team: amounts for team, amounts in total_by_team(entries(world)).items() if any(amounts)}
    assert sums == account.by_team() != {}


def test_idle_cluster_writes_no_entries():
    world, account = world_with_ledger()
    submit(world, run_s=4.0)
    assert_ledger_matches_account(world, account)
    before = len(entries(world))
    world.run(60)
    assert len(entries(world)) == before


def test_thousand_teams_fit_store_limits_and_takeover_reads_only_pages():
    teams = tuple(Team(f"team-{n:04d}", 1.0, 0.0, None, None) for n in range(1000))
    world = World(machines=3, teams=teams, operators=operators(period=timedelta(seconds=2)))
    world.run(6)
    leader = world.leader()
    for n in range(1000):
        record = {
            "end": "done",
            "held": {"team": f"team-{n:04d}", "cpus": 2.0, "gpus": 0.0, "memory": 4.0, "ms": 1000 + n},
        }
        assert leader.store.commit({}, {f"e/j-{n}": record}).revision
    world.run(150)
    pages = [v[0] for k, v in world.store.data.items() if k.startswith(writer.PAGE_PREFIX)]
    assert sum(len(p["teams"]) for p in pages) == 1000
    assert total_by_team(entries(world)) == {
        f"team-{n:04d}": resource_time(2.0, 0.0, 4.0, 1000 + n) for n in range(1000)
    }
    asked = []
    world.filter = lambda source, target, path: asked.append(path) if "u%2F" in path else None
    world.kill_node(leader.platform.node)
    world.run(5)
    assert world.leader() is not None
    assert [path.split("&")[0] for path in asked] == ["/store?prefix=u%2Fpage%2F"]


@pytest.mark.parametrize("seed", [1, 2])
def test_simulated_days_of_eight_teams_with_kills_freezes_and_outages(seed):
    """A shorter run of `benchmarks/ledger.py weeks`."""
    check = LedgerSimulation(seed, timedelta(days=4), day_speed=1440).play()
    assert check.ledger == check.observed_usage
    assert check.replayed.fault is None
    assert check.problems == []
    assert check.broken == []
    assert (check.faults > 3, check.priorities_compared > 20, len(check.observed_usage) > 5) == (True, True, True)


# -- commands -------------------------------------------------------------------------------


def invoke(*args: str):
    return CliRunner().invoke(main, ["ledger", *args])


def test_exported_ledger_is_audited_replayed_and_reported_offline(tmp_path):
    ledger = build_ledger([(DAY, {"red": (10**9, 5)}), (DAY, {"blue": (0, 7)}), (DAY, {"blue": (9, 0)})])
    file = tmp_path / "usage.parquet"
    archive.write(file, ledger.base, ledger.entries)
    assert archive.read(file) == LedgerContents(ledger.base, ledger.entries)
    assert invoke("audit", "--file", str(file)).exit_code == 0
    shown = orjson.loads(invoke("show", "--file", str(file), "--json").stdout)
    assert set(shown["teams"]) == {"red", "blue"}
    page = render_report(ledger, audit(ledger))
    assert page.count("<svg") == 3
    assert "http://" not in page.replace("http://www.w3.org", "").replace("http://purl.org", "").replace(
        "http://creativecommons.org", ""), "the page refers to an external resource"  # fmt: skip
    changed = [*ledger.entries[:2], ledger.entries[2] | {"t": 5}, *ledger.entries[3:]]
    archive.write(file, ledger.base, changed)
    result = invoke("replay", "--file", str(file))
    assert (result.exit_code, "entry 3" in result.stderr) == (1, True)


@pytest.mark.parametrize(
    ("content", "said"), [(b"", "usage.parquet"), (b"PAR1nonsense", "usage.parquet"), (None, "not an exported ledger")]
)
def test_a_bad_file_is_refused_by_name(tmp_path, content, said):
    file = tmp_path / "usage.parquet"
    if content is None:
        archive.pq.write_table(archive.pa.table({"n": [1]}), file)
    else:
        file.write_bytes(content)
    result = invoke("audit", "--file", str(file))
    assert result.exit_code == 2
    assert said in result.stderr


def test_compacted_entries_become_balances_and_later_entries_still_replay():
    world, account = world_with_ledger()
    submit(world, "j-1", 4, run_s=4.0)
    world.run(15)
    store = world.leader().store
    ledger = reader.read(store)
    base = replay(ledger.base, ledger.entries[:-1]).base
    assert reader.compact(store, base) == base.number
    submit(world, "j-2", 4, crew="blue", run_s=4.0)
    world.run(25)
    rest = reader.read(store)
    assert rest.base.number == base.number
    assert audit(rest).fault is None
    with pytest.raises(LedgerError, match="were archived before"):
        reader.compact(store, base)
    assert total_by_team(ledger.entries[:-1])["red"] + total_by_team(rest.entries)["red"] == account.by_team()["red"]
    assert Balance() == Balance(ResourceTime(), 0, FIXED_POINT_ONE)
