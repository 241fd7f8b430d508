#!/usr/bin/env bash
# Builds the stand-ins and checks of the scripts into review/bin/cases. It needs only the
# standard library. The module is separate from the project's, so that the project's
# tests and CI do not include it.
set -euo pipefail
cd "$(dirname "$0")"
CGO_ENABLED=0 GOFLAGS=-buildvcs=false GOWORK=off go test -c -o bin/cases ./cases
