#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: the same without the disruption.
# First part: one disruption. Second part: a machine is removed besides.
cd "$(dirname "$0")" || exit 2
node run.mjs
first=$?
node removal.mjs
second=$?
if [ "$first" -eq 2 ] || [ "$second" -eq 2 ]; then
    exit 2
fi
[ "$first" -eq 0 ] && [ "$second" -eq 0 ]
