#!/usr/bin/env bash
# Runs the case once. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not
# run. TROUBLE=0 leaves the disruption out.
root="$(cd "$(dirname "${BASH_SOURCE[0]}")/../.." && pwd)"
standins="$root/target/review-2/standins-2"
program="$root/target/lagoontrail"
if [ ! -x "$standins" ] || [ ! -x "$program" ]; then
  echo "build the deploy file and review/build-2.sh first" >&2
  exit 2
fi
exec "$standins" lapse "$program" "$root/review/9"
