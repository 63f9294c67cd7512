"""Start one kelpjunction controller: `python3 run.py --config SETTINGS.toml`.

The operators' settings for all controllers are read from `deploy/operators.json`
if that file exists. `--operators` and `KELPJUNCTION_OPERATORS` name another file.
"""

import os
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent

# The build step leaves a byte-compiled copy of the package and its
# dependencies under target/; a checkout without them runs from its sources.
for folder in (ROOT, ROOT / "target" / "deps", ROOT / "target" / "app"):
    if folder.is_dir():
        sys.path.insert(0, str(folder))

from kelpjunction.cli.serve import OPERATORS_VARIABLE, serve  # noqa: E402

if __name__ == "__main__":
    operators = ROOT / "deploy" / "operators.json"
    if operators.is_file():
        os.environ.setdefault(OPERATORS_VARIABLE, str(operators))
    serve(prog_name="kelpjunction")
