"""The stand-ins are imported by name from the tests; property tests have the same verdict on every run."""

import sys
from pathlib import Path

from hypothesis import settings

sys.path.insert(0, str(Path(__file__).parent))
# On a busy machine an example may take any time, and what is drawn must not differ from run to run.
settings.register_profile("same", deadline=None, derandomize=True)
settings.load_profile("same")

from known_red import (  # noqa: E402, F401  (hooks)
    pytest_collection_modifyitems,
    pytest_runtest_makereport,
    pytest_terminal_summary,
)
