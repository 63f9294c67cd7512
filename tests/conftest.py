"""Puts this directory on the import path for the tests' helpers and makes property tests repeatable."""

import sys
from pathlib import Path

from hypothesis import settings

sys.path.insert(0, str(Path(__file__).parent))
# No deadline: on a busy machine an example may take any time. Derandomized: every run draws the same examples.
settings.register_profile("same", deadline=None, derandomize=True)
settings.load_profile("same")

from known_red import (  # noqa: E402, F401  (hooks)
    pytest_collection_modifyitems,
    pytest_runtest_makereport,
    pytest_terminal_summary,
)
