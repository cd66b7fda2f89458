#!/bin/sh
# Plays the case; TROUBLE=0 plays it without the disruption. Exits with 1 if the rule was broken, 0 if it held, and 2 if
# the case could not be run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/sassafrasnode ] && [ -x target/rig-2 ] || exit 2
TROUBLE="${TROUBLE:-1}" exec target/rig-2 clock review/8/record.txt
