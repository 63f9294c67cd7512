"""The fair-share ledger: arithmetic, the chain of entries, and failures that must neither lose nor double usage."""

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
    close,
    closing_entry,
    resource_time,
    settings_entry,
    total,
)
from kelpjunction.ledger.audit import audit, check_chain, replay
from kelpjunction.ledger.decay import FACTOR_FUNCTIONS, FIXED_POINT_ONE, decay, factor, steady_state_usage
from kelpjunction.ledger.reader import LedgerContents, LedgerSnapshot
from kelpjunction.ledger.report import html
from kelpjunction.settings import OperatorSettings, load_operator_settings

DAY = 86_400_000
WEEK = 7 * DAY
TEAMS = {"red": Team("red", 16.0, 0.0, None, None), "blue": Team("blue", 8.0, 2.0, None, None)}


def operators(**changes) -> OperatorSettings:
    usual = load_operator_settings(None)
    return replace(usual, ledger=replace(usual.ledger, enabled=True, **changes))


POLICY = Policy.of(operators().ledger, TEAMS)
settings.register_profile("same", deadline=None, derandomize=True, max_examples=60)  # the same verdict every run
settings.load_profile("same")

# -- arithmetic ---------------------------------------------------------------------


@given(st.integers(0, 2**63), st.integers(0, 50 * WEEK), st.integers(60_000, 13 * WEEK))
def test_fading_halves_and_is_monotone(amount, passed, half_life):
    left = decay(amount, passed, half_life)
    true = amount * 2.0 ** (-passed / half_life)
    assert true * (1 - 1e-9) - 1 <= left <= true * (1 + 1e-9)
    assert decay(amount, half_life, half_life) == amount >> 1
    assert decay(amount, passed + 1, half_life) <= left, "monotone in time"
    assert decay(amount + 1, passed, half_life) >= left, "monotone in the amount"


@pytest.mark.parametrize("form", FACTOR_FUNCTIONS)
@given(faded=st.integers(0, 2**62), more=st.integers(0, 2**40), share=st.integers(1, 10**7))
def test_the_factor_falls_with_usage_between_the_floor_and_one(form, faded, more, share):
    floor = FIXED_POINT_ONE // 20
    here = factor(form, faded, share, WEEK, floor)
    assert floor <= factor(form, faded + more, share, WEEK, floor) <= here <= FIXED_POINT_ONE
    assert factor(form, 0, share, WEEK, floor) == FIXED_POINT_ONE


def test_the_forms_at_a_share_used_in_full():
    full = steady_state_usage(16_000, WEEK)
    assert [round(form(full, full) / FIXED_POINT_ONE, 6) for form in FACTOR_FUNCTIONS.values()] == [0.5, 0.5, 0.75]


def test_a_team_that_was_away_for_a_month_stands_where_a_new_one_stands():
    used = apply_charge(0, 0, resource_time(16.0, 0.0, 0.0, DAY), 16_000, POLICY)
    month = apply_charge(used.decayed_usage, 30 * DAY, ResourceTime(), 16_000, POLICY)
    year = apply_charge(used.decayed_usage, 365 * DAY, ResourceTime(), 16_000, POLICY)
    new = apply_charge(0, DAY, ResourceTime(), 16_000, POLICY)
    assert used.factor < month.factor < new.factor == FIXED_POINT_ONE
    assert year.factor == FIXED_POINT_ONE, "no banking: it only comes back to one"


def test_a_heavy_user_yields_gradually_and_is_not_starved():
    factors, faded = [], 0
    for _ in range(60):
        row = apply_charge(faded, DAY, resource_time(96.0, 0.0, 0.0, DAY), 8_000, POLICY)
        factors.append(row.factor / FIXED_POINT_ONE)
        faded = row.decayed_usage
    assert factors == sorted(factors, reverse=True)
    assert 0.4 < factors[0] < 0.6
    assert factors[-1] == pytest.approx(1 / 13, rel=0.05), "twelve times its share for long"


# -- entries, their chain and their replay --------------------------------------------

stretches = st.lists(
    st.tuples(
        st.integers(1, DAY),
        st.dictionaries(st.sampled_from(["red", "blue", "guest"]),
                        st.tuples(st.integers(0, 10**9), st.integers(0, 10**9)), max_size=3),
    ), min_size=1, max_size=12,
)  # fmt: skip


