#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")" || exit 2
[ -e ../../target/redwingwharf-platform.cjs ] || exit 2
timeout -k 3 117 node case.mjs
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
