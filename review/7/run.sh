#!/bin/sh
# Case 7: pages of a replaced server are continued at another position.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves
# the disruption out. Needs the build of the deploy file and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/cases ] || { echo "not run: review/build-2.sh has not been run"; exit 2; }
exec target/review-2/cases resumed-page review/7
