#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0 leaves the
# disruption out; KEEP=1 keeps the settings and logs of the processes.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/review/scenario ]; then
    echo "run review/build.sh first" >&2
    exit 2
fi
exec target/review/scenario two-runs review/5/record.txt
