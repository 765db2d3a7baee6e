#!/bin/sh
# Builds what the scripts of the second review start, after the build of the deploy file. Their stand-ins are plain
# Python with the standard library: they are only checked. Couriers that agree (case 9) need the project's own extra
# `trace`, as pyproject.toml pins it; where that cannot be had case 9 ends with 2, and the others run all the same.
cd "$(dirname "$0")/.." || exit 2
test -x .venv/bin/python || exit 2
for file in review/kit2.py review/6/case.py review/7/case.py review/8/case.py review/9/case.py review/10/case.py; do
    .venv/bin/python -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file" || exit 2
done
.venv/bin/python -c 'import msgspec, xxhash' 2>/dev/null && exit 0
pins="$(.venv/bin/python -c 'import tomllib
with open("pyproject.toml", "rb") as file:
    print(" ".join(tomllib.load(file)["project"]["optional-dependencies"]["trace"]))')"
# shellcheck disable=SC2086
.venv/bin/pip -q install --retries 1 --timeout 30 $pins || echo "build-2: no extra 'trace': case 9 cannot run" >&2
exit 0