def ledger_of(steps) -> LedgerContents:
    """A ledger of these stretches: (ms passed, what each team's jobs held that ended, and have open)."""
    entries = [settings_entry(1, "", 0, POLICY, "n term 1")]
    page = BalancePage(0, 0, {})
    for passed, now in steps:
        amounts = {team: (ResourceTime(over), ResourceTime(open_)) for team, (over, open_) in now.items()}
        before = page
        page, rows = close(page, page.closed_at_ms + passed, page.revision + 1, amounts, POLICY, TEAMS)
        last = entries[-1]
        entries.append(closing_entry(last["n"] + 1, last["hash"], 0, before.closed_at_ms, page, rows, "n term 1"))
    head = {"n": entries[-1]["n"], "hash": entries[-1]["hash"]}
    return LedgerContents(LedgerSnapshot(), [orjson.loads(orjson.dumps(e)) for e in entries], head, {0: page})


@given(stretches)
def test_what_is_charged_is_what_ended_and_what_is_open(steps):
    """Conservation: whatever the stretches are, charges add up to what ended plus what is open at the end."""
    books = ledger_of(steps)
    sums = total(books.entries)
    for team in ("red", "blue", "guest"):
        ended = sum(now[team][0] for _, now in steps if team in now)
        open_ = steps[-1][1].get(team, (0, 0))[1]
        assert sums.get(team, ResourceTime()).cpus == ended + open_
    assert audit(books).fault is None


@given(stretches, st.data())
def test_an_entry_that_is_missing_repeated_or_changed_is_named(steps, data):
    books = ledger_of(steps)
    entries = books.entries
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
    fault = audit(books._replace(entries=entries)).fault
    assert fault is not None
    assert fault.number == at + 1 or (kind == "missing" and at == len(entries))


def test_a_forged_entry_with_a_fitting_hash_fails_the_replay():
    """Whoever rewrites the whole chain still cannot make a balance follow from other charges."""
    books = ledger_of([(DAY, {"red": (10**9, 0)}), (DAY, {"red": (0, 10**8)})])
    first, second, _ = books.entries
    row = list(second["teams"]["red"])
    row[4] -= 1  # a little less usage than the charges lead to
    forged = second | {"teams": {"red": row}}
    page = BalancePage(forged["t"], forged["r"], {})
    rows = {"red": TeamRow(ResourceTime(*row[:3]), *row[3:])}
    forged = closing_entry(2, first["hash"], 0, forged["since"], page, rows, forged["by"])
    assert check_chain(LedgerSnapshot(), [first, forged]) is None
    fault = replay(LedgerSnapshot(), [first, forged]).fault
    assert fault.number == 2
    assert "team red" in fault.why


def test_settings_that_change_while_it_runs_are_entries_of_their_own():
    other = Policy.of(operators(half_life=timedelta(days=1), form="linear").ledger, TEAMS)
    books = ledger_of([(DAY, {"red": (10**9, 0)})])
    last = books.entries[-1]
    changed = settings_entry(3, last["hash"], last["t"], other, "m term 2")
    page, rows = close(books.pages[0], 2 * DAY, 9, {"red": (ResourceTime(5), ResourceTime())}, other, TEAMS)
    closing = closing_entry(4, changed["hash"], 0, last["t"], page, rows, "m term 2")
    done = replay(LedgerSnapshot(), [*books.entries, changed, closing])
    assert done.fault is None
    assert done.base.policy == other


# -- kept through any crash --------------------------------------------------------------


def ledger_world(**changes) -> tuple[World, UsageObserver]:
    """A world that keeps a ledger, with the rig's own account beside it."""
    world = World(machines=6, operators=operators(period=timedelta(seconds=2), **changes))
    account = UsageObserver(world.store, world.clock)
    world.run(6)
    assert world.leader() is not None
    return world, account


def entries(world: World) -> list[dict]:
    return [v[0] for k, v in sorted(world.store.data.items()) if k.startswith(writer.ENTRY_PREFIX)]


