"""The stand-ins are imported by name from the tests."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent))
