"""Start one kelpjunction controller: `python3 run.py --config SETTINGS.toml`."""

import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent

# The build step leaves a byte-compiled copy of the package and its
# dependencies under target/; a plain checkout runs from its own sources.
for folder in (ROOT, ROOT / "target" / "deps", ROOT / "target" / "app"):
    if folder.is_dir():
        sys.path.insert(0, str(folder))

from kelpjunction.cli.serve import serve  # noqa: E402

if __name__ == "__main__":
    serve(prog_name="kelpjunction")
