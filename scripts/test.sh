#!/usr/bin/env bash
# Runs all tests except those listed in KNOWN-RED.txt, which are printed.
set -euo pipefail
cd "$(dirname "$0")/.."
# A subtest is named Test/case, which -skip matches level by level.
known_red=$(sed -n 's/^test: *//p' KNOWN-RED.txt | sed 's|/|$/^|g; s|^|^|; s|$|$|' | paste -sd'|' -)
if [ -s KNOWN-RED.txt ]; then
  echo "known red (tests among them are passed over):"
  sed 's/^/  /' KNOWN-RED.txt
fi
go test -timeout 40m ${RACE:+-race -short} ${known_red:+-skip "$known_red"} "$@" ./...
# The long trial cases and the replay are too slow under the race detector. It covers
# the same code in the short cases and in leverkernel.
if [ -n "${RACE:-}" ]; then
  go test -timeout 40m ${known_red:+-skip "$known_red"} "$@" ./internal/levertrial ./internal/levercost
fi
