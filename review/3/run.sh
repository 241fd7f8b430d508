#!/usr/bin/env bash
# Half of the open connections to one machine go silent, and another machine is removed.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out. Needs the build of the deploy file and
# review/build.sh. Takes about 45 s.
cd "$(dirname "$0")" || exit 2
record=$PWD/record.txt
cd ../.. || exit 2
[ -x review/bin/cases ] && [ -x target/lagoontrail ] || exit 2
CASE=listed ROOT=. RECORD=$record exec review/bin/cases
