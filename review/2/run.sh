#!/usr/bin/env bash
# Nodes are stopped by SIGTERM in turn, while requests wait in them for another attempt.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out. Needs the build of the deploy file and
# review/build.sh. Takes about 70 s.
cd "$(dirname "$0")" || exit 2
record=$PWD/record.txt
cd ../.. || exit 2
[ -x review/bin/cases ] && [ -x target/lagoontrail ] || exit 2
CASE=cut ROOT=. RECORD=$record exec review/bin/cases
