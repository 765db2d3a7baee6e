#!/bin/sh
# Builds what the scripts of the second review start, after the build of the deploy file. Their stand-ins are plain
# Python with the standard library, so there is nothing to compile: they are only checked with that environment.
cd "$(dirname "$0")/.." || exit 2
test -x .venv/bin/python || exit 2
for file in review/kit2.py review/6/case.py review/7/case.py review/8/case.py review/9/case.py review/10/case.py; do
    .venv/bin/python -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file" || exit 2
done