def assert_ledger_matches_account(world: World, account: UsageObserver) -> LedgerContents:
    """Let everything end; the ledger must say what the account says, to the millisecond, and hold its audit."""
    world.filter = lambda source, target, path: None
    assert world.run(
        150, lambda: account.open_row_count() == 0 and not any(k.startswith("l/job/") for k in world.store.data)
    )
    world.run(15)
    books = reader.read(next(n.store for n in world.nodes.values() if n is not None))
    sums = total(books.entries)
    own = account.by_team()
    assert own, "something must have run"
    assert sums == own
    assert audit(books).fault is None
    assert world.broken == []
    return books


def submit(world: World, ref: str = "j-1", tasks: int = 5, **fields) -> None:
    assert world.submit(ref, tasks, **({"run_s": 12.0} | fields)) == 201
    assert world.run(8, lambda: world.running(ref) != [])


def test_services_arrays_and_gangs_are_charged_until_they_are_settled():
    world, account = ledger_world()
    submit(world, "j-1", 70)
    submit(world, "j-2", 3, shape="ensemble", crew="blue")
    submit(world, "j-3", 2, shape="service", crew="blue")
    world.run(20)
    assert world.abort("j-3") == 200
    assert_ledger_matches_account(world, account)


@pytest.mark.parametrize("fate", ["lost", "answer lost"])
def test_leader_is_killed_after_a_closing_of_unknown_outcome(fate):
    """Applied or not: the next leader reads the head and charges what is missing, once."""
    world, account = ledger_world()
    submit(world)
    leader = world.leader_name()
    struck = []

    def strike(source: str, target: str, path: str) -> str | None:
        node = world.nodes[source] if source == leader else None
        if node is not None and path == "/commit" and closing[0]:
            struck.append(path)
            return fate
        return None

    closing = [False]
    step = world.nodes[leader].ledger_keeper.run_once

    def noticed() -> None:
        closing[0] = True
        step()
        closing[0] = False

    world.nodes[leader].ledger_keeper.run_once = noticed
    world.filter = strike
    assert world.run(8, lambda: struck != [])
    world.kill_node(leader)
    world.run(6)
    assert world.leader_name() not in (None, leader)
    world.start_node(leader)
    assert_ledger_matches_account(world, account)


def test_a_closing_that_was_held_back_is_applied_late_or_never():
    """It is applied before the next one, which then fails by the head's version, or cannot be applied after it."""
    world, account = ledger_world()
    submit(world, run_s=30.0)
    leader = world.leader()
    closing = [False]
    step = leader.ledger_keeper.run_once

    def noticed() -> None:
        closing[0] = True
        step()
        closing[0] = False

    leader.ledger_keeper.run_once = noticed
    world.late_request_delay_s = (0.05, 6.0)
    world.filter = lambda source, target, path: "held" if path == "/commit" and closing[0] else None
    world.run(25)
    numbers = [e["n"] for e in entries(world)]
    assert numbers == list(range(1, len(numbers) + 1))
    assert_ledger_matches_account(world, account)


def test_leader_term_ending_during_closing_writes_nothing():
    """As rounds did once (inc-7d2c): what was begun under a reign goes on with it, and fails by its guards."""
    world, account = ledger_world()
    submit(world, run_s=20.0)
    leader = world.leader()
    ended = leader.ledger_keeper._read_ended

    def superseded() -> dict:
        found = ended()
        leader.leadership.run_once = lambda: None
        leader.ledger_keeper.end()
        return found

    leader.ledger_keeper._read_ended = superseded
    before = [e["n"] for e in entries(world)]
    world.run(3)
    leader.ledger_keeper._read_ended = ended
    assert leader.ledger_keeper.state is writer.WriterState.INACTIVE
    world.kill_node(leader.platform.node)
    world.run(6)
    numbers = [e["n"] for e in entries(world)]
    assert numbers == list(range(1, len(numbers) + 1))
    assert len(numbers) > len(before)
    world.start_node(leader.platform.node)
    assert_ledger_matches_account(world, account)


