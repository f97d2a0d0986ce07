#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case cannot run.
# TROUBLE=0 does the same without the disruption.
cd "$(dirname "$0")" || exit 2
python3 -c 'import tomllib' || exit 2
[ -d ../../target/deps ] || { echo 'run the build of the deploy file first'; exit 2; }
exec python3 -B case.py "$PWD" "${TROUBLE:-1}"
