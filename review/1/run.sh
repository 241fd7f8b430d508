#!/usr/bin/env bash
# A server rejects an unsafe request, and later sends a second copy of the rejection.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out. Needs the build of the deploy file and
# review/build.sh. Takes about 85 s.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/bin/cases ] && [ -x target/lagoontrail ] || exit 2
CASE=twice ROOT=. RECORD=review/1/record.txt exec review/bin/cases