def test_superseded_leader_that_stood_still_closes_nothing():
    world, account = ledger_world()
    submit(world, run_s=25.0)
    old = world.leader_name()
    world.freeze(old, 8)
    assert world.leader_name() != old or world.nodes[old].ledger_keeper.state is writer.WriterState.ACTIVE
    world.run(5)
    owners = [e["by"].split()[0] for e in entries(world)]
    assert len(set(owners)) == 2
    assert owners == sorted(owners, key=lambda o: o != old), "the old one wrote nothing after the new one"
    assert_ledger_matches_account(world, account)


def test_all_nodes_dead_while_tasks_run_on():
    world, account = ledger_world()
    submit(world, tasks=8, run_s=6.0)
    world.fault("kill", "all", 9)
    world.run(12)
    assert_ledger_matches_account(world, account)


def test_a_task_placed_and_settled_between_two_closings_with_a_takeover_between():
    """The nodes that saw it are all gone: its final record tells the next leader, by its revision."""
    world, account = ledger_world(half_life=timedelta(minutes=5))
    for node in world.nodes.values():
        node.ledger_keeper.run_once = lambda: None
    submit(world, "j-1", 1, run_s=2.0)
    assert world.run(15, lambda: "e/j-1" in world.store.data)
    before = len(entries(world))
    world.fault("kill", "all", 1)
    world.run(10)
    assert len(entries(world)) > before
    books = assert_ledger_matches_account(world, account)
    assert total(books.entries)["red"].cpus > 0


def test_ledger_rereads_store_that_lost_its_change_history():
    world, account = ledger_world()
    for node in world.nodes.values():
        node.ledger_keeper.run_once = lambda: None
    submit(world, "j-1", 3, run_s=2.0)
    assert world.run(15, lambda: "e/j-1" in world.store.data)
    world.fault("kill", "all", 1)
    world.store.compact()
    world.run(10)
    assert_ledger_matches_account(world, account)


def test_block_handed_over_while_tasks_run_and_an_outage_of_the_state_service():
    world, account = ledger_world()
    submit(world, tasks=8, run_s=20.0)
    holder = next(n for n in world.node_names if n != world.leader_name())
    world.kill_node(holder)
    world.run(4)
    world.fault("outage", "", 9)
    world.run(12)
    world.start_node(holder)
    assert_ledger_matches_account(world, account)


def test_a_leader_whose_time_of_day_is_behind_the_last_entry_closes_later():
    world, account = ledger_world()
    submit(world, run_s=25.0)
    assert world.run(10, lambda: len(entries(world)) >= 3)
    last = entries(world)[-1]["t"]
    world.kill_node(world.leader_name())
    for node in world.nodes.values():
        if node is not None:
            node.ledger_keeper._clock = LaggingClock(world.clock)
    world.run(6)
    assert world.leader_name() is not None
    assert entries(world)[-1]["t"] == last
    world.run(10)
    times = [e["t"] for e in entries(world)]
    assert times == sorted(times)
    assert times[-1] > last
    for node in world.nodes.values():
        if node is not None:
            node.ledger_keeper._clock = world.clock
    assert_ledger_matches_account(world, account)


class LaggingClock:
    """A time of day ten seconds behind the others'."""

    def __init__(self, clock) -> None:
        self._clock = clock

    def steady(self):
        return self._clock.steady()

    def utc(self):
        return self._clock.utc() - timedelta(seconds=10)


def test_a_team_that_is_removed_and_comes_back_keeps_its_account():
    world, account = ledger_world()
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
    books = assert_ledger_matches_account(world, account)
    faded = [row[4] for e in books.entries if (row := e.get("teams", {}).get("blue"))]
    assert faded[-1] > used


def test_weights_and_half_life_that_change_while_tasks_run_are_an_entry_and_lose_nothing():
    """Amounts are kept by resource, so that what is open is not weighed anew with other weights."""
    world, account = ledger_world()
    submit(world, tasks=6, run_s=25.0)
    assert world.run(10, lambda: len(entries(world)) >= 3)
    weights = {"cpu": 3.0, "accelerator": 10.0, "memory_gb": 0.5}
    world.operators = operators(period=timedelta(seconds=2), half_life=timedelta(hours=1), weights=weights)
    world.fault("kill", "all", 1)
    books = assert_ledger_matches_account(world, account)
    said = [e["policy"] for e in books.entries if e["kind"] == "settings"]
    assert [policy["weights"] for policy in said] == [[1000, 10_000, 0], [3000, 10_000, 500]]
    assert [policy["half_life"] for policy in said] == [WEEK, 3_600_000]


