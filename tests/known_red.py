"""Tests that are known to fail for a real fault: `KNOWN-RED.txt` lists them, and a run passes over just these.

One line each, `tests/test_x.py::test_name | cause | issue`, three at most; an empty line or no file means none.
They are run like all others and printed with their outcome.  What would let the list rot makes the run fail: a
line that is malformed or names no test, a fourth line, a listed test that passes.
"""

from pathlib import Path
from typing import NamedTuple

import pytest

LISTED_IN = "KNOWN-RED.txt"
MOST = 3
_OUTCOMES = pytest.StashKey[dict[str, str]]()


class KnownFailure(NamedTuple):
    """One line: a test by its id, why it fails, and the issue that is to mend it."""

    test: str
    cause: str
    issue: str


def parse_list(text: str) -> list[KnownFailure]:
    """The lines of the list; raises `ValueError`, which says what is wrong with which line."""
    reds = []
    for number, line in enumerate(text.splitlines(), start=1):
        if not line.strip():
            continue
        parts = [part.strip() for part in line.split(" | ")]
        if len(parts) != 3 or not all(parts) or "::" not in parts[0]:
            raise ValueError(f"{LISTED_IN}, line {number}: must read 'file::test | cause | issue', not {line!r}")
        reds.append(KnownFailure(*parts))
    if len(reds) > MOST:
        raise ValueError(f"{LISTED_IN}: {len(reds)} tests are listed, {MOST} at most: mend one first")
    return reds


@pytest.hookimpl(tryfirst=True)
def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    path = Path(config.rootpath, LISTED_IN)
    try:
        reds = parse_list(path.read_text()) if path.exists() else []
    except ValueError as error:
        raise pytest.UsageError(str(error)) from error
    config.stash[_OUTCOMES] = dict.fromkeys((red.test for red in reds), "not run")
    collected = {item.nodeid.partition("::")[0] for item in items}
    for red in reds:
        named = [item for item in items if item.nodeid == red.test]
        file = red.test.partition("::")[0]
        if not named and (file in collected or not Path(config.rootpath, file).exists()):
            raise pytest.UsageError(f"{LISTED_IN} names no test: {red.test}")
        for item in named:
            # Strict: once it passes it must leave the list.
            item.add_marker(pytest.mark.xfail(strict=True, reason=f"{red.cause} (issue {red.issue})"))


@pytest.hookimpl(wrapper=True)
def pytest_runtest_makereport(item: pytest.Item):
    report = yield
    outcomes = item.config.stash[_OUTCOMES]
    if item.nodeid in outcomes and (report.when == "call" or not report.passed):
        red = not report.passed and hasattr(report, "wasxfail")
        outcomes[item.nodeid] = "fails, as listed" if red else f"does not fail: take it out of {LISTED_IN}"
    return report


def pytest_terminal_summary(terminalreporter, config: pytest.Config) -> None:
    for test, outcome in config.stash.get(_OUTCOMES, {}).items():
        terminalreporter.write_line(f"known red: {test}: {outcome}")
