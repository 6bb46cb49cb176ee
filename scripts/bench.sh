#!/usr/bin/env bash
# Measures trial cases in virtual time and compares policies.
#   scripts/bench.sh [CASES [POLICIES [DEPLOYMENT [SEED [VMS]]]]]
# CASES is a regular expression for the names of cases. POLICIES is a
# comma-separated list of baseline and policy. With LONG set, the full report of
# each result is printed too.
set -euo pipefail
cd "$(dirname "$0")/.."
go test ./internal/levertrial -run '^TestBench$' -count=1 -timeout 60m -v -args \
  -cases "${1:-.}" -policies "${2:-baseline,policy}" -deployment "${3:-tw-north}" -seed "${4:-1}" -vms "${5:-7}" ${LONG:+-long} |
  grep -vE '^(=== RUN|--- PASS|PASS|ok)' | sed -E 's/^ *trial_test.go:[0-9]+: //; s/^        //'
