#!/usr/bin/env bash
# Plays the case; exits with 1 if the rule was broken, 0 if it held, 2 if it could not run. TROUBLE=0
# leaves the disruption out. Needs the build of the deploy file and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/crew ] && [ -x target/wigeonusherd ] || exit 2
timeout -k 5 110 target/crew refused review/10/record.txt
result=$?
[ $result -le 1 ] || result=2 # also if the time was up
exit $result
