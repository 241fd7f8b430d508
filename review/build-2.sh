#!/usr/bin/env bash
# Builds the stand-ins of the script cases 6 to 10, which lie in test files, as the names of the wire
# may stand in these alone. They use the standard library only.
set -euo pipefail
root="$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)"
cd "$root/review/standins-2"
GOFLAGS=-mod=mod GOPROXY=off GOTOOLCHAIN=local CGO_ENABLED=0 go test -c -vet=off -o "$root/target/review-2/standins-2" .
