#!/bin/sh
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 does the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
TROUBLE="${TROUBLE:-1}"
export TROUBLE
timeout -k 5 115 python3 review/5/case.py
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
