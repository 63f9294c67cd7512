"""The list of tests that are known to fail: it passes over just these, and can't rot."""

import os
import subprocess
import sys
from pathlib import Path

import pytest

SUITE = (
    "def test_good():\n    pass\n\ndef test_bad():\n    assert 1 + 1 == 3\n\ndef test_worse():\n    raise KeyError\n"
)
BAD, WORSE = (f"test_some.py::{name} | sums are off | 38\n" for name in ("test_bad", "test_worse"))


def run(folder: Path, lines: str | None) -> tuple[int, str]:
    (folder / "test_some.py").write_text(SUITE)
    (folder / "pytest.ini").write_text("[pytest]\n")
    if lines is not None:
        (folder / "KNOWN-RED.txt").write_text(lines)
    command = [sys.executable, "-m", "pytest", "-q", "-p", "known_red", "-p", "no:cacheprovider"]
    environment = os.environ | {"PYTHONPATH": str(Path(__file__).parent)}
    done = subprocess.run(command, cwd=folder, env=environment, capture_output=True, text=True)
    return done.returncode, done.stdout + done.stderr


def test_listed_failures_are_run_printed_and_passed_over(tmp_path):
    code, said = run(tmp_path, BAD + "\n" + WORSE)
    assert code == 0
    assert "1 passed, 2 xfailed" in said
    assert "known red: test_some.py::test_bad: fails, as listed" in said
    assert "known red: test_some.py::test_worse: fails, as listed" in said


@pytest.mark.parametrize("lines", [None, "", "\n", BAD])
def test_what_is_not_listed_fails_the_run(tmp_path, lines):
    code, said = run(tmp_path, lines)
    assert code == 1
    assert "FAILED test_some.py::test_worse" in said
    assert ("FAILED test_some.py::test_bad" in said) is (lines != BAD)


@pytest.mark.parametrize(
    ("lines", "why"),
    [
        ("test_some.py::test_good | sums are off | 38\n", "test_some.py::test_good: does not fail"),
        ("test_some.py::test_gone | sums are off | 38\n", "names no test: test_some.py::test_gone"),
        ("test_none.py::test_bad | sums are off | 38\n", "names no test: test_none.py::test_bad"),
        ("test_some.py::test_bad | sums are off\n", "line 1: must read 'file::test | cause | issue'"),
        ("test_some.py::test_bad |  | 38\n", "line 1: must read"),
        ((BAD + WORSE) * 2, "4 tests are listed, 3 at most"),
    ],
)
def test_a_list_that_rots_fails_the_run(tmp_path, lines, why):
    code, said = run(tmp_path, lines)
    assert code != 0
    assert why in said
