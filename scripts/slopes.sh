#!/usr/bin/env bash
# Measures time, bytes and memory as functions of the upstreams per query, VMs and
# services, and writes docs/SLOPES.md and docs/slopes.svg. Takes several minutes
# and about 4 GB of memory. Times depend on the machine; bytes and calls do not.
set -euo pipefail
cd "$(dirname "$0")/.."
out=$(mktemp)
trap 'rm -f "$out"' EXIT
go test ./internal/levertrial ./internal/leverengine -run XXX -bench 'Merge|Admit|Fanout' -benchtime "${BENCHTIME:-1s}" | tee -a "$out"
go test ./internal/levertrial -count=1 -timeout 60m -run '^TestControlSlopes$' -v -args \
  -control "${CONTROL:-7x50,35x50,70x50,100x50,7x200,7x800}" | tee -a "$out"
go run ./cmd/leverplot --table docs/SLOPES.md --svg docs/slopes.svg <"$out"
