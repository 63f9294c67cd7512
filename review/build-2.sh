#!/bin/sh
# Builds what the scripts of review/4 to review/8 start beside the controllers, after the build of deploy/service.toml:
# the stand-ins, which are Python programs of the standard library, and the ticket gateway of review/7, as
# deploy/gateway.toml builds it.  Without the gateway only review/7 can't run; its script then exits with 2.
set -e
cd "$(dirname "$0")/.."
python3 -m compileall -q review/common-2 review/[4-8]
build=$(python3 -c 'import tomllib; print(tomllib.load(open("deploy/gateway.toml", "rb"))["build"])')
sh -c "$build" || echo "the ticket gateway could not be built; review/7 needs it" >&2
