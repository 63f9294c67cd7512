#!/bin/sh
# Builds what the cases start. The stand-ins are Python files that need only the standard library.
cd "$(dirname "$0")" && exec python3 -m compileall -q common
