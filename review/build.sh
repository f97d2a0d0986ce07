#!/bin/sh
# The stand-ins are Python files that need only the standard library: this
# checks that each of them compiles. The project is built by its deploy file.
cd "$(dirname "$0")" || exit 1
for file in common/*.py */case.py; do
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file" || exit 1
done