@pytest.mark.parametrize("run", [3.0, 6.0, 9.0, 12.0])
def test_the_last_job_of_a_day_is_closed_though_nothing_follows(run):
    """It ended sooner after a closing than the next was due, and was looked at again only once something changed."""
    world = World(machines=6, operators=operators(period=timedelta(seconds=20)))
    account = UsageObserver(world.store, world.clock)
    world.run(6)
    submit(world, run_s=run)
    assert world.run(60, lambda: world.poll("j-1") == "done")
    world.run(40)
    sums = {team: amounts for team, amounts in total(entries(world)).items() if any(amounts)}
    assert sums == account.by_team() != {}


def test_nothing_is_written_while_nothing_runs_and_nobody_waits():
    world, account = ledger_world()
    submit(world, run_s=4.0)
    assert_ledger_matches_account(world, account)
    before = len(entries(world))
    world.run(60)
    assert len(entries(world)) == before


def test_a_thousand_teams_fit_the_limits_and_a_takeover_reads_pages_only():
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
    assert total(entries(world)) == {f"team-{n:04d}": resource_time(2.0, 0.0, 4.0, 1000 + n) for n in range(1000)}
    asked = []
    world.filter = lambda source, target, path: asked.append(path) if "u%2F" in path else None
    world.kill_node(leader.platform.node)
    world.run(5)
    assert world.leader() is not None
    assert [path.split("&")[0] for path in asked] == ["/store?prefix=u%2Fpage%2F"]


@pytest.mark.parametrize("seed", [1, 2])
def test_weeks_of_eight_teams_with_kills_freezes_and_outages(seed):
    """The shortened form of `benchmarks/ledger.py weeks`."""
    proof = LedgerSimulation(seed, timedelta(days=4), day_speed=1440).play()
    assert proof.ledger == proof.observed_usage
    assert proof.replayed.fault is None
    assert proof.wrong == []
    assert proof.broken == []
    assert (proof.faults > 3, proof.used > 20, len(proof.observed_usage) > 5) == (True, True, True)


# -- commands -------------------------------------------------------------------------------


def invoke(*args: str):
    return CliRunner().invoke(main, ["ledger", *args])


def test_an_exported_ledger_is_audited_replayed_and_reported_offline(tmp_path):
    books = ledger_of([(DAY, {"red": (10**9, 5)}), (DAY, {"blue": (0, 7)}), (DAY, {"blue": (9, 0)})])
    file = tmp_path / "usage.parquet"
    archive.write(file, books.base, books.entries)
    assert archive.read(file) == LedgerContents(books.base, books.entries)
    assert invoke("audit", "--file", str(file)).exit_code == 0
    shown = orjson.loads(invoke("show", "--file", str(file), "--json").stdout)
    assert set(shown["teams"]) == {"red", "blue"}
    page = html(books, audit(books))
    assert page.count("<svg") == 3
    assert "http://" not in page.replace("http://www.w3.org", "").replace("http://purl.org", "").replace(
        "http://creativecommons.org", ""), "nothing is fetched"  # fmt: skip
    changed = [*books.entries[:2], books.entries[2] | {"t": 5}, *books.entries[3:]]
    archive.write(file, books.base, changed)
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


def test_entries_are_rolled_up_into_balances_and_the_rest_still_follows():
    world, account = ledger_world()
    submit(world, "j-1", 4, run_s=4.0)
    world.run(15)
    store = world.leader().store
    books = reader.read(store)
    base = replay(books.base, books.entries[:-1]).base
    assert reader.compact(store, base) == base.number
    submit(world, "j-2", 4, crew="blue", run_s=4.0)
    world.run(25)
    rest = reader.read(store)
    assert rest.base.number == base.number
    assert audit(rest).fault is None
    with pytest.raises(LedgerError, match="were archived before"):
        reader.compact(store, base)
    assert total(books.entries[:-1])["red"] + total(rest.entries)["red"] == account.by_team()["red"]
    assert Balance() == Balance(ResourceTime(), 0, FIXED_POINT_ONE)
