#!/bin/sh
# Case 8: sorted results that are spread over several answers.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves
# the disruption out. Needs the build of the deploy file and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/cases ] || { echo "not run: review/build-2.sh has not been run"; exit 2; }
exec target/review-2/cases sorted-pages review/8
