#!/bin/sh
# Builds what the cases start besides the project's own program: the stand-ins of kit.py. They need no package and
# no network; what is checked is that the environment of the deploy file's build line is there and reads them.
set -eu
cd "$(dirname "$0")"
test -x ../.venv/bin/python || { echo "run the build line of deploy/balancer.toml first" >&2; exit 2; }
../.venv/bin/python -c 'import h11, sys; assert sys.version_info >= (3, 11)'
for file in kit.py */case.py; do
    ../.venv/bin/python -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
