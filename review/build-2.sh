#!/bin/sh
# Builds the stand-ins of cases 6 to 10: plain Python, checked by the interpreter of the deploy file's build.
# Nothing is installed. The programs under test are built by `build` of deploy/balancer.toml.
set -eu
cd "$(dirname "$0")"
for file in parts2/standins2.py [6-9]/case.py 10/case.py; do
    if [ -f "$file" ]; then
        ../.venv/bin/python -B -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
    fi
done
