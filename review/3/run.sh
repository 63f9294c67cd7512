#!/bin/sh
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the trouble out.
cd "$(dirname "$0")/../.." || exit 2
exec python3 review/3/case.py "$@"
